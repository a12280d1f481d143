//! Case: discovery is slow while an upstream begins to drain.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 4;
const DEADLINE_MS: u32 = 2000;
/// How long each answer of discovery takes while it is slow.
const DELAY: Duration = Duration::from_millis(2500);
/// The pages: a change counts as told at the latest 6 s after discovery had it and could be reached.
const TOLD_AFTER_MS: f64 = 6000.0;
/// `DrainGraceMs` of the settings, the 50 ms by which each time limit grows, and 0.15 s for a held-up balancer.
const GRACE_MS: f64 = 2500.0 + 50.0 + 150.0;
const SLOW_AT: Duration = Duration::from_secs(5);
const DRAIN_AT: Duration = Duration::from_secs(8);
const END_AT: Duration = Duration::from_secs(30);

pub fn run(number: u32) {
    let case = Case::open(number);
    let mode =
        if std::env::var("MODE").is_ok_and(|mode| mode == "automatic") { "automatic" } else { "subscribe" };
    let drained_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let late = Arc::new(AtomicU32::new(0));
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|index| {
            let (record, drained_at, late) = (case.record.clone(), drained_at.clone(), late.clone());
            Upstream::start(Arc::new(move |request, writer| {
                let id = request.header("req-id").to_owned();
                let since_drain =
                    drained_at.lock().unwrap().filter(|_| index == 0).map(|at| record.elapsed_ms() - at);
                if let Some(since_drain) = since_drain {
                    if since_drain > TOLD_AFTER_MS + GRACE_MS {
                        late.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!(
                            "BREAK: s-0 got {id} {since_drain:.0} ms after discovery had its drain"
                        ));
                    }
                    record.line(&format!("s-{index}: declined {id}, draining"));
                    answer_declined(writer)?;
                    return Ok(true);
                }
                thread::sleep(Duration::from_millis(20));
                record.line(&format!("s-{index}: ran {id}, answered 200"));
                answer_200(writer, &format!("made for {id}"))?;
                Ok(true)
            }))
        })
        .collect();
    let discovery = Discovery::start(&case.record, serving(&upstreams));
    let settings = Settings { balancers: 1, me: 0, mode, deadline_ms: DEADLINE_MS, rules: SLOW_START };
    let config = Config {
        discovery: discovery.address,
        known: discovery.list(),
        settings: settings.json(),
        seed: 7,
        sockets: 512,
    };
    let address = case.start_balancer("n0", &config);
    case.wait_ready(address);

    let answered = AtomicU32::new(0);
    let started = Instant::now();
    thread::scope(|scope| {
        for client_number in 0..CLIENTS {
            let (case, answered) = (&case, &answered);
            scope.spawn(move || {
                let mut client: Option<Client> = None;
                for sequence in 0.. {
                    if started.elapsed() > END_AT {
                        return;
                    }
                    thread::sleep(Duration::from_millis(100));
                    let id = format!("{client_number:04x}{sequence:012x}");
                    let Some(mut connection) = client.take().or_else(|| Client::connect(address).ok()) else {
                        continue;
                    };
                    let answer = connection.exchange(
                        &view(&id, DEADLINE_MS),
                        Duration::from_millis(u64::from(DEADLINE_MS) + 550),
                    );
                    match answer {
                        Answer::Whole { status, close, .. } => {
                            case.record.line(&format!("client {client_number}: {id} answered {status}"));
                            answered.fetch_add(1, Ordering::Relaxed);
                            client = (!close).then_some(connection);
                        }
                        other => case.record.line(&format!("client {client_number}: {id} ended {other:?}")),
                    }
                }
            });
        }
        thread::sleep(SLOW_AT);
        if case.trouble {
            discovery.set_delay(DELAY);
        }
        thread::sleep(DRAIN_AT - SLOW_AT);
        discovery.change(0, |entry| entry.lifecycle = "DRAINING");
        *drained_at.lock().unwrap() = Some(case.record.elapsed_ms());
    });
    let late = late.load(Ordering::Relaxed);
    let verdict = format!(
        "{late} requests went to the draining upstream more than {} ms after discovery had its drain; \
         {} requests answered; the last list written completely was version {}",
        TOLD_AFTER_MS + GRACE_MS,
        answered.load(Ordering::Relaxed),
        discovery.last_told.load(Ordering::Relaxed)
    );
    if answered.into_inner() == 0 || !case.balancers_run() {
        case.end(COULD_NOT_RUN, &verdict);
    }
    case.end(if late > 0 { BROKEN } else { HELD }, &verdict)
}
