//! The start of a balancer process.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;

use zincstand_fault_injection::{PLAN_VARIABLE, SWITCH_VARIABLE, library_path};

use super::Balancer;
use super::process::{lock_process_start, write_temporary_file};

/// Path of the program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_zincstand-proxy");

/// The environment in which a balancer process is started.
#[derive(Default)]
pub struct Launch {
    /// Limit on file descriptors that the kernel enforces; `None` for the limit of the test program.
    pub descriptor_limit: Option<usize>,
    /// Whether the admin API is enabled, on a free port (`EDGE_MANAGEMENT`).
    pub has_admin: bool,
    /// Folder that all processes of the balancer share (`TMPDIR`).
    pub folder: Option<PathBuf>,
    /// Listening socket that the platform passes on (`EDGE_FD`).
    pub inherited_listener: Option<TcpListener>,
    /// Plan for the fault injection library; empty for none.
    pub fault_plan: String,
    /// File that enables the plan while it exists; `None` if the plan is always enabled.
    pub fault_switch: Option<PathBuf>,
    /// Destination of the log; `None` if the lines go to [`Balancer::log`].
    pub log: Option<Stdio>,
}

impl Launch {
    /// Starts the program and waits until its log names the addresses on which it listens. With a redirected log,
    /// returns at once and takes `listen` as its address.
    ///
    /// # Panics
    /// The program does not start, or the log ends before it names an address.
    pub fn start(self, config: &str, discovery: SocketAddr, listen: &str) -> Balancer {
        let config_path = write_temporary_file(config);
        let has_admin = self.has_admin;
        let is_log_redirected = self.log.is_some();
        let mut command = self.command(&config_path, discovery);
        let mut process = {
            let _lock = lock_process_start();
            command.spawn().expect("the program starts")
        };
        if is_log_redirected {
            let address = listen.parse().expect("the address is valid");
            return Balancer { process, address, admin_address: None, log: channel().1, config_path };
        }
        let mut log = read_log(&mut process);
        let address = next_address(&mut log);
        let admin_address = has_admin.then(|| next_address(&mut log));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Balancer { process, address, admin_address, log: lines, config_path }
    }

    /// Returns the command that starts the program in this environment.
    fn command(self, config_path: &Path, discovery: SocketAddr) -> Command {
        let mut command = self.program();
        // The platform sets EDGE_DISCOVERY too. A reload does not change the variable.
        command.env("EDGE_DISCOVERY", discovery.to_string()).env("EDGE_CONFIG", config_path);
        command.env_remove("TMPDIR").env_remove("EDGE_FD").env_remove("EDGE_MANAGEMENT");
        if let Some(folder) = &self.folder {
            command.env("TMPDIR", folder);
        }
        if self.has_admin {
            command.env("EDGE_MANAGEMENT", "127.0.0.1:0");
        }
        if !self.fault_plan.is_empty() {
            command.env("LD_PRELOAD", library_path()).env(PLAN_VARIABLE, &self.fault_plan);
        }
        if let Some(switch) = &self.fault_switch {
            command.env(SWITCH_VARIABLE, switch);
        }
        if let Some(listener) = self.inherited_listener {
            // Standard input is the one descriptor that a child process certainly inherits.
            command.env("EDGE_FD", "0").stdin(Stdio::from(OwnedFd::from(listener)));
        }
        command.stderr(self.log.unwrap_or_else(Stdio::piped));
        command
    }

    /// Returns the command that starts the program, through a shell if a limit on file descriptors is set.
    fn program(&self) -> Command {
        let Some(limit) = self.descriptor_limit else { return Command::new(PROGRAM) };
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(format!("ulimit -n {limit}; exec {PROGRAM}"));
        shell
    }
}

fn read_log(process: &mut Child) -> BufReader<ChildStderr> {
    BufReader::new(process.stderr.take().expect("standard error is piped"))
}

/// Reads the log up to the next line that ends with an address, and returns the address. Other lines may come first.
fn next_address(log: &mut BufReader<ChildStderr>) -> SocketAddr {
    loop {
        let mut line = String::new();
        assert_ne!(log.read_line(&mut line).expect("the log is read"), 0, "the log ends without an address");
        let last_word = line.trim().rsplit(' ').next();
        if let Some(address) = last_word.and_then(|word| word.parse().ok()) {
            return address;
        }
    }
}
