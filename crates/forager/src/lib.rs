//! The proxy: takes clients' requests, lets them in by their tenants' quotas, and sends them to servers.
//!
//! [`hearing`] is what it hears from the registries, [`request`] what it makes of a request's head, [`forwarded`]
//! the boundary that builds and checks what goes on to a server, [`flow`] what may come back, [`hosts`] where servers are, [`outlet`] attempts at them,
//! [`settlement`] what follows from an answer, [`inlet`] the clients' side, [`run`] all of it
//! joined.

pub mod flow;
pub mod forwarded;
pub mod hearing;
pub mod hosts;
pub mod inlet;
pub mod outlet;
pub mod request;
pub mod run;
pub mod services;
pub mod settlement;
