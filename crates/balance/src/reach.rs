//! Whether this daemon reaches the endpoints of a service, from how its attempts end.
//!
//! A daemon whose links are cut while others are served forwards requests to these. Without
//! failures of its own it does nothing: an idle or calm daemon costs no probe.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Number of endpoints that fail without a response of any other before links count as cut.
const CUT_FAILURES: usize = 3;
/// Maximum time by which a response to another daemon is taken for later than it was.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(700);
/// How long a failure counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(4);
/// Interval between probes while links are cut, at first and at most.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Successful probes after which one request is sent to an endpoint again.
const RETURN_PROBES: u32 = 2;
/// Further successful probes, once it was responded to, until all requests are.
const RETURN_STEPS: u32 = 4;
/// Time after which another request is tried if nothing is known of the first one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the links to the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing is known against them.
    Sound,
    /// They are cut, as far as known.
    Cut,
    /// Probes succeed again, and one request is to show that endpoints respond.
    Trial,
    /// Endpoints respond again; this many percent of the requests are sent to them.
    Returning { percent: u32 },
}

impl State {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            State::Sound => "sound",
            State::Cut => "cut",
            State::Trial => "trial",
            State::Returning { .. } => "returning",
        }
    }
}

#[derive(Clone, Debug)]
struct Cut {
    /// Successful probes in a row.
    probes: u32,
    interval: Duration,
    probe_at: Instant,
    /// When a request was last sent to see whether endpoints respond.
    tried_at: Option<Instant>,
    /// Whether they did.
    has_passed: bool,
}

#[derive(Clone, Debug, Default)]
struct Service {
    /// Endpoints that have failed since the last response, with the time of the last failure.
    failed: BTreeMap<String, Instant>,
    /// When the first of them failed.
    failing_since: Option<Instant>,
    responded_at: Option<Instant>,
    cut: Option<Cut>,
}

impl Service {
    fn forget_failures(&mut self) {
        self.failed.clear();
        self.failing_since = None;
    }
}

/// The links to the endpoints of all services.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: BTreeMap<String, Service>,
}

impl Reach {
    /// Records that a connection to an endpoint broke or could not be opened.
    pub fn record_failure(&mut self, service: &str, endpoint: &str, now: Instant) {
        let service = self.service(service);
        service.failed.insert(endpoint.to_owned(), now);
        service.failing_since.get_or_insert(now);
        if let Some(cut) = &mut service.cut
            && cut.probes > 0
        {
            (cut.probes, cut.tried_at, cut.has_passed) = (0, None, false);
            cut.interval = (cut.interval * 2).min(MAX_PROBE_INTERVAL);
            cut.probe_at = now + cut.interval;
        }
    }

    /// Records a response. `is_fresh` says whether it came on a connection that was opened
    /// for it, since connections may outlive the way to open new ones.
    pub fn record_response(&mut self, service: &str, is_fresh: bool, now: Instant) {
        let service = self.service(service);
        service.responded_at = Some(now);
        if is_fresh {
            service.forget_failures();
            if let Some(cut) = &mut service.cut {
                cut.has_passed |= cut.tried_at.is_some();
            }
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, service: &str, is_success: bool, now: Instant) {
        let service = self.service(service);
        let Some(cut) = &mut service.cut else { return };
        cut.probe_at = now + cut.interval;
        if !is_success {
            (cut.probes, cut.tried_at, cut.has_passed) = (0, None, false);
            return;
        }
        if cut.probes < RETURN_PROBES || cut.has_passed {
            cut.probes += 1;
        }
        let is_sound = cut.probes >= RETURN_PROBES + RETURN_STEPS;
        if is_sound {
            service.cut = None;
        }
        service.forget_failures();
    }

    /// Judges the links again. `served_elsewhere` says when services last responded to other
    /// daemons. Returns the services whose links turned out to be cut.
    pub fn update(
        &mut self,
        served_elsewhere: &BTreeMap<&str, Instant>,
        now: Instant,
    ) -> Vec<String> {
        let mut is_any_cut = self.is_cut();
        let mut found = Vec::new();
        // The second round takes in services that failed less often than the first found.
        for _ in 0..2 {
            for (name, service) in &mut self.services {
                service.failed.retain(|_, at| now < *at + FAILURE_LIFETIME);
                if service.failed.is_empty() {
                    service.failing_since = None;
                }
                let needed = if is_any_cut { 1 } else { CUT_FAILURES };
                // Endpoints that have ended respond to nobody since.
                let served_at = served_elsewhere.get(name.as_str());
                let serves_others = served_at
                    .zip(service.failing_since)
                    .is_some_and(|(served_at, since)| *served_at > since + MAX_NOTICE_DELAY);
                if service.failed.len() >= needed && service.cut.is_none() && serves_others {
                    let interval = PROBE_INTERVAL;
                    service.cut = Some(Cut {
                        probes: 0,
                        interval,
                        probe_at: now + interval,
                        tried_at: None,
                        has_passed: false,
                    });
                    is_any_cut = true;
                    found.push(name.clone());
                }
            }
        }
        found
    }

    /// Returns the services whose links are to be probed now.
    pub fn due_probes(&mut self, now: Instant) -> Vec<String> {
        let mut due = Vec::new();
        for (name, service) in &mut self.services {
            if let Some(cut) = &mut service.cut
                && now >= cut.probe_at
            {
                // Until the result is known.
                cut.probe_at = now + MAX_PROBE_INTERVAL;
                due.push(name.clone());
            }
        }
        due
    }

    /// Returns the state of the links to a service.
    pub fn state(&self, service: &str) -> State {
        let Some(service) = self.services.get(service) else { return State::Sound };
        match &service.cut {
            Some(cut) if cut.probes < RETURN_PROBES => State::Cut,
            Some(cut) if !cut.has_passed => State::Trial,
            Some(cut) => {
                let steps = cut.probes - RETURN_PROBES + 1;
                State::Returning { percent: 100 * steps / (RETURN_STEPS + 1) }
            }
            None => State::Sound,
        }
    }

    /// Whether a request goes to an endpoint. `draw` is a random number from 0 to 99.
    pub fn goes_directly(
        &mut self,
        service: &str,
        is_idempotent: bool,
        draw: u32,
        now: Instant,
    ) -> bool {
        match self.state(service) {
            State::Sound => true,
            State::Cut => false,
            State::Trial => {
                let Some(cut) = self.service(service).cut.as_mut() else { return true };
                let is_due = cut.tried_at.is_none_or(|it| now >= it + TRIAL_TIMEOUT);
                if is_due && is_idempotent {
                    cut.tried_at = Some(now);
                }
                is_due && is_idempotent
            }
            State::Returning { percent } => is_idempotent && draw < percent,
        }
    }

    /// Returns when each service last responded to this daemon.
    pub fn responses(&self) -> impl Iterator<Item = (&str, Instant)> {
        self.services.iter().filter_map(|(name, it)| Some((name.as_str(), it.responded_at?)))
    }

    /// Returns the services whose links are cut.
    pub fn cut(&self) -> impl Iterator<Item = &str> {
        self.services.iter().filter(|(_, it)| it.cut.is_some()).map(|(name, _)| name.as_str())
    }

    /// Whether there are failures to be judged.
    pub fn has_failures(&self) -> bool {
        self.services.values().any(|it| !it.failed.is_empty())
    }

    /// Whether some links are cut.
    pub fn is_cut(&self) -> bool {
        self.cut().next().is_some()
    }

    fn service(&mut self, name: &str) -> &mut Service {
        self.services.entry(name.to_owned()).or_default()
    }
}
