//! The log: lines on standard error, in the form `component: what happened (key fields)`.
//!
//! A write to standard error may block or fail: the reader may be slow or gone, or standard error may be a file on a full
//! disk. A separate thread therefore writes the lines, so that serving clients never waits for a write. When the thread's
//! queue is full, lines are dropped and counted.

use std::fmt::Arguments;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines that wait to be written. Further lines are dropped, so that a reader that has stopped cannot
/// make the queue grow without bound.
const MAX_WAITING_LINES: usize = 256;
/// How long the process waits at its end for lines that are not written yet. A reader that has stopped must not prevent
/// the process from ending.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
enum Message {
    /// Write this line.
    Line(String),
    /// Report that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Number of lines dropped since the last line was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes a line to the log. Takes the arguments of [`format!`]. Never panics, and waits for standard error
/// only if the writer thread could not be started.
///
/// Each message of the sources is listed in the table "Log lines" of `docs/operations.md`; a test compares them. A message
/// names its placeholders, so that the table can use the same text.
macro_rules! log_line {
    ($($argument:tt)*) => { $crate::log::write_line(format_args!($($argument)*)) };
}
pub(crate) use log_line;

/// Like [`log_line!`], for events that clients or upstreams can cause at any rate: each place in the sources writes at most
/// [`LINES_PER_SECOND`] lines a second, and counts the others.
macro_rules! limited_log_line {
    ($($argument:tt)*) => {{
        static LIMIT: $crate::log::LineLimit = $crate::log::LineLimit::new();
        if LIMIT.admits_line() {
            $crate::log::write_line(format_args!($($argument)*));
        }
    }};
}
pub(crate) use limited_log_line;

/// Maximum number of lines that one limited place in the sources writes in a second.
const LINES_PER_SECOND: u32 = 10;

/// The limit of one place in the sources that writes log lines.
pub(crate) struct LineLimit {
    state: Mutex<LineLimitState>,
}

/// The lines of the current second.
struct LineLimitState {
    /// When the second began; `None` before the first line.
    second_began_at: Option<Instant>,
    written: u32,
    /// Lines that were not written since the last one that was.
    suppressed: u64,
}

impl LineLimit {
    /// Returns the limit of a place that has written no line.
    pub(crate) const fn new() -> LineLimit {
        let state = LineLimitState { second_began_at: None, written: 0, suppressed: 0 };
        LineLimit { state: Mutex::new(state) }
    }

    /// Returns whether another line may be written now. Reports the number of lines that were not written before it.
    pub(crate) fn admits_line(&self) -> bool {
        let suppressed = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(suppressed) = state.admit(Instant::now()) else { return false };
            suppressed
        };
        if suppressed > 0 {
            log_line!("log: {suppressed} lines like the next one were not written");
        }
        true
    }
}

impl LineLimitState {
    /// Counts a line at `now`. Returns the number of lines suppressed before it, or `None` if it is suppressed too.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_new_second = self
            .second_began_at
            .is_none_or(|began_at| now.duration_since(began_at) >= Duration::from_secs(1));
        if is_new_second {
            self.second_began_at = Some(now);
            self.written = 0;
        }
        if self.written == LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Passes a line to the writer thread. If the thread's queue is full, the line is dropped and counted. If the thread could
/// not be started, the line is written at once.
pub(crate) fn write_line(line: Arguments<'_>) {
    let Some(writer) = writer() else { return write_now(&line.to_string()) };
    if writer.try_send(Message::Line(line.to_string())).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Waits until all earlier lines are written, but no longer than [`FLUSH_TIMEOUT`]. Returns at once if the queue is full or
/// there is no writer thread. Called at the end of the process.
pub(crate) fn flush() {
    let Some(writer) = writer() else { return };
    let (done, flushed) = sync_channel(1);
    if writer.try_send(Message::Flush(done)).is_ok() {
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Returns the channel to the writer thread, or `None` if the thread could not be started.
fn writer() -> Option<&'static SyncSender<Message>> {
    static WRITER: OnceLock<Option<SyncSender<Message>>> = OnceLock::new();
    let start = || {
        let (sender, messages) = sync_channel(MAX_WAITING_LINES);
        let started = thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&messages));
        started.ok().map(|_| sender)
    };
    WRITER.get_or_init(start).as_ref()
}

/// Writes the lines that arrive on the channel. Runs on the writer thread.
fn write_all(messages: &Receiver<Message>) {
    for message in messages {
        match message {
            Message::Line(line) => {
                write_now(&line);
                let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
                if dropped > 0 {
                    write_now(&format!("log: {dropped} lines dropped because standard error was not read"));
                }
            }
            Message::Flush(done) => {
                // `flush` may have stopped waiting, in which case nobody needs the report.
                let _ = done.try_send(());
            }
        }
    }
}

/// Writes a line to standard error. An error is ignored, since there is no other place to report it.
pub(crate) fn write_now(line: &str) {
    let _ = io::stderr().write_all(format!("{line}\n").as_bytes());
}
