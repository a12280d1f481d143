//! Case: a crowd of clients connects and stops half way through a request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const UPSTREAMS: usize = 3;
/// Clients that send a request but for the second half of its body, and stay until they are answered.
const CROWD: usize = 3000;
const CROWD_INTERVAL: Duration = Duration::from_millis(2);
/// Requests of sound clients, each on a new connection, one in 100 ms from a second after the first of the crowd on.
const REQUESTS: usize = 80;
const DEADLINE_MS: u32 = 2000;
/// The pages: up to half a second after its time an answer only earns nothing; and each time limit grows by 50 ms.
const SLACK_MS: u64 = 550;
/// How long the clients look on, for the record.
const LOOK_ON: Duration = Duration::from_secs(25);

/// The crowd: each member sends half a request, stays until the balancer answers it or ends its connection, and closes then.
pub fn members(address: SocketAddr) {
    let crowd: Mutex<Vec<TcpStream>> = Mutex::default();
    let is_waiting = |client: &mut TcpStream| matches!(client.read(&mut [0; 512]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    thread::scope(|scope| {
        scope.spawn(|| loop {
            crowd.lock().unwrap().retain_mut(is_waiting);
            thread::sleep(Duration::from_millis(2));
        });
        let started = Instant::now();
        for member in 0..CROWD {
            thread::sleep(
                (started + CROWD_INTERVAL * member as u32).saturating_duration_since(Instant::now()),
            );
            let Ok(mut client) = TcpStream::connect(address) else { continue };
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: c{member:015x}\r\nReq-Kind: pay\r\n\
                 Req-Owner: acme\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 200\r\n\r\n{}",
                "b".repeat(100)
            );
            let _ = client.write_all(request.as_bytes());
            let _ = client.set_nonblocking(true);
            crowd.lock().unwrap().push(client);
        }
    });
}

pub fn run(number: u32) {
    let case = Case::open(number);
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|index| {
            let record = case.record.clone();
            Upstream::start(std::sync::Arc::new(move |request, writer| {
                let id = request.header("req-id").to_owned();
                thread::sleep(Duration::from_millis(20));
                record.line(&format!("s-{index}: ran {id}, answered 200"));
                answer_200(writer, &format!("made for {id}"))?;
                Ok(true)
            }))
        })
        .collect();
    let discovery = Discovery::start(&case.record, serving(&upstreams));
    let settings =
        Settings { balancers: 1, me: 0, mode: "automatic", deadline_ms: DEADLINE_MS, rules: SLOW_START };
    let config = Config {
        discovery: discovery.address,
        known: discovery.list(),
        settings: settings.json(),
        seed: 7,
        sockets: 256,
    };
    let address = case.start_balancer("n0", &config);
    case.wait_ready(address);

    if case.trouble {
        // In a process of its own, so that the case also runs where a process may hold 1,024 descriptors.
        case.start_helper(&["crowd_members", &number.to_string(), &address.to_string()]);
        case.record.line(&format!("crowd: {CROWD} clients, one in {CROWD_INTERVAL:?}, begin to come"));
    }
    thread::sleep(Duration::from_millis(1000));

    let (answered, closed, late) = (AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0));
    let slowest = Mutex::new(0.0f64);
    thread::scope(|scope| {
        for sequence in 0..REQUESTS {
            let (case, answered, closed, late, slowest) = (&case, &answered, &closed, &late, &slowest);
            scope.spawn(move || {
                let id = format!("{sequence:016x}");
                let Ok(mut client) = Client::connect(address) else {
                    case.record.line(&format!("client {sequence}: no connection"));
                    return;
                };
                let sent = Instant::now();
                let answer = client.exchange(&view(&id, DEADLINE_MS), LOOK_ON);
                let took = sent.elapsed();
                case.record.line(&format!(
                    "client {sequence}: {id} after {} ms: {}",
                    took.as_millis(),
                    match &answer {
                        Answer::Whole { status, .. } => format!("answered {status}"),
                        other => format!("{other:?}"),
                    }
                ));
                let in_time = took <= Duration::from_millis(u64::from(DEADLINE_MS) + SLACK_MS);
                let count = match answer {
                    Answer::Whole { .. } if in_time => answered,
                    // The first request of a connection that is closed without an answer has failed and is not lost.
                    Answer::Broken if in_time => closed,
                    _ => {
                        case.record.line(&format!(
                            "BREAK: {id} had no answer and no close {SLACK_MS} ms after its time"
                        ));
                        let mut slowest = slowest.lock().unwrap();
                        *slowest = slowest.max(took.as_secs_f64());
                        late
                    }
                };
                count.fetch_add(1, Ordering::Relaxed);
            });
            thread::sleep(Duration::from_millis(100));
        }
    });
    let (answered, late) = (answered.into_inner(), late.into_inner());
    let verdict = format!(
        "{late} of {REQUESTS} requests without an answer or a close {SLACK_MS} ms after their time, the slowest took {:.1} s; \
         {answered} answered in time, {} closed",
        slowest.into_inner().unwrap(),
        closed.into_inner()
    );
    if answered + late == 0 || !case.balancers_run() {
        case.end(COULD_NOT_RUN, &verdict);
    }
    case.end(if late > 0 { BROKEN } else { HELD }, &verdict)
}
