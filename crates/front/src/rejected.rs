//! The store row that keeps requests which crash endpoints, for daemons that start
//! when no other daemon is left to tell them.

use std::cmp::Reverse;

use balance::endpoint::Instance;
use balance::suspects::Evidence;
use balance::suspects::Interruption;
use balance::suspects::Report;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of crashes stored per request, the latest ones, so that the row's size
/// is bounded.
const MAX_CRASHES: usize = 8;

/// A rejected request as stored, in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct Request {
    /// Fingerprint in hexadecimal.
    fingerprint: String,
    /// Crashed instances, with the Unix time of each crash in milliseconds.
    crashes: Vec<(u64, i64)>,
}

/// Encodes rejected requests as the content of the row. `now_ms` is the Unix time.
pub fn encode(reports: &[Report], now_ms: i64) -> String {
    let requests: Vec<Request> = reports.iter().map(|it| request(it, now_ms)).collect();
    // Strings and numbers can always be encoded.
    serde_json::to_string(&requests).unwrap_or_default()
}

/// Decodes the content of the row; an empty row holds no requests.
pub fn decode(content: &str, now_ms: i64) -> Result<Vec<Report>, serde_json::Error> {
    if content.is_empty() {
        return Ok(Vec::new());
    }
    let requests: Vec<Request> = serde_json::from_str(content)?;
    Ok(requests.into_iter().filter_map(|it| report(it, now_ms)).collect())
}

fn request(report: &Report, now_ms: i64) -> Request {
    let counted = report.interruptions.iter().filter(|it| it.evidence.counts());
    let mut crashes: Vec<(u64, i64)> =
        counted.map(|it| (it.instance.0, now_ms.saturating_sub_unsigned(it.age_ms))).collect();
    crashes.sort_unstable_by_key(|(_, at_ms)| Reverse(*at_ms));
    crashes.truncate(MAX_CRASHES);
    Request { fingerprint: format!("{:032x}", report.fingerprint), crashes }
}

fn report(request: Request, now_ms: i64) -> Option<Report> {
    let fingerprint = u128::from_str_radix(&request.fingerprint, 16).ok()?;
    let interruptions = request.crashes.into_iter().map(|(instance, at_ms)| Interruption {
        instance: Instance(instance),
        evidence: Evidence::Interrupted,
        age_ms: now_ms.saturating_sub(at_ms).max(0) as u64,
    });
    Some(Report { fingerprint, interruptions: interruptions.collect() })
}
