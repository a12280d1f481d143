//! Case: an upstream's second answer comes some milliseconds late.

use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const UPSTREAMS: usize = 2;
const CLIENTS: usize = 6;
const DURATION: Duration = Duration::from_secs(20);
/// Each upstream spoils one answer of this many.
const SPOILT_EVERY: u32 = 20;
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(8);
const DEADLINE_MS: u32 = 2000;

pub fn run(number: u32) {
    let case = Case::open(number);
    let spoilt = Arc::new(AtomicU32::new(0));
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|index| {
            let (record, spoilt, trouble) = (case.record.clone(), spoilt.clone(), case.trouble);
            let count = AtomicU32::new(0);
            let numbers = Mutex::new(Numbers::new(100 + index as u64));
            Upstream::start(Arc::new(move |request, writer| {
                let id = request.header("req-id").to_owned();
                let work = 15.0 + 15.0 * numbers.lock().unwrap().unit();
                thread::sleep(Duration::from_secs_f64(work / 1000.0));
                let body = format!("made for {id}");
                answer_200(writer, &body)?;
                record.line(&format!("s-{index}: ran {id}, answered 200 '{body}'"));
                if trouble && count.fetch_add(1, Ordering::Relaxed) % SPOILT_EVERY == SPOILT_EVERY - 1 {
                    let (mut writer, record) = (writer.try_clone()?, record.clone());
                    spoilt.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || {
                        thread::sleep(SECOND_ANSWER_AFTER);
                        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        let written = writer.write_all(text.as_bytes()).is_ok();
                        record.line(&format!("s-{index}: second answer to {id} (written: {written})"));
                    });
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
    let address = case.start_balancer("n0", &config);
    case.wait_ready(address);

    let (served, foreign, lost) = (AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0));
    let started = Instant::now();
    thread::scope(|scope| {
        for client_number in 0..CLIENTS {
            let (case, served, foreign, lost) = (&case, &served, &foreign, &lost);
            scope.spawn(move || {
                let mut client: Option<Client> = None;
                let mut pause = Numbers::new(client_number as u64);
                for sequence in 0.. {
                    if started.elapsed() > DURATION {
                        return;
                    }
                    thread::sleep(Duration::from_secs_f64(pause.unit() * 0.06));
                    let id = format!("{client_number:04x}{sequence:012x}");
                    let mut connection = match client.take() {
                        Some(connection) => connection,
                        None => Client::connect(address).expect("the balancer accepts connections"),
                    };
                    match connection.exchange(
                        &view(&id, DEADLINE_MS),
                        Duration::from_millis(u64::from(DEADLINE_MS) + 550),
                    ) {
                        Answer::Whole { status, body, close } => {
                            let body = String::from_utf8_lossy(&body).into_owned();
                            case.record
                                .line(&format!("client {client_number}: {id} answered {status} '{body}'"));
                            if status == 200 && body == format!("made for {id}") {
                                served.fetch_add(1, Ordering::Relaxed);
                            } else if status == 200 {
                                foreign.fetch_add(1, Ordering::Relaxed);
                                case.record.line(&format!("BREAK: {id} was served with '{body}'"));
                            }
                            client = (!close).then_some(connection);
                        }
                        other => {
                            lost.fetch_add(1, Ordering::Relaxed);
                            case.record.line(&format!("client {client_number}: {id} ended {other:?}"));
                        }
                    }
                }
            });
        }
    });
    let (served, foreign) = (served.into_inner(), foreign.into_inner());
    let verdict = format!(
        "{served} requests served with their own answer, {foreign} with another request's, {} ended otherwise; \
         {} second answers sent",
        lost.into_inner(),
        spoilt.load(Ordering::Relaxed)
    );
    if served == 0 || !case.balancers_run() {
        case.end(COULD_NOT_RUN, &verdict);
    }
    case.end(if foreign > 0 { BROKEN } else { HELD }, &verdict)
}
