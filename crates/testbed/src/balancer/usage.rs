//! What a process takes of the machine.

use std::time::Duration;

/// A file of a process in `/proc` that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The process has ended.
    #[error("process {id} has ended: /proc/{id}/{file} cannot be read")]
    Ended {
        /// The process.
        id: u32,
        /// The file.
        file: &'static str,
        /// The system's reason.
        #[source]
        source: std::io::Error,
    },
    /// The file has another form than expected.
    #[error("/proc/{id}/schedstat begins with no processor time: the kernel must have scheduler statistics")]
    NoProcessorTime {
        /// The process.
        id: u32,
    },
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time of its first thread; a balancer has no other.
    pub processor_time: Duration,
    /// Resident memory now, in KB.
    pub resident_kb: u64,
    /// The most resident memory that it has had, in KB.
    pub max_resident_kb: u64,
    /// Context switches, voluntary or not.
    pub context_switches: u64,
}

impl Usage {
    /// The usage of the process with this id.
    ///
    /// # Errors
    /// It has ended.
    pub fn of(id: u32) -> Result<Usage, UsageError> {
        let read = |file: &'static str| {
            std::fs::read_to_string(format!("/proc/{id}/{file}")).map_err(|source| UsageError::Ended {
                id,
                file,
                source,
            })
        };
        let status = read("status")?;
        let value = |key: &str| -> u64 {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            let number = line.and_then(|line| line.split_whitespace().next());
            number.and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        // In nanoseconds; the clock ticks of `stat` are too coarse for a single call.
        let schedstat = read("schedstat")?;
        let processor_time = schedstat.split(' ').next().and_then(|nanoseconds| nanoseconds.parse().ok());
        Ok(Usage {
            processor_time: Duration::from_nanos(processor_time.ok_or(UsageError::NoProcessorTime { id })?),
            resident_kb: value("VmRSS:"),
            max_resident_kb: value("VmHWM:"),
            context_switches: value("voluntary_ctxt_switches:") + value("nonvoluntary_ctxt_switches:"),
        })
    }
}
