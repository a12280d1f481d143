//! The configuration that the platform gives a balancer: the file that `EDGE_CONFIG` names, and environment variables that
//! take precedence over the file.

use std::io;
use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;
use zincstand_settings::Setup;

use crate::discovery::EndpointList;

/// Maximum number of file descriptors if the configuration sets no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Maximum memory if the configuration sets no limit, in MiB.
const DEFAULT_MAX_MEMORY_MIB: f64 = 192.0;
/// Bytes in one MiB.
const BYTES_PER_MIB: f64 = (1 << 20) as f64;

/// The configuration is rejected. Each message names the variable or the key, the value and what to do.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `EDGE_CONFIG` is not set.
    #[error("EDGE_CONFIG is not set; set it to the path of the configuration file")]
    NoFile,
    /// The configuration file cannot be read.
    #[error("EDGE_CONFIG must name a readable file, but {path:?} cannot be read")]
    UnreadableFile {
        /// The value of `EDGE_CONFIG`.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration file is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error("EDGE_CONFIG {path:?} is not a valid configuration; correct the error that follows")]
    InvalidFile {
        /// The value of `EDGE_CONFIG`.
        path: String,
        /// The error of the parser, which names the key or the line and column.
        source: serde_json::Error,
    },
    /// Neither the variable nor the file sets an address.
    #[error(
        "{variable} is not set; set it, or the key {key:?} in the configuration, to an address with a port"
    )]
    NoAddress {
        /// The environment variable.
        variable: &'static str,
        /// The key in the configuration file.
        key: &'static str,
    },
    /// An address cannot be parsed.
    #[error("{variable}: {text:?} is not an address with a port; use the form 127.0.0.1:8000 or [::1]:8000")]
    InvalidAddress {
        /// The environment variable of the address, even if the address is from the file.
        variable: &'static str,
        /// The text that cannot be parsed.
        text: String,
    },
    /// The configured number of descriptors is 0.
    #[error("limits.sockets is 0, but connections need descriptors; set at least 1, or remove the key")]
    NoDescriptors,
    /// The configured memory limit is not a positive number.
    #[error(
        "limits.memory_mb is {mebibytes}, but requests need memory; set a number above 0, or remove the key"
    )]
    NoMemory {
        /// The value of `limits.memory_mb`, in MiB.
        mebibytes: f64,
    },
    /// The seed of the random numbers cannot be parsed.
    #[error("seed: {text:?} is not a 64-bit hexadecimal number; use at most 16 hexadecimal digits")]
    InvalidSeed {
        /// The text that cannot be parsed.
        text: String,
    },
}

/// The configuration file. Unknown keys are ignored.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    #[serde(rename = "known")]
    cached_list: Option<EndpointList>,
    #[serde(rename = "settings")]
    setup: Setup,
}

/// The limits of the process in the form of the configuration file.
#[derive(Default, Deserialize)]
struct FileLimits {
    /// Maximum number of file descriptors, or `None` for [`DEFAULT_MAX_DESCRIPTORS`].
    sockets: Option<usize>,
    /// Maximum memory in MiB, or `None` for [`DEFAULT_MAX_MEMORY_MIB`].
    memory_mb: Option<f64>,
}

impl FileLimits {
    /// Returns how many descriptors the balancer may use.
    fn max_descriptors(&self) -> Result<usize, ConfigError> {
        match self.sockets {
            Some(0) => Err(ConfigError::NoDescriptors),
            sockets => Ok(sockets.unwrap_or(DEFAULT_MAX_DESCRIPTORS)),
        }
    }

    /// Returns how much memory the balancer may use, in bytes.
    fn max_memory_bytes(&self) -> Result<usize, ConfigError> {
        let mebibytes = self.memory_mb.unwrap_or(DEFAULT_MAX_MEMORY_MIB);
        if mebibytes.is_finite() && mebibytes > 0.0 {
            Ok((mebibytes * BYTES_PER_MIB) as usize)
        } else {
            Err(ConfigError::NoMemory { mebibytes })
        }
    }
}

/// The configuration of one balancer.
pub struct Config {
    /// The balancer's name, which stays the same after a restart. Empty if no name is set.
    pub name: String,
    /// The address for clients. Not used if the platform passes a listening socket.
    pub listen_address: SocketAddr,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The address of the admin API, or `None` if the API is disabled.
    pub admin_address: Option<SocketAddr>,
    /// The seed of the random numbers.
    pub seed: u64,
    /// How many descriptors all processes of the balancer together may use.
    pub max_descriptors: usize,
    /// How much memory all processes of the balancer together may use, in bytes.
    pub max_memory_bytes: usize,
    /// The endpoint list that was known when the file was written, or `None` if the file contains none.
    pub cached_list: Option<EndpointList>,
    /// The settings of the policy, in the platform's form.
    pub setup: Setup,
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names. Environment variables take precedence over the file; `variable` returns the
    /// value of an environment variable.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let discovery = variable("EDGE_DISCOVERY");
        Config::load(&variable, discovery)
    }

    /// Reads the file again while the process runs. The address of discovery in the file now takes precedence, because the
    /// environment variable still has its value from the start of the process.
    ///
    /// # Errors
    /// See [`ConfigError`].
    pub fn read_again(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::load(&variable, None)
    }

    /// Reads the file and the environment variables. `discovery` takes precedence over the address of discovery in the file;
    /// `None` uses the address in the file.
    fn load(
        variable: &impl Fn(&str) -> Option<String>,
        discovery: Option<String>,
    ) -> Result<Config, ConfigError> {
        let file = ConfigFile::read(variable("EDGE_CONFIG"))?;
        let max_descriptors = file.limits.max_descriptors()?;
        let max_memory_bytes = file.limits.max_memory_bytes()?;
        let listen = variable("EDGE_LISTEN").or(file.listen);
        let admin = variable("EDGE_MANAGEMENT").or(file.management).filter(|text| !text.is_empty());
        Ok(Config {
            name: variable("EDGE_NAME").or(file.name).unwrap_or_default(),
            listen_address: required_address("EDGE_LISTEN", "listen", listen)?,
            discovery_address: required_address("EDGE_DISCOVERY", "discovery", discovery.or(file.discovery))?,
            admin_address: admin.map(|text| parse_address("EDGE_MANAGEMENT", text)).transpose()?,
            seed: parse_seed(file.seed)?,
            max_descriptors,
            max_memory_bytes,
            cached_list: file.cached_list,
            setup: file.setup,
        })
    }
}

impl ConfigFile {
    /// Reads and parses the file at `path`, the value of `EDGE_CONFIG`.
    fn read(path: Option<String>) -> Result<ConfigFile, ConfigError> {
        let path = path.ok_or(ConfigError::NoFile)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::UnreadableFile { path, source }),
        };
        serde_json::from_str(&text).map_err(|source| ConfigError::InvalidFile { path, source })
    }
}

/// Returns the address in `text`, which is `None` if neither `variable` nor `key` sets it.
fn required_address(
    variable: &'static str,
    key: &'static str,
    text: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::NoAddress { variable, key })?;
    parse_address(variable, text)
}

/// Parses an address with a port. `variable` is the environment variable of the address, for the error message.
fn parse_address(variable: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidAddress { variable, text })
}

/// Parses a hexadecimal seed. An empty text is the seed 0.
fn parse_seed(text: String) -> Result<u64, ConfigError> {
    if text.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(&text, 16).map_err(|_| ConfigError::InvalidSeed { text })
}
