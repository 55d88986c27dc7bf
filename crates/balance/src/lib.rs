//! Load balancing: the endpoints of services, their load and health, a latency
//! model of an engine, and the choice of an endpoint for a request.
//!
//! Pure: no sockets and no clock.

pub mod choose;
pub mod endpoint;
pub mod health;
pub mod interruption;
pub mod load;
pub mod model;
pub mod pool;
pub mod removal;
pub mod settling;
pub mod spread;
pub mod suspects;
