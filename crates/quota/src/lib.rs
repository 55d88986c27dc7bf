//! Limits shared by all daemons: workspace quotas and retry budgets of services.
//!
//! Pure: independent of how counts travel between daemons.

pub mod fleet;
pub mod retry;
pub mod workspace;
