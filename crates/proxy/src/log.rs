//! The log: lines on standard error. Whoever reads them may be slow or gone and the file may be on a full disk, so a
//! thread of its own writes them, and a line that finds no room is counted and dropped. Serving goes on in either case.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Lines that may wait to be written.
const MAX_WAITING_LINES: usize = 256;
/// How long the end of the process waits for lines that are not written yet.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writing thread is told.
enum Message {
    Line(String),
    /// All lines before it are written.
    Flush(SyncSender<()>),
}

/// Lines that were dropped since one was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes a line to the log; takes what [`format!`] takes. It never waits, and it never panics.
macro_rules! log_line {
    ($($argument:tt)*) => { $crate::log::write_line(format_args!($($argument)*)) };
}
pub(crate) use log_line;

/// Hands a line to the writing thread.
pub(crate) fn write_line(line: Arguments<'_>) {
    let Some(writer) = writer() else { return write_now(&line.to_string()) };
    if writer.try_send(Message::Line(line.to_string())).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits, for a moment at most, until the lines so far are written. For the end of the process.
pub(crate) fn flush() {
    let Some(writer) = writer() else { return };
    let (done, flushed) = sync_channel(1);
    if writer.try_send(Message::Flush(done)).is_ok() {
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// The way to the writing thread; none if it cannot be started.
fn writer() -> Option<&'static SyncSender<Message>> {
    static WRITER: OnceLock<Option<SyncSender<Message>>> = OnceLock::new();
    let start = || {
        let (sender, messages) = sync_channel(MAX_WAITING_LINES);
        let started = thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&messages));
        started.ok().map(|_| sender)
    };
    WRITER.get_or_init(start).as_ref()
}

fn write_all(messages: &Receiver<Message>) {
    for message in messages {
        match message {
            Message::Line(line) => {
                write_now(&line);
                let dropped = DROPPED.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    write_now(&format!("log: {dropped} lines dropped, since nobody took them"));
                }
            }
            Message::Flush(done) => {
                let _ = done.try_send(());
            }
        }
    }
}

/// Writes a line; without effect where standard error cannot be written.
pub(crate) fn write_now(line: &str) {
    let _ = io::stderr().write_all(format!("{line}\n").as_bytes());
}
