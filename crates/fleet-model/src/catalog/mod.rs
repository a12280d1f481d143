//! Days of named kinds, drawn from a seed at a size.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::random::{self, Purpose, within};
use crate::scenario::*;
use crate::span::Span;

/// How large a day's fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// 4 + 5 servers, 2 balancers: the size of the days on real sockets.
    Small,
    /// 6 to 8 servers of the first tier, 2 or 3 balancers: the size in service.
    Site,
    /// About 100 balancers and 60 servers.
    Vast,
    /// About 1,000 balancers and 600 servers.
    Huge,
}

impl Size {
    /// All of them.
    pub const ALL: [Size; 4] = [Size::Small, Size::Site, Size::Vast, Size::Huge];

    /// Its name in commands.
    pub fn name(self) -> &'static str {
        match self {
            Size::Small => "small",
            Size::Site => "site",
            Size::Vast => "vast",
            Size::Huge => "huge",
        }
    }
}

impl std::str::FromStr for Size {
    type Err = String;

    /// The size of that name; the error lists them.
    fn from_str(name: &str) -> Result<Size, String> {
        let known = Size::ALL.map(Size::name).join(", ");
        let found = Size::ALL.into_iter().find(|s| s.name() == name);
        found.ok_or_else(|| format!("no size is called {name:?}; there are {known}"))
    }
}

/// A part of a kind: `calm`, or one thing that goes wrong. Kinds join parts with `+`.
pub const PARTS: [(&str, &str); 19] = [
    ("calm", "little traffic, nothing goes wrong"),
    ("busy", "the traffic of a busy day, nothing goes wrong"),
    ("overload", "more traffic than the fleet can carry"),
    ("errors", "some servers fail most requests at once for a while"),
    ("heavy", "some requests of a class cost many times the usual"),
    ("deploy", "a rolling deploy of nearly all servers of a tier"),
    ("silent", "a server takes requests and answers none"),
    ("slowclass", "a server is slow for one class only"),
    ("resets", "connections to some servers break"),
    ("zone", "a zone is lost and comes back cold"),
    ("join", "six in ten servers are replaced within 7 s"),
    ("killed", "a balancer is killed and starts again"),
    ("restart", "balancers restart one after the other"),
    ("upgrade", "every balancer's process is replaced and hands on what it learned"),
    ("bare", "the same, and the new process knows nothing"),
    ("hand", "operators take servers out, restart them and put them back"),
    ("evacuate", "a balancer sends its clients away for a while"),
    ("disco", "discovery tells nothing for a while"),
    ("together", "all balancers restart at once, knowing nothing"),
];

/// The kinds that an experiment plays unless told otherwise.
pub const STANDARD: [&str; 14] = [
    "calm",
    "busy",
    "overload",
    "errors+heavy",
    "deploy",
    "silent",
    "slowclass",
    "resets",
    "zone",
    "join",
    "killed",
    "upgrade+hand",
    "hand+deploy",
    "disco+deploy",
];

/// Draws a day. Fails if the kind has a part that nobody knows.
pub fn generate(kind: &str, seed: u64, size: Size) -> Result<Scenario, ScenarioError> {
    let parts: Vec<&str> = kind.split('+').collect();
    for part in &parts {
        if !PARTS.iter().any(|(name, _)| name == part) {
            let known: Vec<&str> = PARTS.iter().map(|(name, _)| *name).collect();
            return Err(ScenarioError::UnknownPart { part: (*part).to_owned(), known: known.join(", ") });
        }
    }
    let mut day = base(seed, size, &parts);
    day.name = format!("{kind} {seed} {}", size.name());
    for (i, part) in parts.iter().enumerate() {
        let mut rng = random::stream(seed, Purpose::Fate, 1_000 + i as u64);
        add(&mut day, part, &mut rng);
    }
    day.faults.sort_by_key(|f| f.at);
    day.check()?;
    Ok(day)
}

/// Draws for the mean work of a class.
const SAMPLES: u32 = 5_000;
/// No request is more work than this part of its class's aim: what nobody can serve in time is no part of a day.
const MOST_WORK: f64 = 0.75;

fn whole(rng: &mut ChaCha8Rng, from: u32, to: u32) -> u32 {
    rng.random_range(from..=to)
}

/// Shares out a number over two zones.
pub(crate) fn zoned(n: u32, first: f64) -> Vec<u32> {
    let a = ((f64::from(n) * first).round() as u32).clamp(1.min(n), n.saturating_sub(1).max(1));
    vec![a, n - a]
}

fn tier(rng: &mut ChaCha8Rng, name: &str, servers: Vec<u32>, slots: (f64, f64), crowded: (f64, f64)) -> Tier {
    let cores = 2;
    let per_core = |x: f64| (x * f64::from(cores)).round() as u32;
    Tier {
        name: name.to_owned(),
        servers,
        work: 1.0,
        calls: 0.0,
        cell_size: whole(rng, 4, 8),
        cores,
        speed: within(rng, (0.85, 1.1)),
        speed_cv: within(rng, (0.05, 0.2)),
        slots: per_core(within(rng, slots)),
        waiting: per_core(within(rng, (230.0, 480.0))),
        thrash: within(rng, (0.032, 0.12)),
        crowded: within(rng, crowded),
        cold_from: within(rng, (0.3, 0.6)),
        warm_after: Span::s(within(rng, (3.8, 8.8))),
        pause_every: Span::s(within(rng, (5.0, 12.0))),
        pause: Span::ms(within(rng, (0.0, 200.0))),
        pause_grow: within(rng, (0.0, 1.2)),
        error_rate: within(rng, (0.0, 0.001)),
        connections: Connections {
            handshake_trips: within(rng, (1.0, 3.0)),
            handshake_work: Span::ms(within(rng, (3.1, 6.9))),
            idle_close: Span::s(30.0),
            connect_timeout: Span::ms(100.0),
            most: per_core(within(rng, (600.0, 900.0))),
            full_tax: within(rng, (0.19, 0.35)),
        },
        probe_work: Span::ms(within(rng, (2.5, 4.9))),
        choke: None,
    }
}

/// A server with so many requests waiting turns slow, on six days in ten.
fn choke(rng: &mut ChaCha8Rng) -> Choke {
    Choke {
        at: within(rng, (4.0, 7.0)),
        over: Span::s(within(rng, (1.5, 2.5))),
        slower: within(rng, (2.1, 3.1)),
        below: within(rng, (0.25, 0.4)),
        rest: Span::s(within(rng, (3.1, 4.7))),
        most: Span::s(within(rng, (18.0, 33.0))),
    }
}

fn class(
    rng: &mut ChaCha8Rng,
    (name, share, work): (&str, (f64, f64), (f64, f64)),
    cv: (f64, f64),
    noise: (f64, f64),
) -> Class {
    let spread = match name {
        "view-ad" => Spread::Lognormal,
        _ if rng.random() => Spread::Lognormal,
        _ => Spread::Pareto,
    };
    let (aim, deadline, worth, late_worth) = match name {
        "view-ad" => (0.75, 2.0, 2.0, 0.3),
        "search" => (1.5, 3.0, 2.0, 0.2),
        _ => (2.5, 7.5, 3.0, 0.25),
    };
    let keyed = name == "post-ad";
    Class {
        name: name.to_owned(),
        share: within(rng, share),
        work: Span::ms(within(rng, work)),
        spread,
        cv: within(rng, cv),
        most_work: Span::s(aim * MOST_WORK),
        attempt_noise: within(rng, noise),
        aim: Span::s(aim),
        deadline: Span::s(deadline),
        worth,
        late_worth,
        effect: if keyed { Effect::Keyed } else { Effect::Safe },
        repeats_dropped: Span::s(if keyed { 10.0 } else { 0.0 }),
    }
}

/// Mean work of a class in seconds, with what `most_work` cuts off.
pub(crate) fn mean_work(class: &Class, seed: u64) -> f64 {
    let mut rng = random::stream(seed, Purpose::Arrivals, 1 << 40);
    (0..SAMPLES).map(|_| random::request_work(class, &mut rng)).sum::<f64>() / 1e6 / f64::from(SAMPLES)
}

fn base(seed: u64, size: Size, parts: &[&str]) -> Scenario {
    let rng = &mut random::stream(seed, Purpose::Fate, 999);
    let (front, balancers) = match size {
        Size::Small => (4, 2),
        Size::Site => (whole(rng, 6, 8), whole(rng, 2, 3)),
        Size::Vast => (27, 73),
        Size::Huge => (270, 730),
    };
    let back = (f64::from(front) * within(rng, (1.1, 1.3))).round() as u32;
    let skew = within(rng, (0.37, 0.79));
    let near = within(rng, (0.4, 0.6));
    let mut tiers = vec![
        tier(rng, "front", zoned(front, near), (7.0, 16.0), (21.0, 44.0)),
        tier(rng, "annonces", zoned(back, near), (2.0, 6.0), (6.5, 14.0)),
    ];
    (tiers[0].work, tiers[0].calls, tiers[1].work) = (0.58, within(rng, (1.0, 2.0)), 0.42);
    let chokes = rng.random::<f64>() < 0.6;
    for t in &mut tiers {
        let drawn = choke(rng);
        t.choke = chokes.then_some(drawn);
    }
    if matches!(size, Size::Vast | Size::Huge) {
        // Connections are scarce where many balancers meet few servers.
        for t in &mut tiers {
            t.connections.most = t.connections.most.min(3 * balancers / 2);
        }
    }
    let classes = vec![
        class(rng, ("view-ad", (0.46, 0.68), (83.0, 150.0)), (1.7, 2.6), (0.062, 0.54)),
        class(rng, ("search", (0.26, 0.38), (170.0, 300.0)), (1.7, 2.5), (0.29, 0.59)),
        class(rng, ("post-ad", (0.088, 0.13), (350.0, 590.0)), (1.5, 2.7), (0.17, 0.45)),
    ];
    let shares: f64 = classes.iter().map(|c| c.share).sum();
    let work = classes.iter().map(|c| c.share * mean_work(c, seed)).sum::<f64>() / shares;
    let mut calls = 1.0;
    let capacity = tiers
        .iter()
        .map(|t| {
            let cores = f64::from(t.servers.iter().sum::<u32>() * t.cores) * t.speed;
            let each = work * t.work * calls;
            calls *= t.calls;
            cores / each
        })
        .fold(f64::INFINITY, f64::min);
    let load = match parts {
        p if p.contains(&"overload") => within(rng, (0.97, 1.3)),
        p if p.contains(&"calm") => within(rng, (0.26, 0.41)),
        _ => within(rng, (0.54, 0.68)),
    };
    let quota = capacity * within(rng, (0.77, 0.9));
    let tenant = |name: &str, share: f64, usage: f64| Tenant {
        name: name.to_owned(),
        share,
        quota: quota * share,
        usage,
    };
    let tenants = vec![
        tenant("marche-dakar", 0.62, within(rng, (0.5, 1.2))),
        tenant("coin-thies", 0.21, within(rng, (0.65, 1.4))),
        tenant("annonces-kaolack", 0.17, within(rng, (0.71, 1.4))),
    ];
    let names = ["dakar", "thies"];
    let in_first = zoned(balancers, skew)[0];
    Scenario {
        name: String::new(),
        seed,
        length: Span::s(within(rng, (38.0, 50.0)).round()),
        zones: names.map(str::to_owned).to_vec(),
        passes_deadline: rng.random(),
        network: Network {
            same_zone: Span::ms(within(rng, (0.081, 0.33))),
            cross_zone: Span::ms(within(rng, (5.6, 10.0))),
            client: Span::ms(within(rng, (0.31, 0.98))),
            jitter: within(rng, (0.062, 0.35)),
        },
        discovery: Discovery {
            mode: Asking::Push,
            notice: Span::s(within(rng, (0.51, 4.0))),
            silent_notice: Span::s(within(rng, (4.1, 12.0))),
            add: Span::s(within(rng, (0.42, 2.0))),
            period: Span::ms(within(rng, (210.0, 1_400.0))),
            spread: Span::ms(within(rng, (120.0, 490.0))),
            failing: 0.0,
        },
        balancers: Balancers {
            zones: (0..balancers).map(|b| names[usize::from(b >= in_first)].to_owned()).collect(),
            shares: Vec::new(),
            cores: within(rng, (0.25, 1.0)),
            event_cost: Span(20),
            clock_spread: Span::s(20.0),
            notice: Span::s(within(rng, (1.2, 3.8))),
        },
        load: Load {
            rate: capacity * load,
            swing: within(rng, (0.22, 0.38)),
            shape: if rng.random() { Shape::Wave } else { Shape::Bursty },
            zone_shares: vec![skew, 1.0 - skew],
            over_share_worth: 0.1,
        },
        clients: Clients {
            retries: whole(rng, 1, 2),
            try_share: within(rng, (0.5, 0.8)),
            backoff: Span::ms(within(rng, (48.0, 380.0))),
            honour: within(rng, (0.7, 1.0)),
            impatient: within(rng, (0.0, 0.03)),
        },
        limits: Limits {
            max_attempts: 6,
            max_open: 20_000,
            second_copies: true,
            probes: true,
            retry_after: true,
            max_retry_after: Span::s(3.0),
        },
        rules: Rules {
            drain_grace: Span::ms(2_500.0),
            answer_grace: Span::ms(20.0),
            overload_factor: 4.0,
            tip_after: Span::ms(1_500.0),
            ask_within: Span::s(10.0),
        },
        goal: Goal { whole: 0.45, worst_window: 0.15, worst_class: 0.3, worst_tenant: 0.1 },
        prices: Prices {
            waste: 0.3,
            cross_zone: 0.07,
            late_fail: 0.036,
            probe: 0.01,
            handshake: 0.0,
            choke: 0.08,
        },
        tiers,
        classes,
        tenants,
        faults: Vec::new(),
    }
}

/// A fault of a kind, at a time, with nothing else said.
pub(crate) fn fault(kind: FaultKind, at: f64, length: f64) -> Fault {
    Fault {
        kind,
        at: Span::s(at),
        length: Span::s(length),
        tier: 0,
        which: Vec::new(),
        zone: None,
        class: None,
        share: 1.0,
        factor: 1.0,
        learned: false,
        restarts: false,
        drain: Span(0),
    }
}

/// Some of the numbers below `n`, at least one.
fn some(rng: &mut ChaCha8Rng, n: usize, share: f64) -> Vec<usize> {
    let count = ((n as f64 * share).round() as usize).clamp(1, n);
    let mut all: Vec<usize> = (0..n).collect();
    for i in 0..count {
        let other = rng.random_range(i..n);
        all.swap(i, other);
    }
    all.truncate(count);
    all.sort_unstable();
    all
}

fn add(day: &mut Scenario, part: &str, rng: &mut ChaCha8Rng) {
    use FaultKind as K;
    let end = day.length.secs();
    let tier = usize::from(rng.random::<f64>() < 0.4);
    let servers = day.tiers[tier].servers.iter().sum::<u32>() as usize;
    let begin = within(rng, (0.15, 0.35)) * end;
    let longest = within(rng, (0.4, 0.6)) * end;
    let mut put = |f: Fault| day.faults.push(f);
    match part {
        "errors" => {
            let which = some(rng, servers, within(&mut rng.clone(), (0.1, 0.2)));
            let share = within(rng, (0.32, 0.99));
            put(Fault { tier, which, share, ..fault(K::FastErrors, begin, within(rng, (6.1, 29.0))) });
        }
        "heavy" => {
            let class = ["view-ad", "search", "post-ad"][rng.random_range(0..3)].to_owned();
            let (share, factor) = (within(rng, (0.0069, 0.029)), within(rng, (5.1, 30.0)));
            put(Fault {
                class: Some(class),
                share,
                factor,
                ..fault(K::HeavyTail, begin, within(rng, (11.0, 30.0)))
            });
        }
        "deploy" => {
            let which = some(rng, servers, within(&mut rng.clone(), (0.51, 0.99)));
            let (share, drain) = (within(rng, (0.074, 0.19)), Span::s(within(rng, (2.9, 6.0))));
            let length = within(rng, (22.0, 38.0)).min(end - begin);
            put(Fault { tier, which, share, drain, ..fault(K::RollingDeploy, begin, length) });
        }
        "silent" => {
            let which = some(rng, servers, 0.0);
            put(Fault { tier, which, ..fault(K::Silent, begin, longest) });
        }
        "slowclass" => {
            let class = ["view-ad", "search", "post-ad"][rng.random_range(0..3)].to_owned();
            let which = some(rng, servers, 0.15);
            let factor = within(rng, (3.0, 10.0));
            put(Fault { tier, which, class: Some(class), factor, ..fault(K::Slow, begin, longest) });
        }
        "resets" => {
            let which = some(rng, servers, 0.25);
            let share = within(rng, (0.1, 0.6));
            put(Fault { tier, which, share, ..fault(K::Resets, begin, longest) });
        }
        "zone" => {
            let zone = Some(day.zones[1].clone());
            let length = within(rng, (6.0, 12.0));
            day.faults.push(Fault { zone, ..fault(K::ZoneLost, begin, length) });
        }
        "join" => {
            let which = some(rng, servers, 0.6);
            put(Fault { tier, which, ..fault(K::Replaced, begin, 7.0) });
        }
        "killed" => {
            let which = some(rng, day.balancers.zones.len(), 0.0);
            day.faults.push(Fault { which, ..fault(K::BalancerKilled, begin, within(rng, (4.0, 9.0))) });
        }
        "together" => put(fault(K::BalancerKilled, begin, 1.0)),
        "restart" => put(fault(K::BalancerRestart, begin, longest)),
        "upgrade" | "bare" => {
            put(Fault { learned: part == "upgrade", ..fault(K::ProcessReplaced, begin, longest) });
        }
        "hand" => {
            let servers = day.tiers[0].servers.iter().sum::<u32>() as usize;
            let which = some(rng, servers, 0.2);
            let drain = Span::s(within(rng, (2.5, 4.0)));
            let length = within(rng, (6.0, 14.0));
            day.faults.push(Fault { which, drain, restarts: true, ..fault(K::OutByHand, begin, length) });
        }
        "evacuate" => {
            let which = some(rng, day.balancers.zones.len(), 0.0);
            day.faults.push(Fault { which, ..fault(K::Evacuated, begin, within(rng, (5.0, 10.0))) });
        }
        "disco" => put(fault(K::DiscoveryOutage, begin, longest)),
        _ => {}
    }
}
