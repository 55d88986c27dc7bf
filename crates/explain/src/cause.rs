//! Derives the cause of a request's outcome from the log line of its last decision.

use crate::record::Record;

/// Whether a line records a decision on a request, rather than what became known later.
pub fn is_decision(record: &Record) -> bool {
    matches!(
        record.event.as_str(),
        "refused"
            | "over"
            | "placed"
            | "placed again"
            | "began"
            | "forwarded"
            | "forwarding failed"
            | "no daemon to forward to"
            | "request incomplete"
            | "response cut"
    )
}

/// Describes the cause of a request's outcome, with hints on what to check next.
pub fn describe(last: &Record) -> String {
    match last.event.as_str() {
        "refused" => rejection(last.text("cause").unwrap_or_default()).to_owned(),
        "over" => outcome(last),
        "response cut" => cut(last).to_owned(),
        "request incomplete" => incomplete(last).to_owned(),
        "forwarded" => forwarded(last),
        "forwarding failed" => {
            "the daemon to which the request was forwarded broke off before it responded; the \
             request may have been executed"
                .to_owned()
        }
        "no daemon to forward to" => {
            "links to the endpoints were cut, and no other daemon accepted a connection; the \
             request was not executed"
                .to_owned()
        }
        "placed" | "placed again" | "began" => {
            "these logs do not contain the end of the request: the daemon terminated, log lines \
             were dropped, or the request is still open"
                .to_owned()
        }
        _ => "these logs contain no decision about the request".to_owned(),
    }
}

fn rejection(cause: &str) -> &'static str {
    match cause {
        "quota" => {
            "the workspace was over its quota; check the `over quota` lines for the remaining \
             quota, and whether a configuration change lowered the limit"
        }
        "no_endpoint" => {
            "no endpoint of the service was usable; check which endpoints left before, and \
             whether the `ordered` lines of the lease holder show replacements"
        }
        "endpoint_limit" => {
            "the usable endpoints had named request limits, and this daemon could not send to any \
             of them then; check the `endpoint limit` lines for rates and senders"
        }
        "no_room" => {
            "the service's endpoints fall over if they reject many requests, and none that this \
             daemon may send to had room; check the lines `endpoints survive few rejections` and \
             `brittle endpoint rejected a request`"
        }
        "endpoints_decline" => {
            "all usable endpoints had said that they want nothing from this daemon for a time; \
             check the lines `endpoint wants nothing for a time`"
        }
        "no_software" => {
            "no usable endpoint had the software version that began the stream; the `requires` \
             of the lines before names it, and the `endpoint` lines show which versions served"
        }
        "unknown_origin" => {
            "the caller took up a stream whose software version neither this daemon nor those \
             that it asked knew, while several versions had served; see the line before"
        }
        "no_configuration" => "the daemon had no active configuration yet",
        "no_route" => "no route matched the host and path in the active configuration",
        "unknown_key" => "no workspace has the caller's key in the active configuration",
        "attempts" => "all attempts allowed by the route were used up",
        "retry_budget" => "the retry budget of the service was exhausted",
        "stopping" => "the daemon was stopping and could not have completed the request in time",
        "crashes_endpoints" => "the same request had crashed endpoints before",
        "part_crashes_endpoints" => {
            "requests with one part of the prompt had crashed endpoints before; the `subject` of \
             the line before names the part"
        }
        _ => "the daemon rejected the request for a cause unknown to this version",
    }
}

fn cut(last: &Record) -> &'static str {
    match last.text("by").unwrap_or_default() {
        "caller" => "the caller closed the connection before it had taken the whole response",
        "aborted" => "the daemon broke the response off, since the endpoint did not complete it",
        "stopped" => {
            "the daemon exited before the caller had taken the whole response; check the cause \
             in its `stopped` line"
        }
        _ => "the response was cut for a cause unknown to this version",
    }
}

fn forwarded(last: &Record) -> String {
    let daemon = last.text("daemon").unwrap_or("another daemon");
    format!(
        "links to the endpoints were cut, so the request was forwarded to {daemon}; its log has \
         the same id"
    )
}

fn incomplete(last: &Record) -> &'static str {
    match last.text("by").unwrap_or_default() {
        "stopped" => "the daemon exited while it was receiving the request",
        "caller" => "the caller closed the connection before it had sent the whole request",
        _ => "the request was not received completely within the limits; see its status",
    }
}

fn outcome(last: &Record) -> String {
    let endpoint = last.text("endpoint").filter(|it| !it.is_empty()).unwrap_or("no endpoint");
    match last.text("ended").unwrap_or_default() {
        "served" | "served_to_close" => format!("served by {endpoint}"),
        "failed" => format!("{endpoint} processed the request and returned an error"),
        "broken" => format!(
            "the connection to {endpoint} broke after the request was sent; the request may have \
             been executed and is retried only if that is safe"
        ),
        "timed_out" => format!(
            "the timeout of the route or the caller expired while {endpoint} was processing the \
             request"
        ),
        "abandoned" => "the caller closed the connection".to_owned(),
        "unreachable" => format!("could not connect to {endpoint}"),
        "turned_away" => {
            format!("{endpoint} was at capacity and rejected the request without executing it")
        }
        "misdirected" => format!("another endpoint was using the address of {endpoint}"),
        other => format!("ended as {other:?}, which is unknown to this version"),
    }
}
