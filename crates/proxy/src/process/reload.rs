//! The reload of the configuration while the process runs.

use std::rc::Rc;

use crate::config::Config;
use crate::discovery::Discovery;
use crate::dispatch::Dispatcher;
use crate::error_chain::ErrorChain;
use crate::log::log_line;
use crate::process::environment_variable;
use crate::process::transport::SocketTransport;

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
    /// discovery. A configuration that is not valid, such as a file that is only half written, changes nothing.
    pub fn run(&self) {
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
            }
            Err(error) => log_line!(
                "zincstand-proxy {name}: the new configuration is rejected and the running configuration is kept: {}",
                ErrorChain(&error)
            ),
        }
    }
}
