//! A stand-in upstream, run as a process of its own so that a test can stop and continue it by signals.
//!
//! It begins a request when the request's last byte has come, works for a given time and answers 200 with a body that
//! names the request's id. It prints one line for each request that it has run. Two kinds of spoilt answers can be
//! switched on; both are named in the pages.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::http::Reader;

/// What the upstream does with its answers.
#[derive(Clone)]
pub struct Behaviour {
    /// Work of a request in milliseconds.
    pub work_ms: u64,
    /// One of this many answers is spoilt; 0: none.
    pub spoilt_one_in: u64,
    /// The kind of the spoilt answers: `second` or `endless`.
    pub kind: String,
    /// For `second`: how late the second answer comes, in milliseconds.
    pub late_ms: u64,
}

/// Serves until the process is killed. The first line of output is the address.
pub fn run(arguments: &[String]) {
    let number = |index: usize| arguments[index].parse().expect("a number");
    let behaviour = Behaviour {
        work_ms: number(1),
        spoilt_one_in: number(2),
        kind: arguments[3].clone(),
        late_ms: number(4),
    };
    let name = arguments[0].clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    println!("{}", listener.local_addr().expect("the address is known"));
    let answers = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming().flatten() {
        let (behaviour, answers, name) = (behaviour.clone(), answers.clone(), name.clone());
        spawn(move || serve(stream, &name, &behaviour, &answers));
    }
}

/// The body of the answer to a request. A client recognizes by it whether the answer was made for its request.
pub fn body_for(id: &str) -> String {
    format!("made for {id}\n")
}

fn whole_answer(id: &str) -> String {
    let body = body_for(id);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn serve(stream: TcpStream, name: &str, behaviour: &Behaviour, answers: &AtomicU64) {
    stream.set_nodelay(true).expect("the option is set");
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("the socket is cloned")));
    let mut reader = Reader::new(stream);
    loop {
        let Ok(head) = reader.head() else { return };
        let Ok(body) = reader.body(&head) else { return };
        let Some(id) = head.header("req-id").map(str::to_owned) else {
            let _ = write(&writer, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        sleep(Duration::from_millis(behaviour.work_ms));
        let answer = answers.fetch_add(1, Ordering::Relaxed) + 1;
        let spoilt = behaviour.spoilt_one_in > 0 && answer.is_multiple_of(behaviour.spoilt_one_in);
        let note = if spoilt { behaviour.kind.as_str() } else { "whole" };
        println!("{name} ran {id} body {} bytes, answer {note}", body.len());
        if spoilt && behaviour.kind == "endless" {
            let text = body_for(&id);
            let begun = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n",
                text.len()
            );
            // The end of the answer never comes. The connection stays open, until the other side closes it.
            if write(&writer, begun.as_bytes()).is_err() || reader.head().is_err() {
                return;
            }
            continue;
        }
        if write(&writer, whole_answer(&id).as_bytes()).is_err() {
            return;
        }
        if spoilt && behaviour.kind == "second" {
            let (writer, late) = (writer.clone(), Duration::from_millis(behaviour.late_ms));
            spawn(move || {
                sleep(late);
                let _ = write(&writer, whole_answer(&id).as_bytes());
            });
        }
    }
}

fn write(writer: &Mutex<TcpStream>, bytes: &[u8]) -> std::io::Result<()> {
    writer.lock().expect("no writer panics").write_all(bytes)
}
