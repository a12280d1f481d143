use super::*;

const MIB: usize = 1 << 20;

#[test]
fn the_peaks_of_all_running_processes_together_stay_within_the_memory_of_the_balancer() {
    for megabytes in [32, 33, 48, 96, 191, 192] {
        let total = megabytes * MIB;
        for running in 1..=5 {
            // At most one process has been alone before, and the others have never had more than the share of two.
            let peaks = process_share(total, 1) + (running - 1) * process_share(total, 2);
            let in_force: usize = (0..running).map(|_| process_share(total, running)).sum();
            assert!(in_force <= total, "{megabytes} MB, {running} processes");
            assert!(running > 3 || peaks <= total, "{megabytes} MB, {running} processes");
        }
    }
}
