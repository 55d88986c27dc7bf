//! All that the logs say about a request, and about its endpoints meanwhile.

use std::collections::BTreeSet;
use std::fmt;

use crate::cause;
use crate::record::Record;

/// Time around a request in which lines about its endpoints belong to it, in
/// milliseconds: entries of crashed endpoints lapse within that.
const AROUND_MS: i64 = 4_000;

/// A request's story.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// Identity of the request.
    pub request: String,
    /// Its own lines in the order of time.
    pub own: Vec<Record>,
    /// Lines about its endpoints, the configuration and lost dependencies on
    /// the same daemons around it.
    pub around: Vec<Record>,
}

impl Story {
    /// Gathers the story; `None` where no line names the request.
    pub fn gather(request: &str, records: &[Record]) -> Option<Story> {
        let is_own = |it: &&Record| it.text("request") == Some(request);
        let mut own: Vec<Record> = records.iter().filter(is_own).cloned().collect();
        own.sort_by_key(|it| it.at_ms);
        let (first, last) = (own.first()?.at_ms, own.last()?.at_ms);
        let daemons: BTreeSet<&str> = own.iter().map(|it| it.daemon.as_str()).collect();
        let endpoints: BTreeSet<&str> = own.iter().filter_map(|it| it.text("endpoint")).collect();
        let is_near = |it: &&Record| {
            let is_in_time = it.at_ms >= first - AROUND_MS && it.at_ms <= last + AROUND_MS;
            is_in_time
                && daemons.contains(it.daemon.as_str())
                && it.fields.get("request").is_none()
                && concerns(it, &endpoints)
        };
        let mut around: Vec<Record> = records.iter().filter(is_near).cloned().collect();
        around.sort_by_key(|it| it.at_ms);
        Some(Story { request: request.to_owned(), own, around })
    }
}

/// Whether a line tells of something that the request depended on.
fn concerns(record: &Record, endpoints: &BTreeSet<&str>) -> bool {
    match record.event.as_str() {
        "endpoint" | "endpoint crashed under request" => {
            record.text("endpoint").is_some_and(|it| endpoints.contains(it))
        }
        "configuration in force"
        | "store lost"
        | "store regained"
        | "stopping"
        | "stopped"
        | "started" => true,
        _ => false,
    }
}

impl fmt::Display for Story {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.own.first().map_or(0, |it| it.at_ms);
        writeln!(out, "request {}, milliseconds since its first line", self.request)?;
        write_records(out, &self.own, start)?;
        if !self.around.is_empty() {
            writeln!(out, "meanwhile on the same daemons")?;
            write_records(out, &self.around, start)?;
        }
        let daemons: BTreeSet<&str> = self.own.iter().map(|it| it.daemon.as_str()).collect();
        for daemon in daemons {
            if let Some(last) = self.own.iter().rfind(|it| it.daemon == daemon) {
                writeln!(out, "cause on {daemon}: {}", cause::of(last))?;
            }
        }
        Ok(())
    }
}

fn write_records(out: &mut fmt::Formatter<'_>, records: &[Record], start: i64) -> fmt::Result {
    for record in records {
        write!(out, "{:+8} {} {}", record.at_ms - start, record.daemon, record.event)?;
        for (name, value) in record.fields.iter().filter(|(name, _)| *name != "request") {
            match value.as_str() {
                Some(text) => write!(out, " {name}={text}")?,
                None => write!(out, " {name}={value}")?,
            }
        }
        writeln!(out)?;
    }
    Ok(())
}
