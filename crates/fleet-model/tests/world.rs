//! The world does what its description says, and its judge sees what a policy does wrong.

use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::policy::{Kind, Policy};
use zincstand_fleet_model::scenario::{Choke, Effect, Fault, FaultKind, Scenario};
use zincstand_fleet_model::scoring::{Cause, Rule};
use zincstand_fleet_model::{Played, Span, Truth, play, play_with};
use zincstand_policy::{Action, Event, ListKind, Micros, RequestId, ServerEntry, ServerId, ServerState};

/// A day without chance: one class of equal requests, servers alike, nothing jitters.
fn plain(servers: u32, rate: f64) -> Scenario {
    let mut day = catalog::generate("calm", 1, Size::Small).unwrap();
    day.zones = vec!["a".to_owned()];
    day.balancers.zones = vec!["a".to_owned()];
    day.load.zone_shares = vec![1.0];
    (day.load.rate, day.load.swing, day.length) = (rate, 0.0, Span::s(10.0));
    (day.network.jitter, day.clients.impatient, day.clients.retries) = (0.0, 0.0, 0);
    day.tiers.truncate(1);
    let t = &mut day.tiers[0];
    (t.servers, t.calls, t.work, t.speed, t.speed_cv) = (vec![servers], 0.0, 1.0, 1.0, 0.0);
    (t.pause, t.error_rate, t.choke) = (Span(0), 0.0, None);
    (t.connections.handshake_work, t.connections.full_tax) = (Span(0), 0.0);
    day.classes.truncate(1);
    let c = &mut day.classes[0];
    (c.cv, c.attempt_noise, c.work) = (0.0, 0.0, Span::ms(20.0));
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

/// A policy that does one wrong thing.
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
            for e in entries {
                self.servers.retain(|s| s.id != e.id);
                self.servers.push(e.clone());
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
    let mut rules: Vec<Rule> = played.result.breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_lone_request_takes_its_work_and_its_way() {
    let mut day = plain(1, 2.0);
    // Both ways of client and server, three trips of a handshake before the first.
    let way = 2.0 * (day.network.client.secs() + day.network.same_zone.secs());
    day.classes[0].aim = Span::s(0.020 + way + 0.001);
    let played = play(&day, Kind::Random, false).unwrap();
    let ends = played.result.ends;
    assert!(ends.served + ends.late >= 10, "{ends:?}");
    assert!(ends.late <= ends.served / 3, "answers take longer than work and way: {ends:?}");
    day.classes[0].aim = Span::s(0.020 + way - 0.0005);
    let played = play(&day, Kind::Random, false).unwrap();
    assert_eq!(played.result.ends.served, 0, "answers come before their work is done");
}

#[test]
fn cores_are_the_limit_of_what_is_served() {
    // 2 servers of 2 cores do 200 requests of 20 ms a second.
    let served = |rate: f64| {
        let mut day = plain(2, rate);
        day.tiers[0].thrash = 0.0;
        let r = play(&day, Kind::Module, false).unwrap().result;
        f64::from(r.ends.served + r.ends.late) / day.length.secs()
    };
    let (under, over) = (served(150.0), served(600.0));
    assert!((135.0..165.0).contains(&under), "{under} of 150 a second");
    assert!((150.0..=215.0).contains(&over), "{over} of 600 a second, with room for 200");
}

#[test]
fn one_seed_gives_one_result_on_any_number_of_threads() {
    let day = catalog::generate("errors+deploy+heavy", 5, Size::Small).unwrap();
    let once = || serde_json::to_string(&play(&day, Kind::Module, true).unwrap().result).unwrap();
    let first = once();
    let others: Vec<String> = std::thread::scope(|s| {
        (0..4).map(|_| s.spawn(once)).collect::<Vec<_>>().into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert!(others.iter().all(|o| *o == first));
}

#[test]
fn a_policy_that_answers_nothing_loses_requests() {
    let played = scripted(&plain(2, 20.0), |_, _, _, _| {});
    assert_eq!(rules(&played), [Rule::Lost]);
    assert_eq!(played.result.broken, played.result.requests);
    let breach = &played.result.breaches[0];
    assert!(breach.before.iter().any(|n| n.contains("came")), "{breach:?}");
}

#[test]
fn a_keyed_request_sent_again_elsewhere_is_a_duplicate() {
    let mut day = plain(12, 20.0);
    (day.classes[0].effect, day.classes[0].repeats_dropped) = (Effect::Keyed, Span::s(10.0));
    day.tiers[0].cell_size = 1;
    day.faults.push(fault(FaultKind::FastErrors, 0.0, 10.0));
    let played = scripted(&day, |me, _, event, actions| match event {
        Event::Request { id, .. } => actions.push(send(id, me.servers[0].id)),
        Event::Outcome { request, finished: false, attempt: 0, .. } => {
            actions.push(send(request, me.servers[1].id));
        }
        Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
        _ => {}
    });
    assert_eq!(rules(&played), [Rule::Duplicate]);
}

#[test]
fn sends_to_a_server_that_drains_break_the_rule_after_its_grace() {
    let mut day = plain(2, 40.0);
    let mut drains = fault(FaultKind::RollingDeploy, 1.0, 8.0);
    (drains.which, drains.drain) = (vec![0], Span::s(8.0));
    day.faults.push(drains);
    (day.discovery.notice, day.discovery.period) = (Span::s(1.0), Span::s(0.1));
    let stubborn: Decide = |me, _, event, actions| match event {
        Event::Request { id, .. } => {
            let first = me.servers.iter().map(|s| s.id).min().unwrap();
            actions.push(send(id, first));
        }
        Event::Outcome { request, finished: false, .. } => actions.push(Action::Fail { request }),
        _ => {}
    };
    let played = scripted(&day, stubborn);
    assert_eq!(rules(&played), [Rule::Drain]);
    // Noticed a second after its start at 1 s, told soon after, and 2.5 s of grace.
    let first = played.result.breaches[0].at as f64 / 1e6;
    assert!((4.5..5.2).contains(&first), "first breach at {first} s");
    day.rules.drain_grace = Span::s(20.0);
    assert_eq!(scripted(&day, stubborn).result.broken, 0);
}

#[test]
fn a_cold_server_that_gets_all_calls_falls_over_and_the_rule_is_broken() {
    let mut day = plain(12, 700.0);
    let mut restarts = fault(FaultKind::RollingDeploy, 1.0, 1.0);
    (restarts.which, restarts.drain) = (vec![3], Span::s(0.1));
    day.faults.push(restarts);
    day.tiers[0].warm_after = Span::s(8.0);
    let played = scripted(&day, |me, _, event, actions| match event {
        Event::Request { id, .. } => {
            let cold = me.servers.iter().find(|s| s.started.is_some() && s.state == ServerState::Ready);
            let other = me.servers.iter().find(|s| s.state == ServerState::Ready);
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
fn probes_take_their_way_cost_work_and_have_their_price() {
    let mut day = plain(1, 60.0);
    (day.tiers[0].probe_work, day.prices.probe) = (Span::ms(10.0), 0.01);
    let decide = |probes: bool| -> Decide {
        if probes {
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
    // Two cores have room for 100 requests of 20 ms a second, of which 60 come; as many probes of 10 ms more crowd them.
    day.classes[0].aim = Span::ms(40.0);
    let (without, with) = (scripted(&day, decide(false)).result, scripted(&day, decide(true)).result);
    assert!(with.prices > without.prices + 0.009, "{} after {}", with.prices, without.prices);
    assert!(with.ends.late > without.ends.late, "{:?} after {:?}", with.ends, without.ends);
}

#[test]
fn losses_are_told_with_their_cause_and_server() {
    let mut day = plain(3, 60.0);
    let mut silent = fault(FaultKind::Silent, 2.0, 7.0);
    silent.which = vec![1];
    day.faults.push(silent);
    let played = play(&day, Kind::RoundRobin, false).unwrap();
    let worst = &played.detail.losses[0];
    assert_eq!((worst.cause, worst.server), (Cause::Silent, Some(1)), "{:?}", played.detail.losses);
    let sum: f64 = played.detail.losses.iter().map(|l| l.worth).sum();
    assert!((sum - (1.0 - played.result.whole)).abs() < 1e-6, "losses add up to what is missing: {sum}");
}

#[test]
fn crowded_servers_choke_and_stay_slow_until_they_rest() {
    let mut day = catalog::generate("busy", 3, Size::Small).unwrap();
    let choked = |day: &Scenario| play(day, Kind::Random, false).unwrap().result.choked;
    day.load.rate *= 1.6;
    for (at, expected) in [(5.0, true), (1e6, false)] {
        for t in &mut day.tiers {
            t.choke = Some(Choke {
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
        assert_eq!(ended, result.requests, "{part}: every first try has one end");
        assert_eq!(result.broken, 0, "{part}: {:#?}", result.breaches.first());
    }
}
