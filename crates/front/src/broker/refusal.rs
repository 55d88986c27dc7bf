//! Refusals of requests, and their causes.

use std::time::Duration;

use relay::admission::Refusal;

use crate::metrics;

/// Cause of a refusal, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cause {
    NoConfiguration,
    NoRoute,
    UnknownKey,
    Suspect,
    SuspectPart,
    Quota,
    NoEndpoint,
    EndpointLimit,
    EndpointsDecline,
    NoRoom,
    NoSoftware,
    UnknownOrigin,
    Attempts,
    RetryBudget,
    Stopping,
    TimeLimit,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::NoConfiguration => "no_configuration",
            Cause::NoRoute => "no_route",
            Cause::UnknownKey => "unknown_key",
            Cause::Suspect => "crashes_endpoints",
            Cause::SuspectPart => "part_crashes_endpoints",
            Cause::Quota => "quota",
            Cause::NoEndpoint => "no_endpoint",
            Cause::EndpointLimit => "endpoint_limit",
            Cause::EndpointsDecline => "endpoints_decline",
            Cause::NoRoom => "no_room",
            Cause::NoSoftware => "no_software",
            Cause::UnknownOrigin => "unknown_origin",
            Cause::Attempts => "attempts",
            Cause::RetryBudget => "retry_budget",
            Cause::Stopping => "stopping",
            Cause::TimeLimit => "time_limit",
        }
    }
}

/// Logs and counts a refusal.
pub(super) fn refuse(
    id: &str,
    cause: Cause,
    status: u16,
    retry_after: Option<Duration>,
) -> Refusal {
    metrics::count("refused", cause.name());
    spdlog::info!("refused", kv: {
        request = id,
        cause = cause.name(),
        status = status,
        retry_after_ms = retry_after.map_or(0, |it| it.as_millis() as u64),
    });
    Refusal { status, retry_after }
}
