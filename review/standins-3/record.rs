//! What was sent, answered and run, with the time of each.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// One line.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: Duration,
    /// Who has seen it.
    pub by: String,
    pub event: String,
    pub request: String,
    pub detail: String,
}

/// The lines, in the order in which they were added.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, by: &str, event: &str, request: &str, detail: &str) {
        let line = Line {
            at: self.started_at.elapsed(),
            by: by.to_owned(),
            event: event.to_owned(),
            request: request.to_owned(),
            detail: detail.to_owned(),
        };
        self.lines.lock().unwrap().push(line);
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap().clone()
    }

    /// Writes all lines and what was concluded from them.
    pub fn write(&self, folder: &Path, conclusions: &[String]) {
        let mut text = String::new();
        for Line { at, by, event, request, detail } in self.lines() {
            let at = at.as_secs_f64();
            text += &format!("{at:9.3} {by:10} {event:22} {request:10} {detail}\n");
        }
        for conclusion in conclusions {
            text += &format!("{conclusion}\n");
        }
        let _ = fs::write(folder.join("record.txt"), text);
    }
}
