//! The network sides of the node, a module each: clients, app servers, quota stores, operators, other processes.

pub mod clients;
pub mod counts;
pub mod operators;
pub mod ports;
pub mod servers;
pub mod succession;

pub use pinerelay_traffic::{body, body_memory, budget, clock, streamed_body, watchdog, Common};

/// The node, for this kind of traffic.
pub mod node {
    use super::ports::EdgeTraffic;
    pub use pinerelay_traffic::node::{FAIL_BEFORE, STOP_BEFORE};

    /// One edge node.
    pub type Node = pinerelay_traffic::node::Node<EdgeTraffic>;
    /// The components that the node calls.
    pub type Peers = pinerelay_traffic::node::Peers<EdgeTraffic>;
}
