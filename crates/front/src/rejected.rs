//! The store row that keeps requests and prompt parts which crash endpoints, for daemons
//! that start when no other daemon is left to tell them.

use std::cmp::Reverse;

use balance::endpoint::Instance;
use balance::suspect::Evidence;
use balance::suspects::Interruption;
use balance::suspects::Report;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of crashes stored per subject, the latest ones, so that the row's size
/// is bounded.
const MAX_CRASHES: usize = 8;

/// A rejected subject as stored, in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// The subject in text form. Earlier versions stored requests only.
    #[serde(alias = "fingerprint")]
    subject: String,
    /// Whether an endpoint had served it before.
    #[serde(default)]
    was_served: bool,
    /// Crashed instances, with the Unix time of each crash in milliseconds.
    crashes: Vec<(u64, i64)>,
}

/// Encodes rejected subjects as the content of the row. `now_ms` is the Unix time.
pub fn encode(reports: &[Report], now_ms: i64) -> String {
    let entries: Vec<Entry> = reports.iter().map(|it| entry(it, now_ms)).collect();
    // Strings and numbers can always be encoded.
    serde_json::to_string(&entries).unwrap_or_default()
}

/// Decodes the content of the row; an empty row holds none.
pub fn decode(content: &str, now_ms: i64) -> Result<Vec<Report>, serde_json::Error> {
    if content.is_empty() {
        return Ok(Vec::new());
    }
    let entries: Vec<Entry> = serde_json::from_str(content)?;
    Ok(entries.into_iter().filter_map(|it| report(it, now_ms)).collect())
}

fn entry(report: &Report, now_ms: i64) -> Entry {
    let counted = report.interruptions.iter().filter(|it| it.evidence.counts());
    let mut crashes: Vec<(u64, i64)> =
        counted.map(|it| (it.instance.0, now_ms.saturating_sub_unsigned(it.age_ms))).collect();
    crashes.sort_unstable_by_key(|(_, at_ms)| Reverse(*at_ms));
    crashes.truncate(MAX_CRASHES);
    Entry { subject: report.subject.to_string(), was_served: report.was_served, crashes }
}

fn report(entry: Entry, now_ms: i64) -> Option<Report> {
    let subject = entry.subject.parse().ok()?;
    let interruptions = entry.crashes.into_iter().map(|(instance, at_ms)| Interruption {
        instance: Instance(instance),
        evidence: Evidence::Interrupted,
        age_ms: now_ms.saturating_sub(at_ms).max(0) as u64,
    });
    let was_served = entry.was_served;
    let interruptions = interruptions.collect();
    Some(Report { subject, interruptions, was_served, tried_age_ms: None })
}
