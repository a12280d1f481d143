//! The simulated world keeps to its description, and the rules' check finds what a policy does wrong.

use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::policy::{Kind, Policy};
use zincstand_fleet_model::scenario::{Choke, Effect, Fault, FaultKind, Scenario};
use zincstand_fleet_model::scoring::{Cause, Rule};
use zincstand_fleet_model::{Played, Span, Truth, play, play_with};
use zincstand_policy::{Action, Event, ListKind, Micros, RequestId, ServerEntry, ServerId, ServerState};

/// A day without randomness: one class of equal requests, equal servers, no jitter.
fn plain(servers: u32, rate: f64) -> Scenario {
    let mut day = catalog::generate("calm", 1, Size::Small).unwrap();
    day.zones = vec!["a".to_owned()];
    day.balancers.zones = vec!["a".to_owned()];
    day.load.zone_shares = vec![1.0];
    day.load.rate = rate;
    day.load.swing = 0.0;
    day.length = Span::s(10.0);
    day.network.jitter = 0.0;
    day.clients.impatient = 0.0;
    day.clients.retries = 0;
    day.tiers.truncate(1);
    let tier = &mut day.tiers[0];
    tier.servers = vec![servers];
    tier.calls = 0.0;
    tier.work = 1.0;
    tier.speed = 1.0;
    tier.speed_cv = 0.0;
    tier.pause = Span(0);
    tier.error_rate = 0.0;
    tier.choke = None;
    tier.connections.handshake_work = Span(0);
    tier.connections.full_tax = 0.0;
    day.classes.truncate(1);
    let class = &mut day.classes[0];
    class.cv = 0.0;
    class.attempt_noise = 0.0;
    class.work = Span::ms(20.0);
    day.tenants.clear();
    day
}

fn fault(kind: FaultKind, at: f64, length: f64) -> Fault {
    let text = format!("kind = \"errors\"\nat = \"{}\"\nlength = \"{}\"", Span::s(at), Span::s(length));
    let mut fault: Fault = toml::from_str(&text.replace("errors", "fast_errors")).unwrap();
    fault.kind = kind;
    fault
}

type Decide = fn(&mut Scripted, Micros, Event, &mut Vec<Action>);

/// A policy that decides by a function of its test, mostly one that breaks a rule.
struct Scripted {
    decide: Decide,
    servers: Vec<ServerEntry>,
}

impl Policy for Scripted {
    fn handle(&mut self, now: Micros, event: Event, _: &Truth<'_>, actions: &mut Vec<Action>) {
        if let Event::EndpointList { kind, entries } = &event {
            if *kind != ListKind::Delta {
                self.servers.clear();
            }
            for entry in entries {
                self.servers.retain(|server| server.id != entry.id);
                self.servers.push(entry.clone());
            }
        }
        (self.decide)(self, now, event, actions);
    }
}

fn scripted(day: &Scenario, decide: Decide) -> Played {
    let start = |_, _| {
        let policy = Scripted { decide, servers: Vec::new() };
        Ok(Box::new(policy) as Box<dyn Policy>)
    };
    play_with(day, &start, false).unwrap()
}

fn send(request: RequestId, server: ServerId) -> Action {
    Action::Send { request, server, limit: 1_000_000 }
}

fn rules(played: &Played) -> Vec<Rule> {
    let mut rules: Vec<Rule> = played.result.breaches.iter().map(|breach| breach.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_lone_request_takes_its_work_and_the_network_latency() {
    let mut day = plain(1, 2.0);
    // To and from the client and the server; a first connection takes a handshake of three trips more.
    let latency = 2.0 * (day.network.client.secs() + day.network.same_zone.secs());
    day.classes[0].aim = Span::s(0.020 + latency + 0.001);
    let played = play(&day, Kind::Random, false).unwrap();
    let ends = played.result.ends;
    assert!(ends.served + ends.late >= 10, "{ends:?}");
    assert!(ends.late <= ends.served / 3, "answers take longer than work and latency: {ends:?}");
    day.classes[0].aim = Span::s(0.020 + latency - 0.0005);
    let played = play(&day, Kind::Random, false).unwrap();
    assert_eq!(played.result.ends.served, 0, "answers come before their work is done");
}

#[test]
fn cores_are_the_limit_of_what_is_served() {
    // 2 servers of 2 cores do 200 requests of 20 ms a second.
    let served = |rate: f64| {
        let mut day = plain(2, rate);
        day.tiers[0].thrash = 0.0;
        let ends = play(&day, Kind::Module, false).unwrap().result.ends;
        f64::from(ends.served + ends.late) / day.length.secs()
    };
    let under = served(150.0);
    let over = served(600.0);
    assert!((135.0..165.0).contains(&under), "{under} of 150 a second");
    assert!((150.0..=215.0).contains(&over), "{over} of 600 a second, with room for 200");
}

#[test]
fn one_seed_gives_one_result_on_any_number_of_threads() {
    let day = catalog::generate("errors+deploy+heavy", 5, Size::Small).unwrap();
    let once = || serde_json::to_string(&play(&day, Kind::Module, true).unwrap().result).unwrap();
    let first = once();
    let others: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(once)).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    assert!(others.iter().all(|other| *other == first));
}

#[test]
fn a_policy_that_answers_nothing_loses_requests() {
    let played = scripted(&plain(2, 20.0), |_, _, _, _| {});
    assert_eq!(rules(&played), [Rule::Lost]);
    assert_eq!(played.result.broken, played.result.requests);
    let breach = &played.result.breaches[0];
    assert!(breach.before.iter().any(|event| event.contains("came")), "{breach:?}");
}

#[test]
fn a_keyed_request_sent_again_elsewhere_is_a_duplicate() {
    let mut day = plain(12, 20.0);
    day.classes[0].effect = Effect::Keyed;
    day.classes[0].repeats_dropped = Span::s(10.0);
    day.tiers[0].cell_size = 1;
    day.faults.push(fault(FaultKind::FastErrors, 0.0, 10.0));
    let played = scripted(&day, |policy, _, event, actions| match event {
        Event::Request { id, .. } => actions.push(send(id, policy.servers[0].id)),
        Event::Outcome { request, finished: false, attempt: 0, .. } => {
            actions.push(send(request, policy.servers[1].id));
        }
        Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
        _ => {}
    });
    assert_eq!(rules(&played), [Rule::Duplicate]);
}

#[test]
fn sends_to_a_draining_server_break_the_rule_after_its_grace() {
    let mut day = plain(2, 40.0);
    let mut drains = fault(FaultKind::RollingDeploy, 1.0, 8.0);
    drains.which = vec![0];
    drains.drain = Span::s(8.0);
    day.faults.push(drains);
    day.discovery.notice = Span::s(1.0);
    day.discovery.period = Span::s(0.1);
    let stubborn: Decide = |policy, _, event, actions| match event {
        Event::Request { id, .. } => {
            let first = policy.servers.iter().map(|server| server.id).min().unwrap();
            actions.push(send(id, first));
        }
        Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
        _ => {}
    };
    let played = scripted(&day, stubborn);
    assert_eq!(rules(&played), [Rule::Drain]);
    // Noticed a second after its begin at 1 s, balancers notified soon after, and 2.5 s of grace.
    let first = played.result.breaches[0].at as f64 / 1e6;
    assert!((4.5..5.2).contains(&first), "first breach at {first} s");
    day.rules.drain_grace = Span::s(20.0);
    assert_eq!(scripted(&day, stubborn).result.broken, 0);
}

#[test]
fn a_cold_server_that_gets_all_calls_collapses_and_the_rule_is_broken() {
    let mut day = plain(12, 700.0);
    let mut restarts = fault(FaultKind::RollingDeploy, 1.0, 1.0);
    restarts.which = vec![3];
    restarts.drain = Span::s(0.1);
    day.faults.push(restarts);
    day.tiers[0].warm_after = Span::s(8.0);
    let played = scripted(&day, |policy, _, event, actions| match event {
        Event::Request { id, .. } => {
            let ready = |server: &&ServerEntry| server.state == ServerState::Ready;
            let cold = policy.servers.iter().filter(ready).find(|server| server.started.is_some());
            let other = policy.servers.iter().find(ready);
            match cold.or(other) {
                Some(server) => actions.push(send(id, server.id)),
                None => actions.push(Action::Fail { request: id }),
            }
        }
        Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
        _ => {}
    });
    assert_eq!((played.result.fallen, played.result.broken), (1, 1), "{:?}", played.result.breaches);
    assert_eq!(rules(&played), [Rule::Cold]);
    assert_eq!(play(&day, Kind::Module, false).unwrap().result.fallen, 0);
}

#[test]
fn health_checks_take_time_cost_work_and_have_their_price() {
    let mut day = plain(1, 60.0);
    day.tiers[0].probe_work = Span::ms(10.0);
    day.prices.probe = 0.01;
    let decide = |checks_health: bool| -> Decide {
        if checks_health {
            |_, now, event, actions| match event {
                Event::Request { id, .. } => actions.extend([Action::HealthCheck { server: 0 }, send(id, 0)]),
                Event::HealthChecked { latency, .. } => assert!(latency > 0 && now > latency, "{latency}"),
                Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
                _ => {}
            }
        } else {
            |_, _, event, actions| match event {
                Event::Request { id, .. } => actions.push(send(id, 0)),
                Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
                _ => {}
            }
        }
    };
    // Two cores have room for 100 requests of 20 ms a second, of which 60 come; as many health checks of 10 ms
    // more crowd them.
    day.classes[0].aim = Span::ms(40.0);
    let without = scripted(&day, decide(false)).result;
    let with = scripted(&day, decide(true)).result;
    assert!(with.prices > without.prices + 0.009, "{} after {}", with.prices, without.prices);
    assert!(with.ends.late > without.ends.late, "{:?} after {:?}", with.ends, without.ends);
}

#[test]
fn losses_are_reported_with_their_cause_and_server() {
    let mut day = plain(3, 60.0);
    let mut silent = fault(FaultKind::Silent, 2.0, 7.0);
    silent.which = vec![1];
    day.faults.push(silent);
    let played = play(&day, Kind::RoundRobin, false).unwrap();
    let worst = &played.detail.losses[0];
    assert_eq!((worst.cause, worst.server), (Cause::Silent, Some(1)), "{:?}", played.detail.losses);
    let sum: f64 = played.detail.losses.iter().map(|loss| loss.worth).sum();
    assert!((sum - (1.0 - played.result.whole)).abs() < 1e-6, "losses add up to what is missing: {sum}");
}

#[test]
fn crowded_servers_choke_and_stay_slow_until_they_rest() {
    let mut day = catalog::generate("busy", 3, Size::Small).unwrap();
    let choked = |day: &Scenario| play(day, Kind::Random, false).unwrap().result.choked;
    day.load.rate *= 1.6;
    for (at, expected) in [(5.0, true), (1e6, false)] {
        for tier in &mut day.tiers {
            tier.choke = Some(Choke {
                at,
                over: Span::s(2.0),
                slower: 2.5,
                below: 0.3,
                rest: Span::s(4.0),
                most: Span::s(20.0),
            });
        }
        assert_eq!(choked(&day) > 0, expected, "with {at} waiting for a core");
    }
}

#[test]
fn every_part_of_every_kind_plays_and_the_module_keeps_the_rules() {
    for (part, _) in catalog::PARTS {
        let day = catalog::generate(part, 11, Size::Small).unwrap();
        let result = play(&day, Kind::Module, false).unwrap().result;
        let ends = result.ends;
        let ended = u64::from(ends.served + ends.late + ends.refused + ends.failed);
        assert_eq!(ended, result.requests, "{part}: every first try has one outcome");
        assert_eq!(result.broken, 0, "{part}: {:#?}", result.breaches.first());
    }
}
