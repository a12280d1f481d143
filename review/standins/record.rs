//! The record of a run: what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record is created");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let millis = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{millis:10.1} {text}");
    }
}
