//! The configuration of a balancer and its start.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;

use zincstand_fault_injection::{PLAN_VARIABLE, SWITCH_VARIABLE, library_path};

use super::process::{lock_process_start, write_temporary_file};
use super::{Balancer, entry, list, nowhere};

/// The platform's settings, with a class of each effect and what `setup` says.
fn settings(discovery: &str, setup: &Setup) -> String {
    let Setup { limits, tiers, balancers: (balancers, areas), drain_grace_ms, .. } = setup;
    let Setup { deadline_ms, connect_timeout_ms, .. } = setup;
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Effect":"{effect}","Group":"all","DedupWindowMs":60000.0,"TargetMs":{deadline_ms}.0,"DeadlineMs":{deadline_ms}.0,"LateWorth":0.0,"Streaming":false,"Value":1.0}}"#
        )
    };
    let classes = [class("look", "retryable"), class("pull", "dedup"), class("pay", "fragile")].join(",");
    format!(
        r#"{{"Areas":[{areas}],"Balancers":{balancers},"Categories":[{classes}],"Discovery":"{discovery}","GranularityMs":1.0,"Limits":{{"Cancel":true,"MostTries":4,"RetryAfter":true,"ConnectTimeoutMs":{connect_timeout_ms}.0{limits}}},"Me":0,"Rules":{{"AskWithinMs":40.0,"ColdFrom":0.5,"DrainGraceMs":{drain_grace_ms}.0,"OverloadFactor":3.0,"TipAfterMs":1000.0,"WarmAfterMs":5000.0}},"Stage":0,"Tiers":[{tiers}],"Zone":"a"}}"#
    )
}

/// How a balancer is configured and started.
pub struct Setup {
    /// The complete configuration; else it is made of the fields below.
    pub config: Option<String>,
    pub known: Vec<String>,
    pub discovery: Option<SocketAddr>,
    /// The policy does not poll for lists: the discovery client restarts the watch by itself.
    pub pushes_lists: bool,
    pub limits: &'static str,
    /// The names of the tiers; the balancer sends to the first.
    pub tiers: &'static str,
    /// The number of all balancers, and their zones; this one is in zone `a`.
    pub balancers: (u32, &'static str),
    /// How soon a drain has to be heeded; the wait of a watch is a part of it.
    pub drain_grace_ms: u32,
    /// Latency objective and deadline of every class.
    pub deadline_ms: u32,
    pub connect_timeout_ms: u32,
    pub sockets: usize,
    pub memory: usize,
    pub listen: String,
    pub descriptors: Option<u32>,
    /// The operators' address, if there is one.
    pub management: Option<&'static str>,
    /// The folder that all processes of the balancer share (`TMPDIR`).
    pub folder: Option<PathBuf>,
    /// The listening socket that the platform passes on (`EDGE_FD`).
    pub inherited_listener: Option<TcpListener>,
    /// The system calls that fail, as a plan for the fault injection library.
    pub faults: &'static str,
    /// The file that puts the plan in force while it exists; without one it always is.
    pub fault_switch: Option<PathBuf>,
    /// Where the log goes in place of [`Balancer::log`], and the address to be listened on is then fixed.
    pub log: Option<Stdio>,
}

impl Setup {
    /// A balancer with a cached list of upstreams at these addresses, and no discovery.
    pub fn knowing(upstreams: &[SocketAddr]) -> Setup {
        let entries = upstreams.iter().enumerate().map(|(i, a)| entry(&format!("s-{i}"), *a, "SERVING"));
        Setup {
            config: None,
            known: entries.collect(),
            discovery: None,
            pushes_lists: false,
            limits: "",
            tiers: r#""t""#,
            balancers: (1, r#""a""#),
            // Longer than any test: a watch that a test leaves without a response is not restarted.
            drain_grace_ms: 90_000,
            deadline_ms: 20_000,
            connect_timeout_ms: 1000,
            sockets: 1024,
            memory: 192,
            listen: "127.0.0.1:0".to_owned(),
            descriptors: None,
            management: None,
            folder: None,
            inherited_listener: None,
            faults: "",
            fault_switch: None,
            log: None,
        }
    }

    pub fn config(&self) -> String {
        let known = match &self.known[..] {
            [] => String::new(),
            entries => format!(r#""known":{},"#, list(41, true, entries)),
        };
        let (mode, discovery) = match self.discovery {
            Some(address) if self.pushes_lists => ("automatic", address),
            Some(address) => ("subscribe", address),
            None => ("automatic", nowhere()),
        };
        format!(
            r#"{{"name":"n3","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{known}"settings":{}}}"#,
            self.listen,
            self.memory,
            self.sockets,
            settings(mode, self)
        )
    }

    pub fn start(self) -> Balancer {
        let file = write_temporary_file(&self.config.clone().unwrap_or_else(|| self.config()));
        let program = env!("CARGO_BIN_EXE_zincstand-proxy");
        let mut command = match self.descriptors {
            Some(most) => {
                let mut shell = Command::new("/bin/sh");
                shell.arg("-c").arg(format!("ulimit -n {most}; exec {program}"));
                shell
            }
            None => Command::new(program),
        };
        // As the platform sets it: the variable keeps its value from the start of the process.
        let discovery = self.discovery.unwrap_or_else(nowhere).to_string();
        command.env("EDGE_DISCOVERY", discovery).env("EDGE_CONFIG", &file).stderr(Stdio::piped());
        command.env_remove("TMPDIR").env_remove("EDGE_FD").env_remove("EDGE_MANAGEMENT");
        if let Some(folder) = &self.folder {
            command.env("TMPDIR", folder);
        }
        if let Some(address) = self.management {
            command.env("EDGE_MANAGEMENT", address);
        }
        if !self.faults.is_empty() {
            command.env("LD_PRELOAD", library_path()).env(PLAN_VARIABLE, self.faults);
        }
        if let Some(switch) = &self.fault_switch {
            command.env(SWITCH_VARIABLE, switch);
        }
        let logs_elsewhere = self.log.is_some();
        if let Some(log) = self.log {
            command.stderr(log);
        }
        if let Some(inherited_listener) = self.inherited_listener {
            // Standard input is the one descriptor that is inherited for certain.
            command.env("EDGE_FD", "0").stdin(Stdio::from(OwnedFd::from(inherited_listener)));
        }
        let mut child = {
            let _lock = lock_process_start();
            command.spawn().expect("it starts")
        };
        if logs_elsewhere {
            let address = self.listen.parse().expect("a fixed address");
            return Balancer { child, address, management: None, log: channel().1, file };
        }
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        // Other lines may come before the one that tells an address.
        let mut address = || loop {
            let mut line = String::new();
            assert_ne!(log.read_line(&mut line).expect("a line"), 0, "no address in the log");
            if let Some(address) = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()) {
                return address;
            }
        };
        let (address, management) = (address(), self.management.map(|_| address()));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|l| {
                let _ = sender.send(l);
            });
        });
        Balancer { child, address, management, log: lines, file }
    }
}

/// A valid configuration.
pub fn good_config() -> String {
    Setup::knowing(&[nowhere()]).config()
}
