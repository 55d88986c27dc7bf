//! Limits that all daemons share: tokens of workspaces and retries of
//! services. Pure; how counts travel between daemons is not known here.

pub mod retry;
pub mod workspace;
