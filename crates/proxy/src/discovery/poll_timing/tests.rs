use super::*;
use crate::discovery::client::CALL_TIMEOUT;

#[test]
fn whatever_fails_the_next_call_starts_within_the_drain_grace_period() {
    for ms in [1, 120, 250, 1_000, 2_500, 10_000, 90_000] {
        let grace = Duration::from_millis(ms);
        let PollTiming { watch_wait, response_timeout, first_backoff, max_backoff } =
            PollTiming::within(grace);
        // Silence to the end of a watch call and then a backoff; or calls that fail at once, one after the other.
        let bounds = Duration::from_millis(85);
        assert!(watch_wait + response_timeout + first_backoff < grace.max(bounds), "{ms} ms");
        assert!(response_timeout + max_backoff < grace.max(bounds), "{ms} ms");
        // A silent watch call is followed by the next one before it is given up. Two calls in succession that take
        // as long as they may end before a change counts as received.
        assert!(watch_wait + response_timeout < CALL_TIMEOUT, "{ms} ms");
        assert!(CALL_TIMEOUT + max_backoff + CALL_TIMEOUT < Duration::from_secs(6), "{ms} ms");
    }
}
