//! Load balancing: the endpoints of services, their load and health, a latency
//! model of an engine, the choice of an endpoint for a request, and the requests and
//! prompt parts that crash endpoints.
//!
//! Pure: no sockets and no clock.

pub mod account;
pub mod choose;
pub mod endpoint;
pub mod health;
pub mod interruption;
pub mod load;
pub mod member;
pub mod model;
pub mod origin;
pub mod origin_log;
pub mod pool;
pub mod reach;
pub mod removal;
pub mod runs;
pub mod services;
pub mod settling;
pub mod software;
pub mod spread;
pub mod subject;
pub mod suspect;
pub mod suspects;
