//! The reload of the configuration while the process runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::config::Config;
use crate::discovery::Discovery;
use crate::dispatch::Dispatcher;
use crate::error_chain::ErrorChain;
use crate::log::log_line;
use crate::process::environment_variable;
use crate::process::transport::SocketTransport;

/// How often a configuration that is not valid is read.
const READ_TRIES: u32 = 8;
/// Pause between two tries: all come within 2 s of the signal, after which the new discovery counts as heard at 4 s.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What a reload of the configuration changes.
pub struct Reload {
    /// The balancer's name, for the log.
    pub name: Rc<str>,
    /// Receives the lists from the new address of discovery.
    pub dispatcher: Rc<Dispatcher<SocketTransport>>,
    /// Moves to the new address.
    pub discovery: Rc<Discovery>,
}

impl Reload {
    /// Reads the configuration again and applies what may change while the process runs, which is the address of
    /// discovery. A configuration that is not valid changes nothing; it is read again for a while, since the file may
    /// be half written as yet.
    pub async fn run(&self) {
        for _ in 0..READ_TRIES {
            if self.try_run() {
                return;
            }
            sleep(READ_RETRY_PAUSE).await;
        }
    }

    /// Reads and applies the configuration once. Returns whether it is valid.
    fn try_run(&self) -> bool {
        let name = &self.name;
        match Config::read_again(environment_variable) {
            Ok(config) => {
                let address = config.discovery_address;
                log_line!(
                    "zincstand-proxy {name}: configuration read again; the address of discovery is {address}"
                );
                let dispatcher = self.dispatcher.clone();
                self.discovery.change_address(address, move |kind, endpoints| {
                    dispatcher.update_endpoints(kind, endpoints);
                });
                true
            }
            Err(error) => {
                log_line!(
                    "zincstand-proxy {name}: the new configuration is rejected and the running configuration is \
                     kept: {}",
                    ErrorChain(&error)
                );
                false
            }
        }
    }
}
