//! Circuit breakers, ejection, and rejections by servers.

use crate::common::{MS, Response, Simulation, ends_after, ok_after, settings};
use crate::helpers::{last_in_flight, serve, simulation};
use zincstand_policy::{Idempotency, Outcome, ServerEntry};

#[test]
fn time_outs_of_a_server_open_its_breaker_and_a_trial_closes_it() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    for _ in 0..150 {
        simulation.request(0);
        simulation.run_for(
            40 * MS,
            |attempt| if attempt.server == 2 { Response::Never } else { ok_after(20 * MS) },
        );
    }
    let sent_while_unresponsive = simulation.sends[&2];
    assert!(sent_while_unresponsive < 8, "{sent_while_unresponsive}");
    for _ in 0..600 {
        simulation.request(0);
        simulation.run_for(40 * MS, |_| ok_after(20 * MS));
    }
    assert!(
        simulation.sends[&2] > sent_while_unresponsive + 20,
        "not used again after a trial: {:?}",
        simulation.sends
    );
}

#[test]
fn time_outs_of_requests_with_little_time_left_open_no_breaker() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 2);
    for _ in 0..60 {
        simulation.request_with(0, 20 * MS);
        simulation.run_for(
            60 * MS,
            |attempt| if attempt.server == 1 { Response::Never } else { ok_after(10 * MS) },
        );
    }
    let before = simulation.sends[&1];
    for _ in 0..200 {
        simulation.request(0);
        simulation.run_for(60 * MS, |_| ok_after(10 * MS));
    }
    assert!(simulation.sends[&1] > before + 10, "{:?}", simulation.sends);
}

#[test]
fn time_outs_before_twelve_medians_open_no_breaker() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 2);
    serve(&mut simulation, 0, 20, 10 * MS);
    // The 99th percentile is not known yet, so the time left sets each limit.
    for _ in 0..6 {
        simulation.request_with(0, 90 * MS);
        assert_eq!(last_in_flight(&simulation).limit, 90 * MS, "time is reserved for a retry");
        simulation.run_for(
            120 * MS,
            |attempt| if attempt.server == 1 { Response::Never } else { ok_after(10 * MS) },
        );
    }
    let before = simulation.sends[&1];
    for _ in 0..20 {
        simulation.request(0);
        simulation.run_for(40 * MS, |_| ok_after(10 * MS));
    }
    assert!(simulation.sends[&1] > before + 4, "{before}, then {:?}", simulation.sends);
}

#[test]
fn retries_that_time_out_at_the_median_open_no_breaker() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve(&mut simulation, 0, 40, 10 * MS);
    // Server 1 rejects first attempts, which is not a failure, and does not respond to retries. Server 0
    // resets all connections.
    let mut timed_out = 0;
    for _ in 0..60 {
        simulation.request(0);
        simulation.run_for(60 * MS, |attempt| match attempt.server {
            1 if attempt.limit < 15 * MS => {
                timed_out += 1;
                Response::Never
            }
            1 => ends_after(MS, Outcome::Rejected),
            0 => ends_after(MS, Outcome::Reset),
            _ => ok_after(10 * MS),
        });
    }
    assert!(timed_out >= 3, "only {timed_out} retries timed out at the median");
    let before = simulation.sent_to(1);
    for _ in 0..20 {
        simulation.request(0);
        simulation.run_for(40 * MS, |_| ok_after(10 * MS));
    }
    assert!(simulation.sent_to(1) > before + 2, "{before}, then {:?}", simulation.sends);
}

#[test]
fn when_all_servers_fail_most_stay_in_use() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 9);
    for _ in 0..300 {
        simulation.request(0);
        if let Some(attempt) = simulation.in_flight.first().cloned() {
            simulation.end(&attempt, Outcome::Error);
        }
        simulation.run_for(10 * MS, |_| Response::Never);
    }
    let before = simulation.sends.clone();
    for _ in 0..30 {
        simulation.request(0);
        simulation.run_for(10 * MS, |_| ok_after(MS));
    }
    let used = simulation.sends.iter().filter(|(id, sent)| before.get(id) != Some(sent)).count();
    assert!(used >= 5, "{used} of 9 servers in use");
}

#[test]
fn requests_do_not_try_all_servers_of_a_lost_zone() {
    // Servers of a lost zone refuse connections at once. While at most a third of the servers could be
    // ejected, those that were not ejected always looked free and received attempts.
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.zone_count = 3;
    let servers = (0..24).map(|id| ServerEntry { zone: id / 8, ..ServerEntry::new(id) });
    let mut simulation = Simulation::new(settings, servers.collect(), 3);
    let deliver = |simulation: &mut Simulation, requests: u32| {
        for _ in 0..requests {
            simulation.request(0);
            simulation.run_for(20 * MS, |attempt| {
                let is_lost = attempt.server < 8;
                if is_lost { ends_after(MS, Outcome::ConnectFailed) } else { ok_after(10 * MS) }
            });
        }
    };
    deliver(&mut simulation, 60);
    let sent_to_lost = |simulation: &Simulation| (0..8).map(|id| simulation.sent_to(id)).sum::<u32>();
    let before = sent_to_lost(&simulation);
    deliver(&mut simulation, 100);
    let added = sent_to_lost(&simulation) - before;
    assert!(added < 20, "{added} attempts to the lost zone for 100 requests");
}

#[test]
fn a_server_that_fails_one_class_still_receives_the_others() {
    // Guards against one failure count for all classes: each success of another class would reset it, so the
    // failing class would be sent to the server again and again.
    let mut simulation = simulation(&[Idempotency::Idempotent, Idempotency::Idempotent], 4);
    let mut failures_for_requests = |requests: u64| {
        let mut failures = 0;
        for number in 0..requests {
            simulation.request((number % 2) as usize);
            let sent = last_in_flight(&simulation);
            let fails = sent.server == 2 && number % 2 == 1;
            failures += u32::from(fails);
            simulation.run_for(10 * MS, |attempt| {
                let fails = attempt.server == 2 && attempt.request == sent.request && fails;
                ends_after(5 * MS, if fails { Outcome::Error } else { Outcome::Ok })
            });
            simulation.run_for(20 * MS, |_| ok_after(5 * MS));
        }
        failures
    };
    failures_for_requests(100);
    let failures = failures_for_requests(400);
    assert!(failures < 12, "{failures} failures, about 50 if the server is not ejected");
    let served = simulation.sends[&2];
    assert!(served > 60, "the server received only {served} attempts, although it serves the other class");
}

#[test]
fn a_server_that_rejects_attempts_is_paused() {
    // It rejects at once, so without a pause it always has the fewest attempts in flight and receives most of
    // the traffic.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 4);
    serve(&mut simulation, 0, 200, 20 * MS);
    let before = simulation.sends[&1];
    for _ in 0..200 {
        simulation.request(0);
        simulation.run_for(5 * MS, |attempt| {
            if attempt.server == 1 { ends_after(MS, Outcome::Rejected) } else { ok_after(20 * MS) }
        });
    }
    let rejected = simulation.sends[&1] - before;
    assert!(rejected < 25, "{rejected} attempts in a second to a server that rejects all");
    let before = simulation.sends[&1];
    serve(&mut simulation, 0, 100, 20 * MS);
    assert!(simulation.sends[&1] > before + 10, "not used again after it stopped rejecting attempts");
}

#[test]
fn unresponsive_servers_are_ejected_before_the_99th_percentile_is_known() {
    // The time left sets all limits while the 99th percentile is unknown. Guards against timeouts that do
    // not count against the server for that reason.
    let mut settings = settings(&[Idempotency::NotIdempotent]);
    settings.classes[0].late_weight = 0.2;
    let mut simulation = Simulation::new(settings, (0..4).map(ServerEntry::new).collect(), 7);
    let mut sent_to_unresponsive = |requests: u32| {
        let before = simulation.sent_to(2);
        for _ in 0..requests {
            simulation.request(0);
            simulation.run_for(500 * MS, |attempt| {
                if attempt.server == 2 { Response::Never } else { ok_after(50 * MS) }
            });
        }
        simulation.sent_to(2) - before
    };
    sent_to_unresponsive(60);
    let sent = sent_to_unresponsive(60);
    assert!(sent <= 8, "{sent} of 60 requests were sent to a server that never responds");
}
