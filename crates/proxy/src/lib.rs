//! The proxy: takes clients' requests, admits them by their tenants' quotas, and forwards them to servers.
//!
//! A request passes, in this order:
//!
//! - [`request_handler`]: finds its route and tenant, reads its body, has it admitted, and answers it;
//! - [`request_head`]: what its head must hold, and which headers go on;
//! - [`forwarded_request`]: builds what goes to a server, and checks it against what was received;
//! - [`proxied_request`]: what the decisions know of it, and what is known of its execution;
//! - [`services`]: the service's servers, and the decisions about them;
//! - [`upstream`]: attempts at servers, over the connections of [`server_pool`];
//! - [`response_class`], [`attempt_outcome`]: what a response means, and what follows from it.
//!
//! [`subscriber`] receives the configuration and the servers from the registries, and leases quota units there; [`run`] joins
//! all of it, and [`metrics`] tells how it goes.

pub mod attempt_outcome;
pub mod forwarded_request;
pub mod metrics;
pub mod proxied_request;
pub mod request_handler;
pub mod request_head;
pub mod response_class;
pub mod run;
pub mod server_pool;
pub mod services;
pub mod subscriber;
pub mod upstream;
pub mod versions;
