//! Which daemons and endpoints are live or leaving, merged from the VM list,
//! notices and the word of peers. Pure: knows neither sockets nor the clock.

pub mod digest;
pub mod lifecycle;
pub mod liveness;
pub mod poll;
pub mod update;
pub mod view;
