//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} s  {}", now as f64 / 1e3, text.as_ref());
    }
}
