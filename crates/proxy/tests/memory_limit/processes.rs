//! Mixed crowds at other limits, and over restarts, kills and reloads.

use std::time::Duration;

use crate::common::*;
use crate::load::*;
use crate::request_ids::write_full_rings;

/// How long a crowd loads one process before the next event.
const PROCESS_LOAD_TIME: Duration = Duration::from_secs(1);

#[test]
fn a_mixed_crowd_is_held_within_the_largest_memory_limit() {
    // All of the crowd is admitted, and upstreams that work would have no time for other clients.
    assert_held_within(&Load { works: false, ..MIXED_LOAD }, 192, DESCRIPTORS);
}

#[test]
fn a_mixed_crowd_is_held_within_the_memory_limit_with_few_descriptors() {
    assert_held_within(&MIXED_LOAD, MEMORY_MB, 256);
}

/// Starts three processes of a hot restart one after the other in a folder, and loads each with a crowd. Returns the peaks of
/// their resident memory in kB.
fn peaks_of_three_processes_under_a_crowd(folder: &SharedFolder) -> Vec<usize> {
    let upstreams = start_upstreams(&MIXED_LOAD);
    let listener = free_listener();
    let start = || {
        let setup = Setup::with_upstreams(&upstreams).memory_mb(MEMORY_MB).sockets(DESCRIPTORS);
        setup.inherited_listener(&listener).folder(folder).with_admin().start()
    };
    let mut processes = vec![start()];
    let mut crowds = Vec::new();
    for _ in 0..3 {
        let newest = processes.last().expect("a process runs");
        let mut crowd = Crowd::connect(newest, CROWD_SIZE / 2, mixed_parts);
        write_for(&mut crowd, PROCESS_LOAD_TIME);
        crowds.push(crowd);
        if processes.len() < 3 {
            processes.push(start());
        }
    }
    processes.iter().map(Balancer::peak_memory_kb).collect()
}

#[track_caller]
fn assert_together_within_limit(peaks_kb: &[usize]) {
    println!("peaks of the processes: {peaks_kb:?} kB");
    let sum_kb: usize = peaks_kb.iter().sum();
    assert!(sum_kb < MEMORY_MB << 10, "{peaks_kb:?} kB together, the limit is {MEMORY_MB} MB");
}

#[test]
fn the_peaks_of_three_processes_of_a_hot_restart_under_a_crowd_are_together_within_the_memory_limit() {
    let _one_crowd = lock_crowd();
    let folder = SharedFolder::new("memory-restart");
    assert_together_within_limit(&peaks_of_three_processes_under_a_crowd(&folder));
}

#[test]
fn the_peaks_of_three_processes_with_full_rings_of_request_ids_are_together_within_the_memory_limit() {
    let _one_crowd = lock_crowd();
    let folder = SharedFolder::new("memory-restart-full-rings");
    write_full_rings(&folder.path);
    assert_together_within_limit(&peaks_of_three_processes_under_a_crowd(&folder));
}

#[test]
fn a_crowd_that_reconnects_after_each_of_several_kills_and_reloads_is_held_within_the_memory_limit() {
    let _one_crowd = lock_crowd();
    let upstreams = start_upstreams(&MIXED_LOAD);
    for round in 0..4 {
        let setup = Setup::with_upstreams(&upstreams).memory_mb(MEMORY_MB).sockets(DESCRIPTORS);
        let config = setup.config();
        // Dropping the process kills it while the crowd is connected.
        let balancer = setup.start();
        let mut crowd = Crowd::connect(&balancer, CROWD_SIZE, mixed_parts);
        for _ in 0..3 {
            balancer.reload(&config);
            write_for(&mut crowd, PROCESS_LOAD_TIME / 3);
        }
        let peak_kb = balancer.peak_memory_kb();
        println!("round {round}: peak {peak_kb} kB");
        assert!(peak_kb < MEMORY_MB << 10, "round {round}: {peak_kb} kB, the limit is {MEMORY_MB} MB");
        let status = status_of_exchange(balancer.address, &request("look", "other-last", ""));
        assert!(status.is_some(), "round {round}: the process answers");
    }
}
