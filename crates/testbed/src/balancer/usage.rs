//! The resources that a process has used, as the kernel reports them.

use std::time::Duration;

/// An error of reading the resource usage of a process.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// A file of the process in `/proc` cannot be read, since the process has exited.
    #[error("/proc/{id}/{file} cannot be read: process {id} has exited")]
    Exited {
        /// The id of the process.
        id: u32,
        /// The name of the file.
        file: &'static str,
        /// The error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file `schedstat` does not begin with a number.
    #[error(
        "/proc/{id}/schedstat does not begin with a processor time: use a kernel with scheduler statistics"
    )]
    NoProcessorTime {
        /// The id of the process.
        id: u32,
    },
}

/// The resources that a process has used so far. Memory and context switches are 0 if the kernel does not report them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The processor time of the main thread, on which a balancer does its work.
    pub processor_time: Duration,
    /// The current resident memory in KB.
    pub resident_kb: u64,
    /// The peak resident memory in KB.
    pub max_resident_kb: u64,
    /// The number of context switches, voluntary and involuntary.
    pub context_switches: u64,
}

impl Usage {
    /// Reads the usage of the process with this id.
    ///
    /// # Errors
    ///
    /// A [`UsageError`] if the process has exited or the kernel has no scheduler statistics.
    pub fn of(id: u32) -> Result<Usage, UsageError> {
        let read = |file: &'static str| {
            std::fs::read_to_string(format!("/proc/{id}/{file}")).map_err(|source| UsageError::Exited {
                id,
                file,
                source,
            })
        };
        let status = read("status")?;
        let status_value = |key: &str| -> u64 {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            let number = line.and_then(|line| line.split_whitespace().next());
            number.and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        // `schedstat` counts in nanoseconds. The clock ticks of `stat` would be too coarse for a short measurement.
        let schedstat = read("schedstat")?;
        let processor_time = schedstat.split(' ').next().and_then(|nanoseconds| nanoseconds.parse().ok());
        Ok(Usage {
            processor_time: Duration::from_nanos(processor_time.ok_or(UsageError::NoProcessorTime { id })?),
            resident_kb: status_value("VmRSS:"),
            max_resident_kb: status_value("VmHWM:"),
            context_switches: status_value("voluntary_ctxt_switches:")
                + status_value("nonvoluntary_ctxt_switches:"),
        })
    }
}
