use super::*;

#[test]
fn whatever_fails_the_next_look_comes_within_the_grace_of_a_drain() {
    for ms in [120, 250, 1_000, 2_500, 10_000, 90_000] {
        let grace = Duration::from_millis(ms);
        let Clocks { wait, patience, again, most_pause } = Clocks::within(grace);
        // Silence to the end of a watch, and then a pause; or calls that fail at once, one after the other.
        assert!(wait + patience + again < grace, "{ms} ms");
        assert!(patience + most_pause < grace, "{ms} ms");
        // What a silent watch misses counts as told then.
        assert!(wait + patience + again <= (wait + Duration::from_secs(2)).max(Duration::from_secs(6)));
    }
}
