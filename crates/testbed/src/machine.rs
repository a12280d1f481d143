//! The machine on which measurements run, and the resources that a measurement may use.

use std::fs::read_to_string;
use std::io;
use std::num::NonZero;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::Serialize;

/// Maximum number of processes that a measurement may run at once.
pub const MAX_PROCESSES: usize = 300;

/// The properties of the machine that influence measured figures.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Machine {
    /// The number of cores that this process may use.
    pub cores: usize,
    /// The model name of the processor.
    pub processor: String,
    /// The memory of the machine in MB.
    pub memory_mb: u64,
}

impl Machine {
    /// Reads the properties of this machine. A property that cannot be read is 0 or empty.
    pub fn detect() -> Machine {
        let memory = value_in_file("/proc/meminfo", "MemTotal");
        let memory_kb = memory.and_then(|memory| memory.split(' ').next()?.parse::<u64>().ok());
        Machine {
            cores: std::thread::available_parallelism().map_or(0, NonZero::get),
            processor: value_in_file("/proc/cpuinfo", "model name").unwrap_or_default(),
            memory_mb: memory_kb.unwrap_or(0) / 1024,
        }
    }
}

/// Returns the value in the first line of the form `key: value` whose key starts with `key`; `None` if there is none.
fn value_in_file(file: &str, key: &str) -> Option<String> {
    let text = read_to_string(file).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key))?;
    line.split_once(':').map(|(_, value)| value.trim().to_owned())
}

/// Raises this process's limit on open descriptors to the hard limit if possible, and returns the resulting limit.
pub fn raise_descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    // If the system rejects the change, the limit stays as it was.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// The limit on open descriptors is too low and cannot be raised.
#[derive(Debug, thiserror::Error)]
pub enum DescriptorLimitError {
    /// The hard limit is too low.
    #[error("{needed} open descriptors are needed, but the hard limit is {maximum}: ask for fewer balancers")]
    HardLimit {
        /// The number of descriptors needed.
        needed: u64,
        /// The hard limit.
        maximum: u64,
    },
    /// The operating system rejected the change.
    #[error("the limit on open descriptors cannot be raised to {needed}: raise it with `ulimit -n`")]
    SystemLimit {
        /// The number of descriptors needed.
        needed: u64,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
}

/// Raises this process's limit on open descriptors to the hard limit if it is below `needed`.
///
/// # Errors
///
/// A [`DescriptorLimitError`] if the hard limit is below `needed` or the limit cannot be changed.
pub fn ensure_descriptors(needed: u64) -> Result<(), DescriptorLimitError> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if let Some(maximum) = limit.maximum
        && maximum < needed
    {
        return Err(DescriptorLimitError::HardLimit { needed, maximum });
    }
    let raised = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    raised.map_err(|error| DescriptorLimitError::SystemLimit { needed, source: error.into() })
}

/// The maximum resources that a measurement uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceNeeds {
    /// The number of processes at once.
    pub processes: usize,
    /// The memory of these processes and of this one in MB.
    pub memory_mb: u64,
    /// The number of open descriptors of this process.
    pub descriptors: u64,
}

/// A measurement is too large for the machine.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum TooLargeError {
    /// The measurement needs more than [`MAX_PROCESSES`] processes.
    #[error(
        "this would start {processes} processes, over the limit of {MAX_PROCESSES}: ask for smaller sizes"
    )]
    Processes {
        /// The number of processes needed.
        processes: usize,
    },
    /// The measurement needs more than half of the machine's memory.
    #[error(
        "this would take up to {needed_mb} MB, over half of the machine's {machine_mb} MB: ask for smaller sizes"
    )]
    Memory {
        /// The memory needed in MB.
        needed_mb: u64,
        /// The memory of the machine in MB.
        machine_mb: u64,
    },
    /// The measurement needs more descriptors than this process may open.
    #[error(
        "this would open {needed} descriptors, over the limit of {limit}: ask for smaller sizes, or raise `ulimit -n`"
    )]
    Descriptors {
        /// The number of descriptors needed.
        needed: u64,
        /// The limit of this process.
        limit: u64,
    },
}

impl ResourceNeeds {
    /// Returns the larger need of each resource, which suffices for two measurements that run one after the other.
    pub fn max(self, other: ResourceNeeds) -> ResourceNeeds {
        ResourceNeeds {
            processes: self.processes.max(other.processes),
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }

    /// Checks that the machine has these resources. `descriptor_limit` is the limit on open descriptors of this
    /// process.
    ///
    /// # Errors
    ///
    /// A [`TooLargeError`] for the first resource that does not suffice. Its message says what to do.
    pub fn check(self, machine: &Machine, descriptor_limit: u64) -> Result<(), TooLargeError> {
        let ResourceNeeds { processes, memory_mb, descriptors } = self;
        if processes > MAX_PROCESSES {
            return Err(TooLargeError::Processes { processes });
        }
        if memory_mb > machine.memory_mb / 2 {
            return Err(TooLargeError::Memory { needed_mb: memory_mb, machine_mb: machine.memory_mb });
        }
        if descriptors > descriptor_limit {
            return Err(TooLargeError::Descriptors { needed: descriptors, limit: descriptor_limit });
        }
        Ok(())
    }
}
