//! Readiness and shutdown of the daemon.

use std::time::Duration;
use std::time::Instant;

use relay::server::Phase;
use stakker::CX;
use stakker::StopCause;

use super::Broker;
use super::Stage;
use crate::drain::Drain;
use crate::drain::Step;

/// Time between two ticks from which on the daemon counts as having been paused. The periodic work
/// is due every 50 ms.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Time after a pause in which a signal is handled that came during it.
const SIGNAL_DELAY: Duration = Duration::from_secs(1);

/// When the daemon last ran, and its latest pause.
#[derive(Clone, Copy, Debug)]
pub(super) struct Activity {
    ticked_at: Instant,
    /// Begin and end.
    pause: Option<(Instant, Instant)>,
}

impl Activity {
    /// Creates the record of a daemon that starts.
    pub(super) fn new(now: Instant) -> Activity {
        Activity { ticked_at: now, pause: None }
    }

    /// Records that the daemon runs.
    pub(super) fn tick(&mut self, now: Instant) {
        if now >= self.ticked_at + MIN_PAUSE {
            self.pause = Some((self.ticked_at, now));
        }
        self.ticked_at = now;
    }

    /// Returns the earliest time at which a signal that is handled now can have come.
    fn signalled_since(&self, now: Instant) -> Instant {
        match self.pause {
            Some((begin, end)) if now < end + SIGNAL_DELAY => begin,
            _ => self.ticked_at,
        }
    }
}

impl Broker {
    pub(super) fn is_ready(&self) -> bool {
        self.stage == Stage::Running && self.table.config.version > 0 && self.pool.store_version > 0
    }

    pub(super) fn stop(&mut self, now: Instant) {
        if self.stage != Stage::Running {
            return;
        }
        let since = self.activity.signalled_since(now);
        self.stage = Stage::Stopping(Drain::new(since));
        self.context.ready.send_replace(false);
        self.context.phase.send_replace(Phase::Closing);
        spdlog::info!("stopping", kv: {
            open = self.requests.len(),
            callers = self.context.exchanges.counts().to_string(),
            since_ms = now.saturating_duration_since(since).as_millis() as u64,
        });
        self.gossip(now);
    }

    pub(super) fn exit_if_drained(&mut self, cx: CX![], now: Instant) {
        let Stage::Stopping(drain) = &mut self.stage else { return };
        let callers = self.context.exchanges.counts();
        let open = self.requests.len().max(callers.in_progress());
        let phase = match drain.step(open, self.context.settings.bounds.grace, now) {
            Step::Continue(phase) => phase,
            Step::Exit(cause) => {
                spdlog::info!("stopped", kv: {
                    open = self.requests.len(),
                    callers = callers.to_string(),
                    cause = cause.name(),
                });
                return cx.shutdown(StopCause::Stopped);
            }
        };
        self.context.phase.send_if_modified(|it| std::mem::replace(it, phase) != phase);
        if drain.is_report_due(now) {
            spdlog::info!("waiting for callers", kv: {
                open = self.requests.len(),
                callers = callers.to_string(),
            });
        }
    }
}
