//! Upstreams that fail at random.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::common::{Peer, respond, respond_ok};
use crate::record::{ReceivedRequest, Record};

/// Upper bound on the processing time of a request, in milliseconds.
const MAX_PROCESSING_MS: u64 = 30;
/// Delay of a response that comes long after the balancer has given up.
const HANG_DURATION: Duration = Duration::from_millis(2500);

/// How an upstream handles a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// Rejects the request before it runs, so that the balancer may retry it on another upstream.
    Reject,
    /// Fails after the request ran.
    Fail,
    /// Closes the connection without a response.
    CloseConnection,
    /// Sends only a part of the response and keeps the connection open.
    Truncate,
    /// Responds after [`HANG_DURATION`].
    Hang,
    /// Responds and announces that it will close the connection.
    AnnounceClose,
    /// Responds with success.
    Succeed,
}

/// A fault of upstreams and its frequency.
struct Fault {
    behavior: Behavior,
    /// Percentage of the requests.
    percent: u32,
}

/// The faults in the order in which a draw from 0 to 99 selects them; a draw beyond their sum is a success.
const FAULTS: [Fault; 6] = [
    Fault { behavior: Behavior::Reject, percent: 5 },
    Fault { behavior: Behavior::Fail, percent: 3 },
    Fault { behavior: Behavior::CloseConnection, percent: 2 },
    Fault { behavior: Behavior::Truncate, percent: 2 },
    Fault { behavior: Behavior::Hang, percent: 2 },
    Fault { behavior: Behavior::AnnounceClose, percent: 2 },
];

impl Behavior {
    /// Draws the behavior for one request.
    fn draw(rng: &mut Rng) -> Behavior {
        let draw = rng.u32(0..100);
        let mut upper_bound = 0;
        for fault in &FAULTS {
            upper_bound += fault.percent;
            if draw < upper_bound {
                return fault.behavior;
            }
        }
        Behavior::Succeed
    }

    /// Responds, or fails to respond, on a connection.
    fn apply(self, stream: &mut TcpStream) {
        match self {
            Behavior::Reject => respond(stream, "503 Service Unavailable", "Srv-Declined: 1\r\n", b"busy"),
            Behavior::Fail => respond(stream, "500 Internal Server Error", "", b"oops"),
            Behavior::CloseConnection => {
                let _ = stream.shutdown(Shutdown::Both);
            }
            Behavior::Truncate => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            }
            Behavior::Hang => {
                std::thread::sleep(HANG_DURATION);
                respond_ok(stream);
            }
            Behavior::AnnounceClose => respond(stream, "200 OK", "Connection: close\r\n", b"last"),
            Behavior::Succeed => respond_ok(stream),
        }
    }
}

/// Starts an upstream whose faults are drawn from `seed` and returns its address.
pub fn start(record: &Arc<Record>, seed: u64) -> SocketAddr {
    let upstream = Peer::new();
    let address = upstream.address;
    let record = record.clone();
    // Each request has a separate seed, because requests run in parallel and their faults must not depend on how the
    // threads are scheduled.
    let next_seed = Arc::new(AtomicU64::new(seed));
    upstream.serve(move |message, stream| {
        let mut rng = Rng::with_seed(next_seed.fetch_add(1, Ordering::Relaxed));
        let behavior = Behavior::draw(&mut rng);
        let deadline = message.header("req-deadline-ms").and_then(|text| text.parse().ok());
        record.add_received(ReceivedRequest {
            id: message.header("req-id").unwrap_or_default().to_owned(),
            received_at: Instant::now(),
            deadline: Duration::from_millis(deadline.unwrap_or(0)),
            is_rejected: behavior == Behavior::Reject,
        });
        std::thread::sleep(Duration::from_millis(rng.u64(0..MAX_PROCESSING_MS)));
        behavior.apply(stream);
    });
    address
}
