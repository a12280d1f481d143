//! The ids of requests that are open, and of those that may have run and must not run again. A client that has left may send
//! its request again with the same id, to this process or to another one that shares its listener.

mod journal;
mod record;
mod ring;
mod table;

use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;
use zincstand_policy as policy;
use zincstand_policy::Idempotency;

use crate::log::log_line;
use crate::request_ids::journal::IdJournal;
use crate::request_ids::record::{Record, RecordKind};
use crate::request_ids::table::{Holder, IdState, IdTable};

/// Minimum time for which an id is retained after its request has ended.
const MIN_RETENTION: Duration = Duration::from_mins(1);
/// Memory of the process for each id that may be retained, in bytes.
const MEMORY_BYTES_PER_ID: usize = 2048;
/// Minimum and maximum number of ids that are retained.
const CAPACITY_RANGE: std::ops::RangeInclusive<usize> = 4096..=65_536;

/// Why a request with an id may not be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// A request with this id is open in this process.
    #[error("this Req-Id is open")]
    Open,
    /// A request with this id may have run, or another process of this balancer has claimed the id.
    #[error("this Req-Id has been used")]
    Used,
    /// All ids that must be remembered take the whole capacity.
    #[error("too many Req-Ids to remember")]
    NoCapacity,
    /// The id cannot be shared with the other running processes of this balancer.
    #[error("the Req-Id cannot be shared")]
    NotShared,
}

/// How long ids are retained and how many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// Time for which an id is retained, unless the capacity is used up.
    pub preferred: Duration,
    /// Time for which an id must be retained: as long as a client may wait and upstreams may drop repeats.
    pub required: Duration,
    /// Maximum number of ids.
    pub capacity: usize,
}

impl Retention {
    /// Returns the retention for these classes in a process with this much memory.
    pub fn new(classes: &[policy::Class], memory_bytes: usize) -> Retention {
        let class_time = |class: &policy::Class| match class.idempotency {
            Idempotency::WithKey { window, .. } => class.deadline.max(window),
            Idempotency::Idempotent | Idempotency::NotIdempotent => class.deadline,
        };
        let required = Duration::from_micros(classes.iter().map(class_time).max().unwrap_or(0));
        let capacity = memory_bytes / MEMORY_BYTES_PER_ID;
        Retention {
            preferred: required.max(MIN_RETENTION),
            required,
            capacity: capacity.clamp(*CAPACITY_RANGE.start(), *CAPACITY_RANGE.end()),
        }
    }
}

/// The ids that this process knows, and the journal through which the processes of a balancer share theirs.
pub struct RequestIds {
    table: RefCell<IdTable>,
    /// `None` if no other process can serve this balancer's clients.
    journal: RefCell<Option<IdJournal>>,
    /// Whether another process of this balancer was running when last counted.
    others_running: Cell<bool>,
}

/// The claim of one open request on its id. When it is dropped, the id is retained if the request may have run and may not
/// run again, and is free otherwise.
pub struct RequestIdClaim {
    ids: Rc<RequestIds>,
    fingerprint: u64,
    repeatable: bool,
    may_have_run: Cell<bool>,
}

impl RequestIds {
    /// Creates a table without ids that is shared with no other process.
    pub fn new(retention: Retention) -> Rc<RequestIds> {
        Rc::new(RequestIds {
            table: RefCell::new(IdTable::new(retention)),
            journal: RefCell::new(None),
            others_running: Cell::new(false),
        })
    }

    /// Shares the ids with the other processes that use `folder`. `slot` is this process's number among them. The ids that
    /// they and this process's predecessors have claimed are read first. If the files cannot be opened, the ids are not
    /// shared, which is logged.
    pub fn share(&self, folder: &Path, slot: u8) {
        let now = Instant::now();
        let opened = IdJournal::open(folder, slot, |slot, record| {
            apply_record(&mut self.table.borrow_mut(), slot, record, now);
        });
        match opened {
            Ok(journal) => *self.journal.borrow_mut() = Some(journal),
            Err(error) => log_line!("request ids: not shared with other processes: {error}"),
        }
    }

    /// Records whether another process of this balancer is running. If so, a claim must be shared before it is granted.
    pub fn set_others_running(&self, others_running: bool) {
        self.others_running.set(others_running);
    }

    /// Writes the records that could not be written before, and reads those of the other processes.
    pub fn synchronize(&self) {
        if let Some(journal) = &mut *self.journal.borrow_mut() {
            // A record that cannot be written is written with a later one.
            let _ = journal.flush();
            read_others(journal, &mut self.table.borrow_mut());
        }
    }

    /// Claims the id of a request. `repeatable` is whether the request may run more than once.
    ///
    /// # Errors
    ///
    /// See [`ClaimError`]. Nothing is claimed then.
    pub fn claim(self: &Rc<Self>, id: &[u8], repeatable: bool) -> Result<RequestIdClaim, ClaimError> {
        let fingerprint = fingerprint(id);
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        table.expire(now);
        if table.state(fingerprint) == Some(IdState::Retained)
            && let Some(journal) = &mut *self.journal.borrow_mut()
        {
            // Another process may have released the id meanwhile.
            read_others(journal, &mut table);
        }
        match table.state(fingerprint) {
            Some(IdState::Open) => return Err(ClaimError::Open),
            Some(IdState::Retained) => return Err(ClaimError::Used),
            None => {}
        }
        if !repeatable {
            if !table.make_capacity(now) {
                return Err(ClaimError::NoCapacity);
            }
            self.share_claim(&mut table, fingerprint)?;
        }
        table.open(fingerprint);
        Ok(RequestIdClaim { ids: self.clone(), fingerprint, repeatable, may_have_run: Cell::new(false) })
    }

    /// Writes the claim, and then reads those of the other processes. Of two processes that claim an id at the same time, at
    /// least one reads the claim of the other, because each writes first.
    fn share_claim(&self, table: &mut IdTable, fingerprint: u64) -> Result<(), ClaimError> {
        let mut journal = self.journal.borrow_mut();
        let Some(journal) = &mut *journal else { return Ok(()) };
        let written = journal.append(RecordKind::Claimed, fingerprint);
        read_others(journal, table);
        let is_claimed = table.state(fingerprint).is_some();
        let result = match written {
            _ if is_claimed => Err(ClaimError::Used),
            Err(_) if self.others_running.get() => Err(ClaimError::NotShared),
            Ok(()) | Err(_) => Ok(()),
        };
        if result.is_err() {
            let _ = journal.append(RecordKind::Released, fingerprint);
        }
        result
    }

    fn release(&self, fingerprint: u64, repeatable: bool) {
        self.table.borrow_mut().remove(fingerprint, Holder::ThisProcess);
        if !repeatable && let Some(journal) = &mut *self.journal.borrow_mut() {
            // If the record cannot be written, the other processes retain the id, which is safe.
            let _ = journal.append(RecordKind::Released, fingerprint);
        }
    }
}

impl RequestIdClaim {
    /// Records that an upstream may have run the request.
    pub fn record_may_have_run(&self) {
        self.may_have_run.set(true);
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        if self.may_have_run.get() && !self.repeatable {
            self.ids.table.borrow_mut().retain(self.fingerprint, Holder::ThisProcess, Instant::now());
        } else {
            self.ids.release(self.fingerprint, self.repeatable);
        }
    }
}

/// Applies the new records of the other processes to the table.
fn read_others(journal: &mut IdJournal, table: &mut IdTable) {
    let now = Instant::now();
    journal.read_others(|slot, record| apply_record(table, slot, record, now));
}

/// Applies a record of another process, or of the process that had this process's number before.
fn apply_record(table: &mut IdTable, slot: u8, record: Record, now: Instant) {
    let holder = Holder::OtherProcess(slot);
    match record.kind {
        RecordKind::Claimed => table.retain(record.fingerprint, holder, now),
        RecordKind::Released => table.remove(record.fingerprint, holder),
    }
}

/// Returns the number that stands for an id. It is the same in all processes.
fn fingerprint(id: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(id);
    hasher.finish()
}

#[cfg(test)]
mod tests;
