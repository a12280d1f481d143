//! One record of a journal of request ids, 16 bytes.

/// Length of a record in bytes.
pub(super) const RECORD_BYTES: usize = 16;

/// Whether a record claims or releases an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// The process has claimed the id.
    Claimed,
    /// The request has ended without having run, so the id is free.
    Released,
}

/// A record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Record {
    /// Position among all records of the process, from 1; wraps around.
    pub(super) sequence: u32,
    /// Whether the record claims or releases the id.
    pub(super) kind: RecordKind,
    /// The number that stands for the id.
    pub(super) fingerprint: u64,
}

impl Record {
    /// Returns the record as bytes: sequence, checksum and fingerprint, in little-endian order.
    pub(super) fn to_bytes(self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        bytes[..4].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.checksum().to_le_bytes());
        bytes[8..].copy_from_slice(&self.fingerprint.to_le_bytes());
        bytes
    }

    /// Reads a record. Returns `None` if it was never written or is being written: its checksum is wrong.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Record> {
        let (sequence, rest) = bytes.split_first_chunk::<4>()?;
        let (checksum, rest) = rest.split_first_chunk::<4>()?;
        let fingerprint = u64::from_le_bytes(*rest.first_chunk::<8>()?);
        let sequence = u32::from_le_bytes(*sequence);
        [RecordKind::Claimed, RecordKind::Released]
            .map(|kind| Record { sequence, kind, fingerprint })
            .into_iter()
            .find(|record| record.checksum().to_le_bytes() == *checksum)
    }

    /// Returns the checksum, which differs between the kinds.
    fn checksum(self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.sequence.to_le_bytes());
        hasher.update(&self.fingerprint.to_le_bytes());
        hasher.update(match self.kind {
            RecordKind::Claimed => b"claimed",
            RecordKind::Released => b"released",
        });
        hasher.finalize()
    }
}
