//! The reverse proxy: accepts client requests, admits them against tenant quotas, and forwards them to upstream servers.
//!
//! A request passes these modules in order:
//!
//! - [`request_handler`]: matches the route and tenant, reads the body, applies admission control, and responds;
//! - [`request_head`]: parses and validates the head, and removes hop-by-hop headers;
//! - [`forwarded_request`]: builds the upstream request, and checks it against the received one;
//! - [`proxied_request`]: the request as the load balancer sees it, and its execution state;
//! - [`services`]: the servers of each service, and one load-balancing node per service version;
//! - [`upstream`]: attempts to send the request to a server, over the connections of [`server_pool`];
//! - [`response_class`], [`attempt_outcome`]: classify a server's response, and decide how it is handled.
//!
//! [`subscriber`] replicates the configuration and the server list from the registries, and leases quota units from them;
//! [`run`] wires the modules together, and [`metrics`] exports their counters.

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
