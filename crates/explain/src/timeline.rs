//! The timeline of a request: its own log lines and those of its endpoints around it.

use std::collections::BTreeSet;
use std::fmt;

use crate::cause;
use crate::record::Record;

/// Time before and after a request in which related lines are included, in
/// milliseconds. Entries of crashed endpoints expire within this time.
const CONTEXT_MS: i64 = 4_000;

/// The timeline of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// Identifier of the request.
    pub request: String,
    /// Lines of the request itself, ordered by time.
    pub own: Vec<Record>,
    /// Lines of the same daemons from around the time of the request, about its
    /// endpoints, the configuration, the store and the daemons' lifecycle, ordered by
    /// time.
    pub context: Vec<Record>,
}

impl Timeline {
    /// Builds the timeline of a request. Returns `None` if no line names the request.
    pub fn build(request: &str, records: &[Record]) -> Option<Timeline> {
        let is_own = |it: &&Record| it.text("request") == Some(request);
        let mut own: Vec<Record> = records.iter().filter(is_own).cloned().collect();
        own.sort_by_key(|it| it.at_ms);
        let (first, last) = (own.first()?.at_ms, own.last()?.at_ms);
        let daemons: BTreeSet<&str> = own.iter().map(|it| it.daemon.as_str()).collect();
        let endpoints: BTreeSet<&str> = own.iter().filter_map(|it| it.text("endpoint")).collect();
        let is_context = |it: &&Record| {
            let is_in_time = it.at_ms >= first - CONTEXT_MS && it.at_ms <= last + CONTEXT_MS;
            is_in_time
                && daemons.contains(it.daemon.as_str())
                && it.fields.get("request").is_none()
                && is_relevant(it, &endpoints)
        };
        let mut context: Vec<Record> = records.iter().filter(is_context).cloned().collect();
        context.sort_by_key(|it| it.at_ms);
        Some(Timeline { request: request.to_owned(), own, context })
    }
}

/// Whether a line is about something that the request depended on.
fn is_relevant(record: &Record, endpoints: &BTreeSet<&str>) -> bool {
    match record.event.as_str() {
        "endpoint" => record.text("endpoint").is_some_and(|it| endpoints.contains(it)),
        "configuration in force"
        | "store lost"
        | "store regained"
        | "stopping"
        | "stopped"
        | "started" => true,
        _ => false,
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.own.first().map_or(0, |it| it.at_ms);
        writeln!(f, "request {}, milliseconds since its first line", self.request)?;
        write_records(f, &self.own, start)?;
        if !self.context.is_empty() {
            writeln!(f, "related events on the same daemons")?;
            write_records(f, &self.context, start)?;
        }
        let daemons: BTreeSet<&str> = self.own.iter().map(|it| it.daemon.as_str()).collect();
        for daemon in daemons {
            let mut own = self.own.iter().filter(|it| it.daemon == daemon);
            let last = own.clone().rfind(|it| cause::is_decision(it)).or(own.next_back());
            if let Some(last) = last {
                writeln!(f, "cause on {daemon}: {}", cause::describe(last))?;
            }
        }
        Ok(())
    }
}

fn write_records(f: &mut fmt::Formatter<'_>, records: &[Record], start: i64) -> fmt::Result {
    for record in records {
        write!(f, "{:+8} {} {}", record.at_ms - start, record.daemon, record.event)?;
        for (name, value) in record.fields.iter().filter(|(name, _)| *name != "request") {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        writeln!(f)?;
    }
    Ok(())
}
