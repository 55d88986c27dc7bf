//! How many VMs a load needs.

use std::time::Duration;

/// Load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Sequences running and waiting, over all VMs.
    pub in_system: f64,
    /// Requests that arrive a second.
    pub arrivals_per_second: f64,
    /// Requests that one VM begins a second when it does nothing else.
    pub begun_per_second: f64,
}

/// A rule by which the number is worked out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// The sequences in the system and a share more (Little's law).
    Headroom {
        /// Share kept free, such as 0.3.
        share: f64,
    },
    /// The sequences in the system and a multiple of their square root more
    /// (square-root staffing).
    SquareRoot {
        /// Multiple of the square root.
        factor: f64,
    },
    /// The closed form of an M/G/k/PS queue for a mean response time, and the
    /// sequences in the system at least. Source: SLO-Power, equation 3.
    Queue {
        /// Response time to keep.
        target: Duration,
        /// Guard on the target, below 1.
        guard: f64,
    },
}

/// VMs that `demand` needs when each runs `slots` sequences at once.
pub fn vms_needed(rule: Rule, demand: &Demand, slots: u32) -> u32 {
    let slots = f64::from(slots.max(1));
    let running = demand.in_system / slots;
    let needed = match rule {
        Rule::Headroom { share } => running * (1.0 + share),
        Rule::SquareRoot { factor } => {
            (demand.in_system + factor * demand.in_system.sqrt()) / slots
        }
        Rule::Queue { target, guard } => {
            let guarded = target.as_secs_f64() * guard;
            running.max(queue_vms(guarded, demand))
        }
    };
    needed.ceil().max(0.0) as u32
}

/// c = T * lambda / (T * mu - 1).
fn queue_vms(guarded_s: f64, demand: &Demand) -> f64 {
    let surplus = guarded_s * demand.begun_per_second - 1.0;
    if surplus <= 0.0 {
        // A VM alone can't keep the time: only the sequences in the system count.
        return 0.0;
    }
    guarded_s * demand.arrivals_per_second / surplus
}
