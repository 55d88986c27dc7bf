//! Limits shared by all daemons: workspace quotas, retry budgets of services, request limits
//! of endpoints and room at brittle ones.
//!
//! Pure: independent of how counts travel between daemons.

pub mod endpoint;
pub mod fleet;
mod queue;
pub mod retry;
pub mod room;
pub mod scarcity;
pub mod workspace;
