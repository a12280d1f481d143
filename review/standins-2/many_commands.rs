//! Case: clients send many commands at once.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::kit::*;

const UPSTREAMS: usize = 2;
const ROUNDS: usize = 10;
/// Commands that a client sends at once, and the time that it gives each of them.
const COMMANDS: usize = 250;
const DEADLINE_MS: u32 = 3000;

/// Sends the requests on one new connection, all at once or one after another, and returns how many were answered: answers
/// come in the order of the requests.
fn send(case: &Case, address: std::net::SocketAddr, ids: &[String], at_once: bool) -> usize {
    let Ok(mut client) = Client::connect(address) else { return 0 };
    let time = Duration::from_millis(u64::from(DEADLINE_MS) + 550);
    let requests: Vec<Vec<u8>> = ids.iter().map(|id| view(id, DEADLINE_MS)).collect();
    if at_once {
        let bytes = requests.concat();
        case.record.line(&format!(
            "client: {} commands at once, {} bytes, from {}",
            ids.len(),
            bytes.len(),
            ids[0]
        ));
        if client.send(&bytes).is_err() {
            return 0;
        }
    }
    for (index, id) in ids.iter().enumerate() {
        let answer = if at_once { client.answer(time) } else { client.exchange(&requests[index], time) };
        match answer {
            Answer::Whole { status, close, .. } => {
                case.record.line(&format!(
                    "client: {id} answered {status}{}",
                    if close { ", to be closed" } else { "" }
                ));
            }
            other => {
                case.record.line(&format!("client: {id} has no answer: {other:?}"));
                return index;
            }
        }
    }
    ids.len()
}

pub fn run(number: u32) {
    let case = Case::open(number);
    let ran = Arc::new(AtomicU32::new(0));
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|_| {
            let ran = ran.clone();
            Upstream::start(Arc::new(move |request, writer| {
                thread::sleep(Duration::from_millis(5));
                ran.fetch_add(1, Ordering::Relaxed);
                answer_200(writer, &format!("made for {}", request.header("req-id")))?;
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

    let (mut answered, mut lost) = (0, 0);
    for round in 0..ROUNDS {
        let ids: Vec<String> = (0..COMMANDS).map(|command| format!("{round:04x}{command:012x}")).collect();
        let first = send(&case, address, &ids, case.trouble);
        answered += first;
        // A close may have crossed the rest: the client sends each of them once more on a new connection.
        if first < ids.len() {
            let second = send(&case, address, &ids[first..], case.trouble);
            answered += second;
            let missing = ids.len() - first - second;
            lost += missing;
            case.record.line(&format!(
                "BREAK: {missing} requests of round {round} are lost after their second send"
            ));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let verdict = format!(
        "{lost} requests lost, {answered} answered; {} ran at upstreams",
        ran.load(Ordering::Relaxed)
    );
    if answered == 0 || !case.balancers_run() {
        case.end(COULD_NOT_RUN, &verdict);
    }
    case.end(if lost > 0 { BROKEN } else { HELD }, &verdict)
}
