//! Real balancers as child processes, each with a configuration of its own.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a start, or an end by SIGTERM, may take.
const LONG: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(5);
/// Between two looks at whether it is ready.
const LOOK: Duration = Duration::from_millis(5);

/// What a balancer is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Zones that the settings name.
    pub zones: usize,
    /// How many balancers share the upstreams.
    pub balancers: u32,
    /// Classes of calls: `look`, and others beside it.
    pub classes: usize,
    /// Tenants by name, none with a quota.
    pub tenants: usize,
    /// Descriptors.
    pub sockets: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: u32,
    /// How long upstreams keep an idle connection, in milliseconds; 0 where nothing is known of it.
    pub idle_close_ms: u32,
    /// Aim and deadline of every class, in milliseconds.
    pub deadline_ms: u32,
    /// How soon the news of a drain must be heeded, in milliseconds; watches follow it.
    pub drain_grace_ms: u32,
}

impl Settings {
    /// One balancer alone, in the memory that the documents give it.
    pub fn alone(discovery: SocketAddr) -> Settings {
        Settings {
            discovery,
            zones: 1,
            balancers: 1,
            classes: 1,
            tenants: 0,
            sockets: 1024,
            memory_mb: 32,
            idle_close_ms: 0,
            deadline_ms: 1000,
            drain_grace_ms: 4000,
        }
    }

    /// The configuration file.
    pub fn config(&self) -> Value {
        let class = |i: usize| {
            let name = if i == 0 { "look".to_owned() } else { format!("look-{i}") };
            json!({"Name": name, "Effect": "retryable", "TargetMs": self.deadline_ms, "DeadlineMs": self.deadline_ms,
                "LateWorth": 0.0, "Value": 1.0})
        };
        let classes: Vec<_> = (0..self.classes).map(class).collect();
        let tenants: Vec<_> =
            (0..self.tenants).map(|i| json!({"Name": format!("tenant-{i}"), "Share": 1.0})).collect();
        let zones: Vec<_> = (0..self.zones.max(1)).map(|zone| format!("zone-{zone:02}")).collect();
        json!({
            "name": "scale", "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(), "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": {
                "Areas": zones, "Zone": zones[0], "Balancers": self.balancers, "Me": 0, "Categories": classes,
                "Realms": tenants, "Discovery": "automatic", "GranularityMs": 1.0,
                "Limits": {"Cancel": true, "MostTries": 3, "RetryAfter": true, "ConnectTimeoutMs": 500.0,
                    "IdleCloseMs": self.idle_close_ms},
                "Rules": {"AskWithinMs": 40.0, "ColdFrom": 0.5, "DrainGraceMs": self.drain_grace_ms,
                    "OverloadFactor": 3.0, "TipAfterMs": 1000.0, "WarmAfterMs": 5000.0},
                "Stage": 0, "Tiers": ["t"],
            },
        })
    }
}

/// What a process has taken up so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time of all its threads.
    pub processor: Duration,
    /// Memory that it holds now, in KB.
    pub resident_kb: u64,
    /// The most that it has held, in KB.
    pub most_resident_kb: u64,
    /// Times that it gave up the processor, by itself or not.
    pub switches: u64,
}

impl Usage {
    /// Of the process with this id.
    ///
    /// # Errors
    /// It has ended.
    pub fn of(id: u32) -> Result<Usage> {
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{id}/{file}"))
                .with_context(|| format!("process {id} has ended"))
        };
        let status = read("status")?;
        let value = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            line.and_then(|l| l.split_whitespace().next()).and_then(|v| v.parse().ok()).unwrap_or(0)
        };
        // One thread, in nanoseconds; the ticks of `stat` are too coarse for a call.
        let processor = read("schedstat")?.split(' ').next().and_then(|ns| ns.parse().ok());
        Ok(Usage {
            processor: Duration::from_nanos(processor.context("no processor time in schedstat")?),
            resident_kb: value("VmRSS:"),
            most_resident_kb: value("VmHWM:"),
            switches: value("voluntary_ctxt_switches:") + value("nonvoluntary_ctxt_switches:"),
        })
    }
}

/// A running balancer; killed by its id when dropped.
pub struct Balancer {
    /// Where callers connect.
    pub address: SocketAddr,
    child: Child,
    id: u32,
    config: NamedTempFile,
    _log: tokio::task::JoinHandle<()>,
}

impl Balancer {
    /// Starts the program and waits until it is ready.
    ///
    /// # Errors
    /// It does not start or is not ready in time; the error holds what it said.
    pub async fn start(program: &Path, settings: &Settings) -> Result<Balancer> {
        let mut config = NamedTempFile::with_prefix("zincstand-rig-")?;
        config.write_all(settings.config().to_string().as_bytes())?;
        let mut command = Command::new(program);
        for name in ["EDGE_FD", "EDGE_MANAGEMENT", "EDGE_LISTEN", "EDGE_NAME", "EDGE_DISCOVERY", "TMPDIR"] {
            command.env_remove(name);
        }
        command
            .env("EDGE_CONFIG", config.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let child = command.kill_on_drop(true).spawn();
        let mut child = child.with_context(|| format!("cannot start {}", program.display()))?;
        let id = child.id().context("it has ended")?;
        let log = child.stderr.take().context("it has no log")?;
        let mut log = BufReader::new(log).lines();
        let address = timeout(LONG, address(&mut log)).await.context("the balancer does not listen")??;
        let log = tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        let balancer = Balancer { address, child, id, config, _log: log };
        let late = Instant::now() + LONG;
        while !balancer.ready().await {
            if Instant::now() > late {
                bail!("the balancer is not ready");
            }
            sleep(LOOK).await;
        }
        Ok(balancer)
    }

    /// Whether it says that it is ready.
    pub async fn ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n").await?;
            let mut status = [0; 12];
            stream.read_exact(&mut status).await?;
            std::io::Result::Ok(status == *b"HTTP/1.1 200")
        };
        matches!(timeout(LONG, ask).await, Ok(Ok(true)))
    }

    /// What it has taken up.
    ///
    /// # Errors
    /// It has ended.
    pub fn usage(&self) -> Result<Usage> {
        Usage::of(self.id)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Where its configuration stands.
    pub fn config(&self) -> PathBuf {
        self.config.path().to_owned()
    }

    /// Gives it another configuration and tells it.
    ///
    /// # Errors
    /// The file cannot be written or the process has ended.
    pub fn reload(&self, settings: &Settings) -> Result<()> {
        std::fs::write(self.config.path(), settings.config().to_string())?;
        self.signal(Signal::HUP)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        // Not yet waited for, so that the id is still its own.
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32)).context("the balancer has ended")?;
        kill_process(id, signal).context("the balancer cannot be told")
    }
}

/// Ends balancers by SIGTERM, all at once, and those that take too long by SIGKILL; each by its own id.
///
/// # Errors
/// One had ended before.
pub async fn stop(balancers: impl IntoIterator<Item = Balancer>) -> Result<()> {
    let mut balancers: Vec<Balancer> = balancers.into_iter().collect();
    for balancer in &balancers {
        balancer.signal(Signal::TERM)?;
    }
    let late = Instant::now() + END;
    for balancer in &mut balancers {
        if timeout_at(late, balancer.child.wait()).await.is_err() {
            balancer.child.kill().await?;
        }
    }
    Ok(())
}

/// The address in the first line of its log.
async fn address(log: &mut Lines<BufReader<ChildStderr>>) -> Result<SocketAddr> {
    let mut said = String::new();
    while let Some(line) = log.next_line().await? {
        if let Some((_, address)) = line.split_once(" listens on ") {
            return address.parse().context("no address in its log");
        }
        said += &line;
    }
    Err(anyhow!("the balancer has ended: {said}"))
}
