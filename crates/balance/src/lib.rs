//! Which endpoint a request goes to: the endpoints of services, what is known
//! of their load and health, a model of an engine, and the choice.
//!
//! Pure; knows neither sockets nor the clock.

pub mod choose;
pub mod endpoint;
pub mod health;
pub mod load;
pub mod model;
pub mod pool;
pub mod suspects;
