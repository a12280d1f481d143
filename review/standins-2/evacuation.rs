//! Case: operators send the clients away while long answers are on their way.

use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 16;
const DEADLINE_MS: u32 = 2000;
/// An answer comes in pieces of this length, one in 100 ms.
const PIECE: usize = 16 * 1024;
/// The requests are sent this long before the call.
const BEFORE_CALL: Duration = Duration::from_millis(1000);
/// The answers are whole 3.1 to 3.85 s after the call.
const FIRST_END: f64 = 3.1;
const LAST_END: f64 = 3.85;
/// The pages: the rule is broken if a client's connection is held idle 4 s after the call; each time limit grows by 50 ms.
const LIMIT: Duration = Duration::from_millis(4050);

pub fn run(number: u32) {
    let case = Case::open(number);
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|index| {
            let record = case.record.clone();
            Upstream::start(Arc::new(move |request, writer| {
                let id = request.header("req-id").to_owned();
                let pieces: usize = id.rsplit('-').next().and_then(|pieces| pieces.parse().ok()).unwrap_or(0);
                record.line(&format!("s-{index}: runs {id}, answers with {pieces} pieces"));
                let started = Instant::now();
                let length = pieces * PIECE;
                writer
                    .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
                for piece in 1..=pieces {
                    writer.write_all(&vec![b'a'; PIECE])?;
                    thread::sleep((started + Duration::from_millis(100) * piece as u32) - Instant::now());
                }
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
        sockets: 512,
    };
    let management = free_address();
    let address = case.start_managed_balancer("n0", &config, Some(management));
    case.wait_ready(address);

    let call_at = Instant::now() + BEFORE_CALL;
    let (idle, whole, closed) = (AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (case, idle, whole, closed) = (&case, &idle, &whole, &closed);
            scope.spawn(move || {
                let end = FIRST_END + (LAST_END - FIRST_END) * number as f64 / (CLIENTS - 1) as f64;
                let pieces = ((BEFORE_CALL.as_secs_f64() + end) * 10.0) as usize;
                let id = format!("{number:012x}-{pieces}");
                let Ok(mut client) = Client::connect(address) else { return };
                let answer = client.exchange(&view(&id, DEADLINE_MS), Duration::from_secs(10));
                let after_call = || Instant::now().saturating_duration_since(call_at).as_secs_f64();
                let Answer::Whole { status: 200, body, close } = answer else {
                    case.record.line(&format!("client {number}: {id} ended {answer:?}"));
                    return;
                };
                whole.fetch_add(1, Ordering::Relaxed);
                case.record.line(&format!(
                    "client {number}: {id} answered 200 with {} bytes {:.2} s after the call, to be closed: {close}",
                    body.len(),
                    after_call()
                ));
                let left = (call_at + LIMIT).saturating_duration_since(Instant::now());
                match client.wait_for_end(left) {
                    Ok(()) => {
                        case.record.line(&format!("client {number}: closed {:.2} s after the call", after_call()));
                        closed.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(_) if case.trouble => {
                        idle.fetch_add(1, Ordering::Relaxed);
                        case.record.line(&format!("BREAK: client {number}: held idle {:.2} s after the call", after_call()));
                        let _ = client.wait_for_end(Duration::from_secs(5));
                        case.record.line(&format!("client {number}: closed {:.2} s after the call", after_call()));
                    }
                    Err(_) => {}
                }
            });
        }
        thread::sleep(call_at.saturating_duration_since(Instant::now()));
        if case.trouble {
            let answer = Client::connect(management).map(|mut operator| {
                operator.exchange(
                    b"POST /api/evacuate HTTP/1.1\r\nHost: management\r\nContent-Length: 0\r\n\r\n",
                    Duration::from_secs(1),
                )
            });
            match answer {
                Ok(Answer::Whole { status: 200, .. }) => case.record.line("operator: evacuate answered 200"),
                other => case.end(COULD_NOT_RUN, &format!("the call is not answered yes: {other:?}")),
            }
        }
    });
    let (idle, whole) = (idle.into_inner(), whole.into_inner());
    let verdict = format!(
        "{idle} of {whole} connections held idle {} ms after the call, {} closed by then",
        LIMIT.as_millis(),
        closed.into_inner()
    );
    if whole == 0 || !case.balancers_run() {
        case.end(COULD_NOT_RUN, &verdict);
    }
    case.end(if idle > 0 { BROKEN } else { HELD }, &verdict)
}
