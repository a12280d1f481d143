//! Callers that leave while their request waits: for none of them is anything sent on afterwards.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};

use common::*;

/// What a caller has sent beside its request.
#[derive(Clone, Copy, Debug)]
enum Behind {
    Nothing,
    AnotherRequest,
    /// More than is read ahead.
    Much,
    /// Its request came in chunks, another one after it.
    Chunks,
}

const BEHINDS: [Behind; 4] = [Behind::Nothing, Behind::AnotherRequest, Behind::Much, Behind::Chunks];

fn text(id: &str, behind: Behind) -> String {
    match behind {
        Behind::Nothing => request("look", id, ""),
        Behind::AnotherRequest => request("look", id, "") + &request("look", &format!("{id}-next"), ""),
        Behind::Much => request("look", id, "") + &request("look", &format!("{id}-next"), "").repeat(600),
        Behind::Chunks => {
            let head = format!("Host: b\r\nReq-Id: {id}\r\nReq-Kind: pay\r\nTransfer-Encoding: chunked");
            let next = request("look", &format!("{id}-next"), "");
            format!("POST /api HTTP/1.1\r\n{head}\r\n\r\n4\r\nbody\r\n0\r\n\r\n{next}")
        }
    }
}

/// An upstream that holds its answers until told, and the ids that reached it.
struct Holding {
    gate: Arc<(Mutex<bool>, Condvar)>,
    seen: Arc<Mutex<Vec<String>>>,
}

impl Holding {
    fn on(upstream: Peer) -> Holding {
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let holding = Holding { gate: gate.clone(), seen: seen.clone() };
        upstream.serve(move |message, stream| {
            let id = message.header("req-id").unwrap_or("none").to_owned();
            seen.lock().expect("a lock").push(id);
            let (open, bell) = &*gate;
            let open = open.lock().expect("a lock");
            drop(bell.wait_while(open, |open| !*open).expect("a lock"));
            ok(stream);
        });
        holding
    }

    fn release(&self) {
        *self.gate.0.lock().expect("a lock") = true;
        self.gate.1.notify_all();
    }

    /// The ids that came, once there are so many at the least.
    fn seen(&self, least: usize) -> Vec<String> {
        loop {
            let seen = self.seen.lock().expect("a lock").clone();
            if seen.len() >= least {
                return seen;
            }
            std::thread::yield_now();
        }
    }
}

fn ask(client: &mut TcpStream, text: &str) {
    client.write_all(text.as_bytes()).expect("it reads");
}

/// What came before this was seen by the balancer.
fn barrier(balancer: &Balancer) {
    for _ in 0..3 {
        balancer.ask("GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n");
    }
}

/// The ids of victims among those that came.
fn victims(seen: &[String]) -> Vec<&String> {
    seen.iter().filter(|id| id.starts_with('v')).collect()
}

#[test]
fn nothing_is_sent_for_those_that_left_the_queue() {
    for round in 0..5 {
        let upstream = Peer::new();
        let balancer = Setup::knowing(&[upstream.address]).start();
        let upstream = Holding::on(upstream);
        // More than the first window lets out: the rest waits.
        let mut holders: Vec<_> = (0..5).map(|_| balancer.connect()).collect();
        for (i, client) in holders.iter_mut().enumerate() {
            ask(client, &request("look", &format!("h-{i}"), ""));
        }
        barrier(&balancer);
        assert!(upstream.seen(1).len() < holders.len(), "nothing waits");
        let mut left = Vec::new();
        for (how, behind) in LEAVINGS.into_iter().flat_map(|how| BEHINDS.map(|behind| (how, behind))) {
            let mut client = balancer.connect();
            // Half of them on a connection that has carried a request before.
            if round % 2 == 0 {
                exchange(&mut client, READY);
            }
            ask(&mut client, &text(&format!("v-{how:?}-{behind:?}"), behind));
            barrier(&balancer);
            left.push(leave(client, how));
        }
        barrier(&balancer);
        upstream.release();
        for client in &mut holders {
            assert_eq!(read(client).expect("an answer").status(), 200);
        }
        assert_eq!(balancer.ask(&request("look", "w-1", "")).status(), 200);
        assert_eq!(victims(&upstream.seen(holders.len() + 1)), Vec::<&String>::new());
    }
}

#[test]
fn nothing_is_sent_for_those_that_left_before_they_were_let_in() {
    // 46 descriptors leave 3 for callers.
    for _ in 0..5 {
        let upstream = Peer::new();
        let balancer = Setup { sockets: 46, ..Setup::knowing(&[upstream.address]) }.start();
        let upstream = Holding::on(upstream);
        let mut holders: Vec<_> = (0..3).map(|_| balancer.connect()).collect();
        for (i, client) in holders.iter_mut().enumerate() {
            ask(client, &request("look", &format!("h-{i}"), ""));
        }
        upstream.seen(3);
        let mut left = Vec::new();
        for how in LEAVINGS {
            for behind in BEHINDS {
                let mut client = balancer.connect();
                ask(&mut client, &text(&format!("v-{how:?}-{behind:?}"), behind));
                left.push(leave(client, how));
            }
        }
        upstream.release();
        for client in &mut holders {
            assert_eq!(read(client).expect("an answer").status(), 200);
        }
        drop(holders);
        // A full house may say so first.
        let mut answers = (0..1000).map(|i| balancer.ask(&request("look", &format!("w-{i}"), "")).status());
        assert!(answers.any(|status| status == 200), "it stays full");
        assert_eq!(victims(&upstream.seen(4)), Vec::<&String>::new());
    }
}
