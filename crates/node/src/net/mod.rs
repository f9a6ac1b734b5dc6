//! The sockets round the decisions: a folder for each side, and the node that joins them.

pub mod clients;
pub mod counts;
pub mod operators;
pub mod ports;
pub mod servers;
pub mod succession;

pub use pinerelay_traffic::{body, body_memory, budget, clock, streamed_body, watchdog, Common};

/// The node, for this kind of traffic.
pub mod node {
    use super::ports::Boxes;
    pub use pinerelay_traffic::node::{FAIL_BEFORE, STOP_BEFORE};

    /// One edge node.
    pub type Node = pinerelay_traffic::node::Node<Boxes>;
    /// What it is joined to.
    pub type Peers = pinerelay_traffic::node::Peers<Boxes>;
}
