//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes one line for each event, with the milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:6} ms  {text}\n", self.now());
        let mut file = self.file.lock().unwrap();
        // The run goes on without its record, and its exit status still tells the result.
        let _ = file.write_all(line.as_bytes());
    }
}
