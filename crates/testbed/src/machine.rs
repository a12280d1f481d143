//! The machine that measures, and how much of it a measurement may take.

use std::fs::read_to_string;

use anyhow::{Result, bail};
use serde::Serialize;

/// Most processes that a measurement starts.
pub const MOST_PROCESSES: usize = 300;

/// What the figures depend on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Machine {
    /// Cores that this process may use.
    pub cores: usize,
    /// The processor's name.
    pub processor: String,
    /// All its memory, in MB.
    pub memory_mb: u64,
}

impl Machine {
    /// This machine; what cannot be read is 0 or empty.
    pub fn here() -> Machine {
        let value = |file: &str, key: &str| {
            let text = read_to_string(file).unwrap_or_default();
            let line = text.lines().find(|line| line.starts_with(key));
            line.and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_owned())
        };
        let kilobytes = value("/proc/meminfo", "MemTotal").and_then(|v| v.split(' ').next()?.parse().ok());
        Machine {
            cores: std::thread::available_parallelism().map_or(0, |n| n.get()),
            processor: value("/proc/cpuinfo", "model name").unwrap_or_default(),
            memory_mb: kilobytes.unwrap_or(0u64) / 1024,
        }
    }
}

/// Lets this process hold as many descriptors as the machine permits, and tells how many that is.
pub fn most_descriptors() -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    // Refused, the limit is what it was.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// What a measurement takes up at the most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// Processes at once.
    pub processes: usize,
    /// Memory of all of them and of this one, in MB.
    pub memory_mb: u64,
    /// Descriptors of this process.
    pub descriptors: u64,
}

impl Needs {
    /// What two measurements that follow each other take up.
    pub fn or(self, other: Needs) -> Needs {
        Needs {
            processes: self.processes.max(other.processes),
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }

    /// Whether the machine has it to spare, where this process may hold so many descriptors.
    ///
    /// # Errors
    /// It would take over half of the memory, more than [`MOST_PROCESSES`] or more descriptors; the error says what
    /// to do.
    pub fn check(self, machine: &Machine, most_descriptors: u64) -> Result<()> {
        let Needs { processes, memory_mb, descriptors } = self;
        if processes > MOST_PROCESSES {
            bail!("this would start {processes} processes, over {MOST_PROCESSES}: ask for smaller sizes");
        }
        if memory_mb > machine.memory_mb / 2 {
            bail!(
                "this would take up to {memory_mb} MB, over half of the machine's {} MB: ask for smaller sizes",
                machine.memory_mb
            );
        }
        if descriptors > most_descriptors {
            bail!(
                "this would hold {descriptors} descriptors, over the limit of {most_descriptors}: ask for smaller \
                 sizes, or raise `ulimit -n`"
            );
        }
        Ok(())
    }
}
