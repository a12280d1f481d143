//! The platform's side: discovery, the configuration, and the processes of a case.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// An upstream in a process of its own.
pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

impl Upstream {
    /// Starts an upstream. What it runs goes to the record.
    pub fn start(
        name: &str,
        work_ms: u64,
        spoilt_one_in: u64,
        kind: &str,
        late_ms: u64,
        record: &Record,
    ) -> Upstream {
        let numbers = [work_ms, spoilt_one_in, late_ms].map(|number| number.to_string());
        let mut child = Command::new(std::env::current_exe().expect("the program's path is known"))
            .args(["upstream", name, &numbers[0], &numbers[1], kind, &numbers[2]])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the upstream starts");
        let mut output = BufReader::new(child.stdout.take().expect("the output is piped"));
        let mut line = String::new();
        output.read_line(&mut line).expect("the upstream prints its address");
        let address = line.trim().parse().expect("an address");
        let record = record.clone();
        spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(&line);
            }
        });
        Upstream { name: name.to_owned(), address, child }
    }

    pub fn signal(&self, signal: i32) {
        send_signal(&self.child, signal);
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send_signal(child: &Child, signal: i32) {
    // SAFETY: the call takes two numbers, and the process is a child that has not been waited for.
    unsafe { kill(child.id() as i32, signal) };
}

/// Starts a discovery agent that lists these upstreams. The list never changes: a watch ends after its wait.
fn start_discovery(upstreams: &[Upstream]) -> SocketAddr {
    let entries: Vec<String> = upstreams
        .iter()
        .map(|upstream| {
            format!(
                "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"dakar\",\"machineType\":\"front-std\",\
                 \"cell\":0,\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}}",
                upstream.name, upstream.address
            )
        })
        .collect();
    let entries = entries.join(",");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the address is known");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let entries = entries.clone();
            spawn(move || serve_discovery(stream, &entries));
        }
    });
    address
}

fn serve_discovery(mut stream: TcpStream, entries: &str) {
    let mut reader = Reader::new(stream.try_clone().expect("the socket is cloned"));
    while let Ok(head) = reader.head() {
        let wait = head.first_line.split("wait=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
        let wait: Option<u64> = wait.and_then(|text| text.parse().ok());
        let body = match wait {
            Some(wait) => {
                sleep(Duration::from_millis(wait));
                "{\"generation\":1,\"reset\":false,\"instances\":[]}".to_owned()
            }
            None => format!("{{\"generation\":1,\"reset\":true,\"instances\":[{entries}]}}"),
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The settings of the deployment: those of the site of the pages, for one balancer of the first tier.
const SETTINGS: &str = r#"{
 "Areas": ["dakar"], "Balancers": 1,
 "Categories": [
  {"DeadlineMs": 2000.0, "DedupWindowMs": 5000.0, "Effect": "retryable", "Group": "all", "LateWorth": 0.3, "Name": "view-ad", "Streaming": false, "TargetMs": 750.0, "Value": 2.0},
  {"DeadlineMs": 3000.0, "DedupWindowMs": 5000.0, "Effect": "retryable", "Group": "all", "LateWorth": 0.2, "Name": "search", "Streaming": false, "TargetMs": 1500.0, "Value": 2.0},
  {"DeadlineMs": 7500.0, "DedupWindowMs": 10000.0, "Effect": "dedup", "Group": "cell", "LateWorth": 0.25, "Name": "post-ad", "Streaming": false, "TargetMs": 2500.0, "Value": 3.0}],
 "ClientHabits": {"MarksRetry": true}, "Discovery": "automatic", "Extra": {"PassesDeadline": true}, "Family": "chain",
 "Goal": {"Whole": 0.45, "WorstClass": 0.3, "WorstTenant": 0.1, "WorstWindow": 0.15},
 "GranularityMs": 5.0, "Kinds": ["front-std"],
 "Limits": {"Cancel": true, "ConnectTimeoutMs": 100.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 15000, "IdleCloseMs": 30000.0, "MaxOpen": 20000, "MaxRetryAfterMs": 3000.0, "MaxStreams": 1, "MostTries": 6, "Peers": false, "Probing": true, "RetryAfter": true, "SecondCopies": true},
 "Me": 0, "OverShareWorth": 0.1,
 "Realms": [{"Name": "marche-dakar", "QuotaRps": 420.0, "Share": 1.0}],
 "Rules": {"AskWithinMs": 10000.0, "ColdFrom": 0.3, "DrainGraceMs": 2500.0, "GraceToAnswerMs": 20.0, "OverloadFactor": 4.0, "TipAfterMs": 1500.0, "WarmAfterMs": 8800.0},
 "Stage": 0, "Stats": {"Fields": [], "How": "none"},
 "Tariffs": {"CrossZone": 0.07, "LateFail": 0.036, "Probe": 0.01, "Waste": 0.3},
 "Tiers": ["front", "annonces"], "Weights": "none", "WorthBy": "request", "Zone": "dakar"}"#;

/// The balancer, started with the command of the deploy file.
pub struct Balancer {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Balancer {
    /// Starts the balancer before these upstreams and waits until it is ready.
    pub fn start(root: &Path, upstreams: &[Upstream], record: &Record) -> Result<Balancer, String> {
        let run = run_command(root)?;
        let discovery = start_discovery(upstreams);
        let folder = std::env::temp_dir().join(format!("zincstand-review-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp"))
            .map_err(|error| format!("no temporary folder: {error}"))?;
        let address = free_address();
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":96,\"sockets\":512}},\"settings\":{SETTINGS}}}"
        );
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).map_err(|error| format!("no configuration file: {error}"))?;
        let log_path = folder.join("log");
        let log = std::fs::File::create(&log_path).map_err(|error| format!("no log file: {error}"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .current_dir(root)
            .env("EDGE_NAME", "n1")
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &config_path)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("the balancer does not start: {error}"))?;
        let mut balancer = Balancer { address, child, folder };
        let until = Instant::now() + Duration::from_secs(10);
        while !is_ready(address) {
            if Instant::now() > until || balancer.child.try_wait().ok().flatten().is_some() {
                return Err("the balancer is not ready within 10 s".to_owned());
            }
            sleep(Duration::from_millis(50));
        }
        record.line(&format!("balancer ready on {address}"));
        Ok(balancer)
    }

    /// Sends a signal to the program that `run` started: the shell has become it by `exec`.
    pub fn signal(&mut self, signal: i32) {
        // A process that was waited for is not signalled: its id may belong to another one.
        if matches!(self.child.try_wait(), Ok(None)) {
            send_signal(&self.child, signal);
        }
    }

    /// Copies the balancer's log to the record.
    pub fn copy_log(&mut self, record: &Record) {
        if let Ok(Some(status)) = self.child.try_wait() {
            record.line(&format!("the balancer has ended by itself: {status}"));
        }
        for line in std::fs::read_to_string(self.folder.join("log")).unwrap_or_default().lines() {
            record.line(&format!("balancer's log: {line}"));
        }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let text =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = ")).ok_or("the deploy file has no run line")?;
    Ok(line.split('"').nth(1).ok_or("run is not a string")?.to_owned())
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a loopback port is free")
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    Reader::new(stream).head().is_ok_and(|head| head.status() == 200)
}

/// A counter that threads share.
pub type Shared<T> = Arc<Mutex<T>>;
