//! The journal through which the processes of a balancer share the ids that they have claimed: one ring for each process.

use std::collections::VecDeque;
use std::io;
use std::path::Path;

use crate::lifecycle::hot_restart::MAX_PROCESSES;
use crate::request_ids::record::{Record, RecordKind};
use crate::request_ids::ring::Ring;

/// Maximum number of records that wait to be written, while the file cannot be written.
const MAX_UNWRITTEN: usize = 4096;

/// The rings of all processes.
pub(super) struct IdJournal {
    /// The ring that this process writes.
    own: Ring,
    /// The rings of the other processes, with their numbers.
    others: Vec<OtherRing>,
    /// Records of this process that are not written yet, oldest first.
    unwritten: VecDeque<UnwrittenRecord>,
}

/// The ring of another process.
struct OtherRing {
    slot: u8,
    ring: Ring,
}

/// A record that has no sequence yet.
struct UnwrittenRecord {
    kind: RecordKind,
    fingerprint: u64,
}

impl IdJournal {
    /// Opens the rings in `folder`; this process writes the one with the number `slot`. Passes the records in them to
    /// `on_record`, with the number of their process; those of the process that had this process's number before come first.
    ///
    /// # Errors
    ///
    /// A file cannot be created or read.
    pub(super) fn open(
        folder: &Path,
        slot: u8,
        mut on_record: impl FnMut(u8, Record),
    ) -> io::Result<IdJournal> {
        let mut open = |number: u8| {
            let path = folder.join(format!("zincstand-request-ids-{number}.ring"));
            Ring::open(&path, |record| on_record(number, record))
        };
        let own = open(slot)?;
        let mut others = Vec::new();
        for other in (0..MAX_PROCESSES).filter(|number| *number != slot) {
            others.push(OtherRing { slot: other, ring: open(other)? });
        }
        Ok(IdJournal { own, others, unwritten: VecDeque::new() })
    }

    /// Writes a record. If that fails, it is written with a later one.
    ///
    /// # Errors
    ///
    /// The record, or one before it, cannot be written.
    pub(super) fn append(&mut self, kind: RecordKind, fingerprint: u64) -> io::Result<()> {
        if self.unwritten.len() == MAX_UNWRITTEN {
            self.unwritten.pop_front();
        }
        self.unwritten.push_back(UnwrittenRecord { kind, fingerprint });
        self.flush()
    }

    /// Writes the records that are not written yet.
    ///
    /// # Errors
    ///
    /// A record cannot be written.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while let Some(UnwrittenRecord { kind, fingerprint }) = self.unwritten.front() {
            let sequence = self.own.next_sequence();
            self.own.write(Record { sequence, kind: *kind, fingerprint: *fingerprint })?;
            self.unwritten.pop_front();
        }
        Ok(())
    }

    /// Passes the new records of the other processes to `on_record`, with the number of the process.
    pub(super) fn read_others(&mut self, mut on_record: impl FnMut(u8, Record)) {
        for other in &mut self.others {
            other.ring.read_new(|record| on_record(other.slot, record));
        }
    }
}
