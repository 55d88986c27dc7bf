//! Readiness and shutdown of the daemon.

use std::time::Instant;

use relay::server::Phase;
use stakker::CX;
use stakker::StopCause;

use super::Broker;
use super::Stage;
use crate::drain::Drain;
use crate::drain::Step;

impl Broker {
    pub(super) fn is_ready(&self) -> bool {
        self.stage == Stage::Running && self.table.config.version > 0 && self.pool.store_version > 0
    }

    pub(super) fn stop(&mut self, now: Instant) {
        if self.stage != Stage::Running {
            return;
        }
        self.stage = Stage::Stopping(Drain::new(now));
        self.context.ready.send_replace(false);
        self.context.phase.send_replace(Phase::Closing);
        spdlog::info!("stopping", kv: {
            open = self.requests.len(),
            callers = self.context.exchanges.counts().to_string(),
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
