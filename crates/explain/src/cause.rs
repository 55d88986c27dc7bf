//! What the last line of a request says about its cause.

use crate::record::Record;

/// The cause in words, with what to look at next.
pub fn of(last: &Record) -> String {
    match last.event.as_str() {
        "refused" => refusal(last.text("cause").unwrap_or_default()).to_owned(),
        "over" => ending(last),
        "placed" | "placed again" | "began" => {
            "no end in these logs: the daemon ended meanwhile, lines were dropped, \
             or the request is still open"
                .to_owned()
        }
        _ => "no decision about it in these logs".to_owned(),
    }
}

fn refusal(cause: &str) -> &'static str {
    match cause {
        "quota" => {
            "the workspace was over its quota; see `over quota` for what was left, and whether a \
             configuration lowered the limit"
        }
        "no_endpoint" => {
            "no endpoint of the service was usable; see which left before, and whether `ordered` \
             lines of the lease holder got replacements"
        }
        "no_configuration" => "the daemon had no configuration yet",
        "no_route" => "no route matched host and path in the configuration in force",
        "unknown_key" => "no workspace held the caller's key in the configuration in force",
        "attempts" => "all attempts that the route allows were used up",
        "retry_budget" => "the service's budget of retries was used up",
        "crashes_endpoints" => "endpoints had crashed under the same request before",
        _ => "the daemon refused it for a cause that this version does not know",
    }
}

fn ending(last: &Record) -> String {
    let endpoint = last.text("endpoint").filter(|it| !it.is_empty()).unwrap_or("no endpoint");
    match last.text("ended").unwrap_or_default() {
        "served" => format!("served by {endpoint}"),
        "failed" => format!("{endpoint} ran it and answered with an error of its own"),
        "broken" => format!(
            "{endpoint} broke off after the request was sent; it may have run, and is sent again \
             only where that is safe"
        ),
        "timed_out" => format!("the route's or the caller's time passed while {endpoint} had it"),
        "abandoned" => "the caller closed its connection".to_owned(),
        "unreachable" => format!("{endpoint} took no connection"),
        "turned_away" => format!("{endpoint} was full and did not run it"),
        "misdirected" => format!("another endpoint had the address of {endpoint}"),
        other => format!("ended as {other:?}, which this version does not know"),
    }
}
