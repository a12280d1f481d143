//! The file of one process: a ring of the newest records. One process writes it, and the others read it.

use std::fs::File;
use std::io::{self, BufReader, Read, Seek, SeekFrom, Write};
use std::ops::Range;
use std::path::Path;

use crate::request_ids::record::{RECORD_BYTES, Record};

/// Number of records in a ring; 512 KiB.
/// It divides the range of the sequences, so that the place of a record is continuous when they wrap around.
const RING_RECORDS: u32 = 32_768;
/// Length of a complete ring in bytes.
const RING_BYTES: u64 = RING_RECORDS as u64 * RECORD_BYTES as u64;
/// Buffer for reading a whole ring, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Number of records that one call reads.
const RECORDS_PER_READ: usize = 64;

/// The ring of one process.
pub(super) struct Ring {
    file: File,
    /// The sequence of the next record to write or to read.
    next_sequence: u32,
}

impl Ring {
    /// Opens the ring in a file, which is created if necessary, and passes its records to `on_record`, oldest first.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or read.
    pub(super) fn open(path: &Path, mut on_record: impl FnMut(Record)) -> io::Result<Ring> {
        let mut file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut newest = None;
        read_records(&mut file, 0..RING_BYTES, |record| {
            newest = Some(newest.map_or(record.sequence, |newest| later(newest, record.sequence)));
        })?;
        let next_sequence = newest.map_or(1, |newest| newest.wrapping_add(1));
        // The place of the next record is that of the oldest one.
        let oldest = offset(next_sequence);
        read_records(&mut file, oldest..RING_BYTES, &mut on_record)?;
        read_records(&mut file, 0..oldest, &mut on_record)?;
        Ok(Ring { file, next_sequence })
    }

    /// Returns the sequence of the next record.
    pub(super) fn next_sequence(&self) -> u32 {
        self.next_sequence
    }

    /// Writes the next record.
    ///
    /// # Errors
    ///
    /// The record cannot be written. The next call writes to the same place.
    pub(super) fn write(&mut self, record: Record) -> io::Result<()> {
        self.file.seek(SeekFrom::Start(offset(self.next_sequence)))?;
        self.file.write_all(&record.to_bytes())?;
        self.next_sequence = self.next_sequence.wrapping_add(1);
        Ok(())
    }

    /// Passes the records that were written since the last call to `on_record`. If the file cannot be read, or a record is
    /// being written, the next call continues there.
    pub(super) fn read_new(&mut self, mut on_record: impl FnMut(Record)) {
        while self.read_some(&mut on_record).is_ok_and(|records| records == RECORDS_PER_READ) {}
    }

    /// Reads some new records and returns how many.
    fn read_some(&mut self, on_record: &mut impl FnMut(Record)) -> io::Result<usize> {
        let mut buffer = [0; RECORDS_PER_READ * RECORD_BYTES];
        self.file.seek(SeekFrom::Start(offset(self.next_sequence)))?;
        let length = self.file.read(&mut buffer)?;
        let mut count = 0;
        for bytes in buffer[..length].chunks_exact(RECORD_BYTES) {
            let Some(record) = Record::from_bytes(bytes) else { break };
            // An older record is one of the last round. A newer one means that the writer is ahead by a whole round.
            if later(record.sequence, self.next_sequence) != record.sequence {
                break;
            }
            self.next_sequence = record.sequence.wrapping_add(1);
            on_record(record);
            count += 1;
        }
        Ok(count)
    }
}

/// Passes the records in a part of the file to `on_record`, in the order of their places. Records that were never written, or
/// not completely, are left out.
///
/// # Errors
///
/// The file cannot be read.
fn read_records(file: &mut File, bytes: Range<u64>, mut on_record: impl FnMut(Record)) -> io::Result<()> {
    file.seek(SeekFrom::Start(bytes.start))?;
    let part = Read::by_ref(file).take(bytes.end - bytes.start);
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, part);
    let mut record = [0; RECORD_BYTES];
    loop {
        match reader.read_exact(&mut record) {
            Ok(()) => Record::from_bytes(&record).into_iter().for_each(&mut on_record),
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Returns the place of a record in the file, in bytes.
fn offset(sequence: u32) -> u64 {
    u64::from(sequence % RING_RECORDS) * RECORD_BYTES as u64
}

/// Returns the later of two sequences, which may have wrapped around.
fn later(first: u32, second: u32) -> u32 {
    if first.wrapping_sub(second) < u32::MAX / 2 { first } else { second }
}
