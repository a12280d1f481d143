//! Case: an upstream's answer begins and never ends.

use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 6;
const DURATION: Duration = Duration::from_secs(20);
/// Upstream 0 spoils one answer of this many.
const SPOILT_EVERY: u32 = 10;
const DEADLINE_MS: u32 = 2000;
/// The pages: up to half a second after its time an answer only earns nothing; and each time limit grows by 50 ms.
const SLACK_MS: u64 = 550;

pub fn run(number: u32) {
    let case = Case::open(number);
    let spoilt = Arc::new(AtomicU32::new(0));
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|index| {
            let (record, spoilt, spoils) = (case.record.clone(), spoilt.clone(), case.trouble && index == 0);
            let count = AtomicU32::new(0);
            let numbers = Mutex::new(Numbers::new(300 + index as u64));
            Upstream::start(Arc::new(move |request, writer| {
                let id = request.header("req-id").to_owned();
                thread::sleep(Duration::from_secs_f64(0.04 + 0.12 * numbers.lock().unwrap().unit()));
                if spoils && count.fetch_add(1, Ordering::Relaxed) % SPOILT_EVERY == SPOILT_EVERY - 1 {
                    spoilt.fetch_add(1, Ordering::Relaxed);
                    record
                        .line(&format!("s-{index}: ran {id}, began an answer of no length that never ends"));
                    writer
                        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nmade \r\n")?;
                    thread::sleep(Duration::from_secs(60));
                    return Ok(false);
                }
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
        sockets: 512,
    };
    let address = case.start_balancer("n0", &config);
    case.wait_ready(address);

    let (answered, ended, unanswered) = (AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0));
    let started = Instant::now();
    thread::scope(|scope| {
        for client_number in 0..CLIENTS {
            let (case, answered, ended, unanswered) = (&case, &answered, &ended, &unanswered);
            scope.spawn(move || {
                let mut client: Option<Client> = None;
                for sequence in 0.. {
                    if started.elapsed() > DURATION {
                        return;
                    }
                    thread::sleep(Duration::from_millis(50));
                    let id = format!("{client_number:04x}{sequence:012x}");
                    let Some(mut connection) = client.take().or_else(|| Client::connect(address).ok()) else {
                        continue;
                    };
                    let time = Duration::from_millis(u64::from(DEADLINE_MS) + SLACK_MS);
                    let sent = Instant::now();
                    match connection.exchange_until(&view(&id, DEADLINE_MS), sent + time) {
                        Answer::Whole { status, close, .. } => {
                            case.record.line(&format!("client {client_number}: {id} answered {status}"));
                            answered.fetch_add(1, Ordering::Relaxed);
                            client = (!close).then_some(connection);
                        }
                        // An answer that breaks off has failed, and the client can tell.
                        Answer::Broken => {
                            case.record.line(&format!("client {client_number}: {id} broke off"));
                            ended.fetch_add(1, Ordering::Relaxed);
                        }
                        Answer::Late => {
                            unanswered.fetch_add(1, Ordering::Relaxed);
                            case.record.line(&format!(
                                "BREAK: client {client_number}: {id} has neither a whole answer nor an end of its \
                                 connection {} ms after it was sent",
                                sent.elapsed().as_millis()
                            ));
                        }
                    }
                }
            });
        }
    });
    let (answered, unanswered) = (answered.into_inner(), unanswered.into_inner());
    let verdict = format!(
        "{unanswered} requests without any end {SLACK_MS} ms after their time, {answered} answered, {} broke off; \
         {} answers never ended",
        ended.into_inner(),
        spoilt.load(Ordering::Relaxed)
    );
    if answered == 0 || !case.balancers_run() {
        case.end(COULD_NOT_RUN, &verdict);
    }
    case.end(if unanswered > 0 { BROKEN } else { HELD }, &verdict)
}
