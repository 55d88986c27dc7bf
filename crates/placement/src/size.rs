//! The number of VMs that a load requires.

use std::time::Duration;

/// Load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Sequences running or queued, over all VMs.
    pub in_system: f64,
    /// Arrival rate, in requests per second.
    pub arrivals_per_second: f64,
    /// Requests that an otherwise idle VM can begin per second.
    pub starts_per_second: f64,
}

/// A sizing rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// The sequences in the system plus a share of them (Little's law).
    Headroom {
        /// Share kept free, such as 0.3.
        share: f64,
    },
    /// The sequences in the system plus a multiple of their square root
    /// (square-root staffing).
    SquareRoot {
        /// Multiple of the square root.
        factor: f64,
    },
    /// The closed form of an M/G/k/PS queue for a mean response time, but at least
    /// the sequences in the system. Source: SLO-Power, equation 3.
    Queue {
        /// Target response time.
        target: Duration,
        /// Safety factor on the target, below 1.
        guard: f64,
    },
}

/// Returns the number of VMs that `demand` requires if each runs `slots`
/// concurrent sequences.
pub fn vms_needed(rule: Rule, demand: &Demand, slots: u32) -> u32 {
    let slots = f64::from(slots.max(1));
    let busy_vms = demand.in_system / slots;
    let needed = match rule {
        Rule::Headroom { share } => busy_vms * (1.0 + share),
        Rule::SquareRoot { factor } => {
            (demand.in_system + factor * demand.in_system.sqrt()) / slots
        }
        Rule::Queue { target, guard } => {
            let guarded_s = target.as_secs_f64() * guard;
            busy_vms.max(queue_vms(guarded_s, demand))
        }
    };
    needed.ceil().max(0.0) as u32
}

/// Computes T * lambda / (T * mu - 1) for the guarded target T, the arrival rate
/// lambda and the rate mu at which one VM starts requests.
fn queue_vms(guarded_s: f64, demand: &Demand) -> f64 {
    let surplus = guarded_s * demand.starts_per_second - 1.0;
    if surplus <= 0.0 {
        // Even an idle VM misses the target, so only the sequences in the system count.
        return 0.0;
    }
    guarded_s * demand.arrivals_per_second / surplus
}
