//! The daemon that forwards callers' requests on the users' platform: the
//! broker actor, the tasks that own sockets, and their wiring.

pub mod asking;
pub mod book;
pub mod broker;
pub mod drain;
pub mod durations;
pub mod era;
pub mod event;
pub mod metrics;
pub mod origin_rows;
pub mod peers;
pub mod probe;
pub mod rejected;
pub mod run;
pub mod secret;
pub mod versions;

mod clock;
mod cloud;
mod doors;
mod feeds;
mod lease;
mod origin_calls;
mod reach_probe;
