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
    let while_silent = simulation.sends[&2];
    assert!(while_silent < 8, "{while_silent}");
    for _ in 0..600 {
        simulation.request(0);
        simulation.run_for(40 * MS, |_| ok_after(20 * MS));
    }
    assert!(simulation.sends[&2] > while_silent + 20, "used again after a trial: {:?}", simulation.sends);
}

#[test]
fn a_short_time_left_opens_no_breaker() {
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
fn a_time_left_far_below_the_silence_limit_opens_no_breaker() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 2);
    serve(&mut simulation, 0, 20, 10 * MS);
    // The 99th percentile is not known, so the time left sets each limit.
    for _ in 0..6 {
        simulation.request_with(0, 90 * MS);
        assert_eq!(last_in_flight(&simulation).limit, 90 * MS, "no time is reserved for a retry");
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
fn a_retry_that_times_out_at_the_median_opens_no_breaker() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve(&mut simulation, 0, 40, 10 * MS);
    // Server 1 rejects first attempts, which tells nothing, and does not respond to retries. Server 0 resets
    // all connections.
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
    assert!(timed_out >= 3, "retries timed out at the median {timed_out} times");
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
    assert!(used >= 5, "{used} in use");
}

#[test]
fn a_lost_zone_does_not_take_every_call_in_turn() {
    // Its servers refuse connections at once. While at most a third of them could be ejected, the others
    // always looked free.
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
    assert!(added < 20, "{added} more");
}

#[test]
fn a_server_that_fails_one_class_keeps_the_others() {
    // Each success of another class reset the count of failures, so the failing class was sent there again
    // and again.
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
    assert!(failures < 12, "{failures} of about 50");
    let served = simulation.sends[&2];
    assert!(served > 60, "the other class is still sent there: {served}");
}

#[test]
fn a_server_that_rejects_calls_is_paused() {
    // It rejects at once, so it always had the fewest attempts in flight and received most of the traffic.
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
    assert!(rejected < 25, "{rejected} calls in a second to a server that rejects all");
    let before = simulation.sends[&1];
    serve(&mut simulation, 0, 100, 20 * MS);
    assert!(simulation.sends[&1] > before + 10, "it is used again once it serves calls");
}

#[test]
fn silent_servers_are_ejected_before_the_99th_percentile_is_known() {
    // The time left sets all limits then, so no time-out counted against the server.
    let mut settings = settings(&[Idempotency::NotIdempotent]);
    settings.classes[0].late_weight = 0.2;
    let mut simulation = Simulation::new(settings, (0..4).map(ServerEntry::new).collect(), 7);
    let mut sent_to_silent = |requests: u32| {
        let before = simulation.sent_to(2);
        for _ in 0..requests {
            simulation.request(0);
            simulation.run_for(500 * MS, |attempt| {
                if attempt.server == 2 { Response::Never } else { ok_after(50 * MS) }
            });
        }
        simulation.sent_to(2) - before
    };
    sent_to_silent(60);
    let later = sent_to_silent(60);
    assert!(later <= 8, "{later} of 60 calls were sent to a server that never responds");
}
