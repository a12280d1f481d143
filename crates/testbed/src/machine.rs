//! The machine that measures, and how much of it a measurement may take.

use std::fs::read_to_string;
use std::io;
use std::num::NonZero;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::Serialize;

/// Processes that a measurement may start at once.
pub const MAX_PROCESSES: usize = 300;

/// The part of the machine that measured figures depend on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Machine {
    /// Cores that this process may use.
    pub cores: usize,
    /// The processor's name.
    pub processor: String,
    /// Its memory, in MB.
    pub memory_mb: u64,
}

impl Machine {
    /// This machine; what cannot be read is 0 or empty.
    pub fn here() -> Machine {
        let memory = value_in_file("/proc/meminfo", "MemTotal");
        let memory_kb = memory.and_then(|memory| memory.split(' ').next()?.parse::<u64>().ok());
        Machine {
            cores: std::thread::available_parallelism().map_or(0, NonZero::get),
            processor: value_in_file("/proc/cpuinfo", "model name").unwrap_or_default(),
            memory_mb: memory_kb.unwrap_or(0) / 1024,
        }
    }
}

/// The value in the first line `key: value` whose key begins so.
fn value_in_file(file: &str, key: &str) -> Option<String> {
    let text = read_to_string(file).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key))?;
    line.split_once(':').map(|(_, value)| value.trim().to_owned())
}

/// Raises this process's limit on open descriptors as far as the machine permits, and returns the new limit.
pub fn raise_descriptor_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    // If that is refused, the limit is what it was.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// The limit on open descriptors is too low and cannot be raised.
#[derive(Debug, thiserror::Error)]
pub enum DescriptorLimitError {
    /// The hard limit is too low.
    #[error("{needed} descriptors are needed and the hard limit is {maximum}: ask for fewer balancers")]
    HardLimit {
        /// Descriptors that are needed.
        needed: u64,
        /// The hard limit.
        maximum: u64,
    },
    /// The system refused to raise it.
    #[error("the limit on descriptors cannot be raised to {needed}: see `ulimit -n`")]
    Refused {
        /// Descriptors that are needed.
        needed: u64,
        /// The system's reason.
        #[source]
        source: io::Error,
    },
}

/// Raises this process's limit on open descriptors as far as the machine permits, if fewer than `needed` are allowed.
///
/// # Errors
/// The hard limit is lower than what is needed.
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
    raised.map_err(|error| DescriptorLimitError::Refused { needed, source: error.into() })
}

/// What a measurement takes at most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// Processes at once.
    pub processes: usize,
    /// Memory of all of them and of this one, in MB.
    pub memory_mb: u64,
    /// Descriptors of this process.
    pub descriptors: u64,
}

/// A measurement is too large for the machine.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum TooLargeError {
    /// It would start too many processes.
    #[error("this would start {processes} processes, over {MAX_PROCESSES}: ask for smaller sizes")]
    Processes {
        /// How many.
        processes: usize,
    },
    /// It would take more than half of the memory.
    #[error(
        "this would take up to {needed_mb} MB, over half of the machine's {machine_mb} MB: ask for smaller sizes"
    )]
    Memory {
        /// What it would take, in MB.
        needed_mb: u64,
        /// What the machine has, in MB.
        machine_mb: u64,
    },
    /// It would open more descriptors than this process may.
    #[error(
        "this would hold {needed} descriptors, over the limit of {limit}: ask for smaller sizes, or raise `ulimit -n`"
    )]
    Descriptors {
        /// How many.
        needed: u64,
        /// How many it may open.
        limit: u64,
    },
}

impl Needs {
    /// What two measurements take that follow each other.
    pub fn or(self, other: Needs) -> Needs {
        Needs {
            processes: self.processes.max(other.processes),
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }

    /// Checks that the machine has this to spare, if this process may open `descriptor_limit` descriptors.
    ///
    /// # Errors
    /// It would take over half of the memory, more than [`MAX_PROCESSES`] or more descriptors; the error says what
    /// to do.
    pub fn check(self, machine: &Machine, descriptor_limit: u64) -> Result<(), TooLargeError> {
        let Needs { processes, memory_mb, descriptors } = self;
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
