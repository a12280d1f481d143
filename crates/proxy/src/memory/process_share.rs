//! The division of the balancer's memory between its processes.

/// Returns the memory in bytes that one of `processes` running processes may use, out of `balancer_bytes` for all of them.
///
/// A process that runs alone gets half, and each of several gets an equal part of the other half. Of the processes that
/// run at the same time, at most one has ever been alone, so even the sum of their peaks stays within `balancer_bytes`. No
/// process has to shrink before another one starts.
pub fn process_share(balancer_bytes: usize, processes: usize) -> usize {
    let half = balancer_bytes / 2;
    match processes {
        0 | 1 => half,
        several => half / (several - 1).max(2),
    }
}

#[cfg(test)]
mod tests;
