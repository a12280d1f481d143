//! Open-loop load: requests are sent on schedule, independent of the latency of the responses.

use std::time::Duration;

use zincstand_testbed::clients::{Schedule, ScheduledRequest, Target, run_open_loop};
use zincstand_testbed::upstreams::Upstreams;

#[test]
fn requests_go_to_the_targets_in_turn_at_even_intervals() {
    let schedule = Schedule { rate: 250.0, targets: 2 };
    let scheduled: Vec<_> = (0..4).map(|number| schedule.request(number)).collect();
    let request = |target, ms| ScheduledRequest { target, offset: Duration::from_millis(ms) };
    assert_eq!(scheduled, [request(0, 0), request(1, 2), request(0, 4), request(1, 6)]);
}

#[test]
fn requests_are_sent_on_schedule_and_their_latency_includes_the_wait_for_a_connection() {
    let upstreams = Upstreams::start(1).expect("the upstream starts");
    upstreams.set_response_delay(Duration::from_millis(20));
    let target = Target { addresses: upstreams.addresses.clone(), connections: 1 };
    // Twenty requests are scheduled within 95 ms, on one connection that takes 400 ms for them.
    let duration = Duration::from_millis(99);
    let outcome = run_open_loop("t", &[target], 200.0, duration).expect("the clients connect").remove(0);
    assert_eq!((outcome.requests, upstreams.requests()[0]), (20, 20));
    assert_eq!((outcome.responses.get(&200), outcome.failed()), (Some(&20), 0));
    assert!(outcome.latency.max() > 300_000_000, "the last request took only {} ns", outcome.latency.max());
    assert_eq!(upstreams.connections(), 1);
}
