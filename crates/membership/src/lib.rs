//! Membership of daemons and endpoints, merged from the VM list, reclaim notices
//! and gossip with peers. The crate uses neither sockets nor clocks.

pub mod candidate;
pub mod digest;
pub mod freshness;
pub mod lifecycle;
pub mod liveness;
pub mod pace;
pub mod poll;
pub mod protocol;
pub mod reads;
pub mod update;
pub mod view;
