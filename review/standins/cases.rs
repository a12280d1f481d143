//! The cases: what is sent, what is disturbed, and the check.

use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Connection, End, Seen, new_id};
use crate::platform::{Balancer, SIGCONT, SIGKILL, SIGSTOP, SIGTERM, Shared, Upstream};
use crate::record::Record;
use crate::upstream::body_for;

/// The acceptance in force: up to half a second after its time an answer only earns nothing, later the request is lost.
const LATEST_AFTER_TIME: Duration = Duration::from_millis(500);
/// The protocol page: on sockets each time limit grows by this much.
const SLACK: Duration = Duration::from_millis(50);

fn start_upstreams(
    count: usize,
    work_ms: u64,
    spoilt: u64,
    kind: &str,
    late_ms: u64,
    record: &Record,
) -> Vec<Upstream> {
    (0..count)
        .map(|index| Upstream::start(&format!("s-{index}"), work_ms, spoilt, kind, late_ms, record))
        .collect()
}

/// How many bytes a connection on this machine takes while the other side reads nothing: the kernel's buffers of both
/// sides.
fn unread_capacity() -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut writer = TcpStream::connect(listener.local_addr()?)?;
    let _unread = listener.accept()?;
    writer.set_write_timeout(Some(Duration::from_millis(300)))?;
    let chunk = [0; 16 * 1024];
    let mut written = 0;
    while let Ok(count) = writer.write(&chunk) {
        written += count;
    }
    Ok(written)
}

/// Uploads while one of three upstreams hangs.
///
/// The bodies are longer than what the connection to a hanging upstream takes, and shorter than what the client's
/// connection takes in addition: the client can write its last byte, and the balancer cannot pass it on.
pub fn upload(root: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    const DEADLINE_MS: u64 = 3000;
    const UPLOADS: usize = 16;
    const LONGEST_BODY: usize = 32_000_000;
    let watch = Duration::from_secs(15);
    let capacity = unread_capacity().map_err(|error| error.to_string())?;
    record.line(&format!("a connection whose reader hangs takes {capacity} bytes"));
    let upstreams = start_upstreams(3, 20, 0, "none", 0, record);
    let mut balancer = Balancer::start(root, &upstreams, record)?;
    let address = balancer.address;
    // Ordinary requests before, so that the balancer knows its upstreams.
    let mut connection = Connection::open(address).map_err(|error| error.to_string())?;
    for _ in 0..60 {
        let seen = connection.get(&new_id(), "view-ad", 2000, Duration::from_secs(3));
        if !matches!(seen.end, End::Answer(200, _)) {
            return Err(format!("an ordinary request before the disruption: {}", seen.describe()));
        }
    }
    if trouble {
        upstreams[0].signal(SIGSTOP);
        record.line("s-0 hangs from now on (SIGSTOP)");
    }
    let all: Shared<Vec<(String, usize, Seen)>> = Arc::default();
    let mut threads = Vec::new();
    for index in 0..UPLOADS {
        let (all, record) = (all.clone(), record.clone());
        let length = (capacity * [125, 135, 145, 155][index % 4] / 100).min(LONGEST_BODY);
        sleep(Duration::from_millis(150));
        threads.push(spawn(move || {
            let id = new_id();
            let Ok(mut connection) = Connection::open(address) else { return };
            record.line(&format!(
                "sent {id}: POST post-ad, body {length} bytes, Req-Deadline-Ms {DEADLINE_MS}"
            ));
            let seen = connection.post(&id, length, DEADLINE_MS, Duration::from_secs(5), watch);
            let taken = if seen.written.is_some() { "last byte written" } else { "last byte not written" };
            record.line(&format!("end of {id} (body {length} bytes, {taken}): {}", seen.describe()));
            all.lock().expect("no thread panics").push((id, length, seen));
        }));
    }
    for thread in threads {
        thread.join().map_err(|_| "a client panicked")?;
    }
    upstreams[0].signal(SIGCONT);
    balancer.copy_log(record);
    let allowed = Duration::from_millis(DEADLINE_MS) + LATEST_AFTER_TIME + SLACK;
    let all = all.lock().expect("no thread panics");
    if all.len() != UPLOADS {
        return Err("a client could not connect".to_owned());
    }
    let taken: Vec<_> = all.iter().filter(|(_, _, seen)| seen.written.is_some()).collect();
    let mut broken = 0;
    for (id, length, seen) in &taken {
        let late = seen.millis() > allowed.as_secs_f64() * 1000.0;
        if late || matches!(seen.end, End::Closed | End::Nothing) {
            broken += 1;
            record.line(&format!("LOST: {id} (body {length} bytes): {}", seen.describe()));
        }
    }
    Ok(Verdict {
        broken,
        summary: format!(
            "{broken} of {} uploads whose last byte was written have no final answer within {} ms ({} more could not \
             be written whole and do not count)",
            taken.len(),
            allowed.as_millis(),
            all.len() - taken.len()
        ),
    })
}

/// Requests while some upstreams send a second answer some milliseconds after the first.
pub fn second_answer(root: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    const CLIENTS: usize = 4;
    let spoilt = if trouble { 20 } else { 0 };
    let upstreams = start_upstreams(3, 12, spoilt, "second", 5, record);
    let mut balancer = Balancer::start(root, &upstreams, record)?;
    let address = balancer.address;
    let until = Instant::now() + Duration::from_secs(20);
    let counts: Shared<(usize, usize, usize, usize)> = Arc::default();
    let owners: Shared<HashMap<String, usize>> = Arc::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (counts, owners, record) = (counts.clone(), owners.clone(), record.clone());
            spawn(move || {
                let mut connection = None;
                let mut turn = client as u64;
                while Instant::now() < until {
                    let Some(open) = connection.take().or_else(|| Connection::open(address).ok()) else {
                        continue;
                    };
                    let mut open: Connection = open;
                    let id = new_id();
                    record.line(&format!("sent {id}: GET view-ad, client {client}"));
                    owners.lock().expect("no thread panics").insert(id.clone(), client);
                    let seen = open.get(&id, "view-ad", 2000, Duration::from_secs(3));
                    record.line(&format!("end of {id}: {}", seen.describe()));
                    let mut counts = counts.lock().expect("no thread panics");
                    counts.0 += 1;
                    match &seen.end {
                        End::Answer(200, body) if *body == body_for(&id).into_bytes() => {
                            connection = Some(open)
                        }
                        End::Answer(200, body) => {
                            counts.1 += 1;
                            let made_for = String::from_utf8_lossy(body).trim().replace("made for ", "");
                            let owner = owners.lock().expect("no thread panics").get(&made_for).copied();
                            counts.3 += usize::from(owner.is_some_and(|owner| owner != client));
                            record.line(&format!(
                                "FOREIGN: {id} of client {client}: {}; that is a request of client {owner:?}",
                                seen.describe()
                            ));
                            connection = Some(open);
                        }
                        End::Answer(..) => counts.2 += 1,
                        End::Closed | End::Nothing => counts.2 += 1,
                    }
                    drop(counts);
                    // A pause of 0 to 30 ms between two requests.
                    turn =
                        turn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    sleep(Duration::from_millis((turn >> 33) % 31));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().map_err(|_| "a client panicked")?;
    }
    balancer.copy_log(record);
    let (all, foreign, failed, other_client) = *counts.lock().expect("no thread panics");
    if all < 500 {
        return Err(format!("only {all} requests were answered"));
    }
    Ok(Verdict {
        broken: foreign,
        summary: format!(
            "{foreign} of {all} requests were served with the answer to another request, {other_client} of them with one \
             for another client ({failed} failed or refused)"
        ),
    })
}

/// Requests while some answers of upstreams never end.
pub fn endless_answer(root: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    const CLIENTS: usize = 4;
    const DEADLINE_MS: u64 = 1000;
    let watch = Duration::from_secs(8);
    let spoilt = if trouble { 20 } else { 0 };
    let upstreams = start_upstreams(3, 12, spoilt, "endless", 0, record);
    let mut balancer = Balancer::start(root, &upstreams, record)?;
    let address = balancer.address;
    let until = Instant::now() + Duration::from_secs(20);
    let counts: Shared<(usize, usize)> = Arc::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (counts, record) = (counts.clone(), record.clone());
            spawn(move || {
                let mut connection = None;
                while Instant::now() < until {
                    let Some(open) = connection.take().or_else(|| Connection::open(address).ok()) else {
                        continue;
                    };
                    let mut open: Connection = open;
                    let id = new_id();
                    record.line(&format!("sent {id}: GET view-ad, Req-Deadline-Ms {DEADLINE_MS}"));
                    let seen = open.get(&id, "view-ad", DEADLINE_MS, watch);
                    record.line(&format!("end of {id}: {}", seen.describe()));
                    let allowed = Duration::from_millis(DEADLINE_MS) + LATEST_AFTER_TIME + SLACK;
                    let mut counts = counts.lock().expect("no thread panics");
                    counts.0 += 1;
                    if seen.millis() > allowed.as_secs_f64() * 1000.0 {
                        counts.1 += 1;
                        record.line(&format!("LOST: {id}: {}", seen.describe()));
                    }
                    drop(counts);
                    if matches!(seen.end, End::Answer(..)) {
                        connection = Some(open);
                    }
                    sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().map_err(|_| "a client panicked")?;
    }
    balancer.copy_log(record);
    let (all, lost) = *counts.lock().expect("no thread panics");
    Ok(Verdict {
        broken: lost,
        summary: format!("{lost} of {all} requests neither answered nor ended in time"),
    })
}

/// Uploads at the pace of a slow client while the balancer is restarted as planned.
pub fn shutdown(root: &Path, trouble: bool, record: &Record) -> Result<Verdict, String> {
    const DEADLINE_MS: u64 = 4000;
    const UPLOADS: usize = 12;
    const BODY: usize = 110_000;
    const BYTES_PER_SECOND: usize = 64_000;
    /// The longest deadline, counted as 3 s, and 0.7 s more.
    const KILL_AFTER: Duration = Duration::from_millis(3700);
    /// What came up to this time after SIGTERM may be unanswered at SIGKILL.
    const EXCUSED: Duration = Duration::from_millis(700);
    let upstreams = start_upstreams(3, 2400, 0, "none", 0, record);
    let mut balancer = Balancer::start(root, &upstreams, record)?;
    let address = balancer.address;
    let all: Shared<Vec<(String, Seen)>> = Arc::default();
    let mut threads = Vec::new();
    for _ in 0..UPLOADS {
        let (all, record) = (all.clone(), record.clone());
        threads.push(spawn(move || {
            let id = new_id();
            let Ok(mut connection) = Connection::open(address) else { return };
            record.line(&format!(
                "begins {id}: POST post-ad, body {BODY} bytes at {BYTES_PER_SECOND} a second, Req-Deadline-Ms {DEADLINE_MS}"
            ));
            let seen = connection.post_slowly(&id, BODY, BYTES_PER_SECOND, DEADLINE_MS, Duration::from_secs(8));
            let taken = if seen.written.is_some() { "last byte written" } else { "last byte not written" };
            record.line(&format!("end of {id} ({taken}): {}", seen.describe()));
            all.lock().expect("no thread panics").push((id, seen));
        }));
        sleep(Duration::from_millis(30));
    }
    sleep(Duration::from_millis(50));
    let terminated = Instant::now();
    if trouble {
        balancer.signal(SIGTERM);
        record.line("SIGTERM to the balancer");
        sleep(KILL_AFTER.saturating_sub(terminated.elapsed()));
        balancer.signal(SIGKILL);
        record
            .line(&format!("SIGKILL to the balancer, {} ms after SIGTERM", terminated.elapsed().as_millis()));
    }
    for thread in threads {
        thread.join().map_err(|_| "a client panicked")?;
    }
    balancer.copy_log(record);
    let all = all.lock().expect("no thread panics");
    let (mut counted, mut broken) = (0, 0);
    for (id, seen) in all.iter() {
        let Some(written) = seen.written else { continue };
        let came = written.saturating_duration_since(terminated);
        if trouble && came <= EXCUSED + SLACK {
            record.line(&format!("excused: {id} came {} ms after SIGTERM", came.as_millis()));
            continue;
        }
        counted += 1;
        if !matches!(seen.end, End::Answer(..)) {
            broken += 1;
            record.line(&format!(
                "LOST: {id} came {} ms after SIGTERM: {}",
                came.as_millis(),
                seen.describe()
            ));
        }
    }
    if counted == 0 {
        return Err("no upload was written whole at the time that counts".to_owned());
    }
    Ok(Verdict { broken, summary: format!("{broken} of {counted} uploads taken have no final answer") })
}
