//! The reload of the configuration while the process runs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::config::Config;
use crate::error_chain::ErrorChain;
use crate::log::log_line;
use crate::process::core::Core;
use crate::process::environment_variable;

/// Maximum number of attempts to read a configuration that is not valid.
const MAX_READ_ATTEMPTS: u32 = 8;
/// Pause between two attempts. All attempts are made within 2 s of the signal, because the platform expects the balancer
/// to use the new address of discovery within 4 s.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The reload of the configuration, which runs at each SIGHUP.
pub struct Reload {
    /// The core, whose discovery client changes to the new address.
    pub core: Rc<Core>,
}

impl Reload {
    /// Reads the configuration again and applies the only part that may change while the process runs: the address of
    /// discovery. An invalid configuration changes nothing and is read again a few times, because the file may be only
    /// partly written when the signal arrives.
    pub async fn run(&self) {
        for _ in 0..MAX_READ_ATTEMPTS {
            if self.read_and_apply() {
                return;
            }
            sleep(READ_RETRY_PAUSE).await;
        }
    }

    /// Reads and applies the configuration once. Returns whether it is valid.
    fn read_and_apply(&self) -> bool {
        match Config::read_again(environment_variable) {
            Ok(config) => {
                self.change_discovery_address(config.discovery_address);
                true
            }
            Err(error) => {
                let error = ErrorChain(&error);
                log_line!("reload: configuration rejected, the running configuration is kept: {error}");
                false
            }
        }
    }

    fn change_discovery_address(&self, address: SocketAddr) {
        log_line!("reload: configuration read again (discovery address {address})");
        self.core.discovery.change_address(address, self.core.dispatcher.list_handler());
    }
}
