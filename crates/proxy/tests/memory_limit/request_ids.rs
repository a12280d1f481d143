//! Memory of the request ids that the processes of a hot restart share.

use std::path::Path;

use crate::common::*;
use crate::load::*;

/// Number of processes of a balancer that may run at the same time.
const MAX_PROCESSES: usize = 4;
/// Number of records of a full ring.
const RING_RECORDS: u32 = 32_768;
/// Number of processes that run in the test.
const RUNNING_PROCESSES: usize = 3;
/// Share of the memory limit that one of several processes may use, as a divisor.
const SHARE_OF_SEVERAL: usize = 4;
/// Number of short requests of other clients.
const SHORT_REQUESTS: usize = 200;

/// Writes full rings of claimed ids for all processes of a balancer into its folder. No two records have the same id.
pub fn write_full_rings(folder: &Path) {
    for process in 0..MAX_PROCESSES {
        let records = (1..=RING_RECORDS).flat_map(|sequence| claim_record(process, sequence));
        // The record with sequence 1 has the second place, and the last one the first.
        let mut ring: Vec<u8> = records.collect();
        ring.rotate_right(claim_record(process, 1).len());
        let path = folder.join(format!("zincstand-request-ids-{process}.ring"));
        std::fs::write(path, ring).expect("the ring is written");
    }
}

/// Returns the stored form of a record: its sequence, the checksum of a claim, and the number that stands for the id.
fn claim_record(process: usize, sequence: u32) -> [u8; 16] {
    let fingerprint = (process as u64) << 32 | u64::from(sequence);
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&sequence.to_le_bytes());
    checksum.update(&fingerprint.to_le_bytes());
    checksum.update(b"claimed");
    let mut record = [0; 16];
    record[..4].copy_from_slice(&sequence.to_le_bytes());
    record[4..8].copy_from_slice(&checksum.finalize().to_le_bytes());
    record[8..].copy_from_slice(&fingerprint.to_le_bytes());
    record
}

#[test]
fn processes_that_start_with_full_rings_of_request_ids_stay_within_their_shares_and_serve_short_requests() {
    let _one_crowd = lock_crowd();
    let upstreams = start_upstreams(&MIXED_LOAD);
    let (folder, listener) = (SharedFolder::new("memory-full-rings"), free_listener());
    write_full_rings(&folder.path);
    let start = |_| {
        let setup = Setup::with_upstreams(&upstreams).memory_mb(MEMORY_MB).sockets(DESCRIPTORS);
        setup.inherited_listener(&listener).folder(&folder).with_admin().start()
    };
    let processes: Vec<_> = (0..RUNNING_PROCESSES).map(start).collect();
    let newest = processes.last().expect("a process runs");
    let is_served = |number: &usize| {
        let text = request("look", &format!("other-{number}"), "");
        status_of_exchange(newest.address, &text) == Some(200)
    };
    let served = (0..SHORT_REQUESTS).filter(is_served).count();
    let peaks: Vec<_> = processes.iter().map(Balancer::peak_memory_kb).collect();
    println!("peaks with full rings: {peaks:?} kB, {served} of {SHORT_REQUESTS} short requests served");
    let share_kb = (MEMORY_MB << 10) / SHARE_OF_SEVERAL;
    assert!(peaks.iter().all(|peak_kb| *peak_kb < share_kb), "{peaks:?} kB, a process may use {share_kb} kB");
    assert_eq!(served, SHORT_REQUESTS, "short requests are served");
}
