//! Servers that are warming up.

use std::collections::BTreeMap;

use crate::common::{MS, SECOND, Simulation, ok_after, settings};
use crate::helpers::{serve, simulation};
use zincstand_policy::{Idempotency, ListKind, ServerEntry, ServerId, ServerState, Settings};

#[test]
fn a_server_that_is_warming_up_receives_fewer_attempts() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve(&mut simulation, 0, 400, 5 * MS);
    let warming_up = ServerEntry { started: Some(simulation.now), ..ServerEntry::new(9) };
    simulation.list(ListKind::Delta, vec![warming_up]);
    let before = simulation.sends.clone();
    serve(&mut simulation, 0, 600, 5 * MS);
    let sent_to_warming_up = simulation.sent_to(9);
    let sent_to_warm = f64::from(simulation.sends[&0] - before[&0]);
    let is_less = f64::from(sent_to_warming_up) < 0.6 * sent_to_warm;
    assert!(
        is_less && sent_to_warming_up > 0,
        "{sent_to_warming_up} to the server that is warming up, {sent_to_warm} to a warm one"
    );
}

#[test]
fn a_server_is_used_once_it_has_warmed_up_however_few_requests_arrived_before() {
    // The send rate is unknown after the balancer has started, for example during a rolling release.
    let now = 1_000 * SECOND;
    let warming_up = ServerEntry { started: Some(now - SECOND), ..ServerEntry::new(1) };
    for seed in 0..8 {
        let servers = vec![ServerEntry::new(0), warming_up.clone()];
        let mut simulation = Simulation::new(settings(&[Idempotency::Idempotent]), servers, seed);
        assert_eq!(simulation.now, now);
        let warm_up_time = simulation.settings.rules.warm_up_time;
        for _ in 0..warm_up_time / (100 * MS) + 20 {
            simulation.request(0);
            simulation.run_for(100 * MS, |_| ok_after(50 * MS));
        }
        assert!(simulation.sends.contains_key(&1), "seed {seed}: not used although it has warmed up");
    }
}

#[test]
fn a_restarted_zone_is_used_while_it_warms_up() {
    // The send rate of the zone is unknown, since the other zone received all recent attempts.
    let entry = |id: ServerId, zone| ServerEntry { zone, ..ServerEntry::new(id) };
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.zone_count = 2;
    for seed in 0..8 {
        let servers = vec![entry(0, 0), entry(1, 0), entry(2, 1), entry(3, 1)];
        let mut simulation = Simulation::new(settings.clone(), servers, seed);
        serve(&mut simulation, 0, 100, 5 * MS);
        let removed = |id| ServerEntry { state: ServerState::Removed, ..entry(id, 0) };
        simulation.list(ListKind::Delta, vec![removed(0), removed(1)]);
        serve(&mut simulation, 0, 100, 5 * MS);
        let started = Some(simulation.now);
        let restarted = |id| ServerEntry { started, ..entry(id, 0) };
        simulation.list(ListKind::Delta, vec![restarted(0), restarted(1)]);
        let before = simulation.sends.clone();
        let until = simulation.now + simulation.settings.rules.warm_up_time / 4;
        while simulation.now < until {
            serve(&mut simulation, 0, 1, 5 * MS);
        }
        let sent = |id| simulation.sends[&id] - before[&id];
        assert!(sent(0) > 0 && sent(1) > 0, "seed {seed}: {} and {} attempts", sent(0), sent(1));
        assert!(sent(0) + sent(1) < sent(2) + sent(3), "seed {seed}: {} and {} attempts", sent(0), sent(1));
    }
}

/// Returns settings of one of 17 balancers. With the load of [`sent_after_replacement`], each of them sends a
/// server one attempt every two seconds.
fn settings_of_many_balancers() -> Settings {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.balancer_count = 17;
    settings.rules.initial_capacity = 0.3;
    settings.rules.warm_up_time = 8_800 * MS;
    settings.rules.overload_factor = 4.0;
    settings.rules.overload_window = 1_500 * MS;
    settings
}

fn ring_entry(id: ServerId) -> ServerEntry {
    let ring_position = u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ServerEntry { ring_position, ..ServerEntry::new(id) }
}

/// Replaces five of a balancer's 16 servers, and returns how many attempts each remaining or new server
/// receives after that.
fn sent_after_replacement(balancer_index: u32) -> BTreeMap<ServerId, u32> {
    let settings = Settings { balancer_index, ..settings_of_many_balancers() };
    let mut simulation =
        Simulation::new(settings, (0..16).map(ring_entry).collect(), u64::from(balancer_index));
    let serve = |simulation: &mut Simulation, requests: u32| {
        for _ in 0..requests {
            simulation.request(0);
            simulation.run_for(125 * MS, |_| ok_after(100 * MS));
        }
    };
    serve(&mut simulation, 80);
    let removed = |id| ServerEntry { state: ServerState::Removed, ..ring_entry(id) };
    simulation.list(ListKind::Delta, (0..5).map(removed).collect());
    let started = Some(simulation.now);
    let new = |id| ServerEntry { started, ..ring_entry(id) };
    simulation.list(ListKind::Delta, (16..21).map(new).collect());
    let before = simulation.sends.clone();
    serve(&mut simulation, 35);
    let sent = |id: ServerId| simulation.sent_to(id) - before.get(&id).unwrap_or(&0);
    (5..21).map(|id| (id, sent(id))).collect()
}

#[test]
fn servers_that_are_warming_up_get_their_share_from_many_balancers_with_few_requests() {
    // Guards against pauses as long as the interval between the attempts of one balancer, which would take
    // most of the warm-up time.
    let mut sent_to_warming_up = 0;
    let mut sent_to_warm = 0;
    for balancer_index in 0..17 {
        let sent = sent_after_replacement(balancer_index);
        sent_to_warming_up += sent.range(16..21).map(|(_, sent)| sent).sum::<u32>();
        sent_to_warm += sent.range(5..16).map(|(_, sent)| sent).sum::<u32>();
    }
    // The mean capacity during the warm-up time is half of a warm server's. Pauses and selection by load
    // reduce the share further.
    let share = f64::from(sent_to_warming_up) / 5.0 / (f64::from(sent_to_warm) / 11.0);
    assert!(
        (0.15..0.6).contains(&share),
        "a server that is warming up received {share:.2} of a warm one's attempts"
    );
}

#[test]
fn a_burst_does_not_overload_a_server_that_is_warming_up() {
    // A new server has no attempts in flight, so all balancers would select it at once.
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve(&mut simulation, 0, 200, 5 * MS);
    let warming_up = ServerEntry { started: Some(simulation.now), ..ServerEntry::new(9) };
    simulation.list(ListKind::Delta, vec![warming_up]);
    for _ in 0..60 {
        for _ in 0..6 {
            simulation.request(0);
        }
        simulation.run_for(25 * MS, |_| ok_after(20 * MS));
    }
    let sent = f64::from(simulation.sent_to(9));
    // The number of attempts that the rules allow if the other servers are used to their full capacity.
    let rules = &simulation.settings.rules;
    let limit = rules.overload_factor * rules.initial_capacity * (360.0 - sent) / 4.0;
    assert!(
        sent < limit,
        "{sent} of 360 attempts in its first seconds, of which at most {limit} are allowed"
    );
}

/// Returns the number of attempts to a server that has just started, while four others are warm. The
/// balancer's clock is `clock_error` microseconds ahead of the true time (behind if negative), so that the
/// start appears to be longer ago by that time.
fn attempts_to_new_server(clock_error: i64) -> u32 {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    // A process that appears after the first snapshot from discovery counts as just started.
    simulation.list(ListKind::Snapshot, (0..4).map(ServerEntry::new).collect());
    serve(&mut simulation, 0, 400, 5 * MS);
    let started = Some(simulation.now.saturating_add_signed(-clock_error));
    simulation.list(ListKind::Delta, vec![ServerEntry { started, ..ServerEntry::new(9) }]);
    serve(&mut simulation, 0, 600, 5 * MS);
    simulation.sent_to(9)
}

#[test]
fn a_start_received_after_the_first_snapshot_counts_as_new_despite_clock_errors() {
    let with_correct_clock = attempts_to_new_server(0);
    for seconds in [30, 3600, -30, -3600] {
        let attempts = attempts_to_new_server(seconds * SECOND as i64);
        assert_eq!(attempts, with_correct_clock, "clock {seconds} s ahead");
    }
}

#[test]
fn a_start_time_in_the_future_does_not_prolong_the_warm_up() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 0);
    let warming_up = ServerEntry { started: Some(simulation.now + 3600 * SECOND), ..ServerEntry::new(1) };
    simulation.list(ListKind::Snapshot, vec![ServerEntry::new(0), warming_up]);
    let warm_up_time = simulation.settings.rules.warm_up_time;
    serve(&mut simulation, 0, (warm_up_time / (6 * MS)) as usize + 1, 5 * MS);
    let before = simulation.sends.clone();
    serve(&mut simulation, 0, 600, 5 * MS);
    let [sent_to_warm, sent_to_warmed_up] =
        [0, 1].map(|id| simulation.sends[&id] - before.get(&id).copied().unwrap_or(0));
    assert!(
        2 * sent_to_warmed_up > sent_to_warm,
        "{sent_to_warmed_up} to the server with the future start time, {sent_to_warm} to the other"
    );
}
