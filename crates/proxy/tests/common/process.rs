//! Processes and their files.

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a program is started and while a connection is closed on purpose: between fork and exec the new process
/// holds a copy of every socket, and until then the peer would not notice that one was closed.
static STARTING: Mutex<()> = Mutex::new(());

pub fn lock_process_start() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A folder that the processes of one balancer share; removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("zincstand-proxy-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes a temporary file.
pub fn write_temporary_file(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("zincstand-proxy-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Runs the program to its end on a configuration that it should reject.
pub fn start_on(config: Option<&str>, variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_zincstand-proxy"));
    command.env_remove("EDGE_CONFIG").envs(variables.iter().copied());
    if let Some(text) = config {
        command.env("EDGE_CONFIG", write_temporary_file(text));
    }
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = {
        let _lock = lock_process_start();
        command.spawn().expect("it runs")
    };
    child.wait_with_output().expect("it ends")
}
