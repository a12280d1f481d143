//! Processes, and the files and sockets that they are started with.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// File of the operator overrides. Its name is fixed, because earlier versions use it too.
pub const OVERRIDES_FILE: &str = "sloeline-orders.json";
/// File whose lock a process takes before it changes the operator overrides.
pub const OVERRIDES_LOCK_FILE: &str = "sloeline-orders.lock";

/// Locked while a process is started and while a test disconnects on purpose. Between fork and exec the child has a
/// copy of every descriptor, so a socket that is closed in that interval stays open for its peer.
static PROCESS_START: Mutex<()> = Mutex::new(());

/// Excludes process starts until the guard is dropped.
pub fn lock_process_start() -> MutexGuard<'static, ()> {
    PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A folder that the processes of one balancer share; removed when dropped.
pub struct SharedFolder {
    /// Path of the folder.
    pub path: PathBuf,
}

impl SharedFolder {
    /// Creates the folder; `name` must be unique among the tests of a program.
    pub fn new(name: &str) -> SharedFolder {
        let name = format!("zincstand-proxy-test-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder is created");
        SharedFolder { path }
    }
}

impl Drop for SharedFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Binds a listener to a free port.
pub fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

/// Writes a temporary file and returns its path.
pub fn write_temporary_file(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("zincstand-proxy-test-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

/// Starts the program with a configuration and environment variables that it is expected to reject, and waits until it
/// exits. Without a configuration, `EDGE_CONFIG` is not set.
pub fn run_until_exit(config: Option<&str>, variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_zincstand-proxy"));
    command.env_remove("EDGE_CONFIG").envs(variables.iter().copied());
    if let Some(text) = config {
        command.env("EDGE_CONFIG", write_temporary_file(text));
    }
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = {
        let _lock = lock_process_start();
        command.spawn().expect("the program starts")
    };
    child.wait_with_output().expect("the program exits")
}
