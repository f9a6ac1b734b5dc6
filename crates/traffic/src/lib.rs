//! The data plane shared by the gateway's processes: client and upstream connections, bodies, resource
//! budgets, and the node that performs the load balancer's actions.

pub mod acceptor;
pub mod body;
pub mod body_memory;
pub mod budget;
pub mod clock;
mod connection;
pub mod http;
pub mod listen;
pub mod node;
// The servers and their idle connections.
pub mod pool;
pub mod ports;
pub mod raw_head;
pub mod request_timing;
pub mod reuse;
pub mod streamed_body;
pub mod watchdog;

use std::rc::Rc;

/// Process-wide resources shared by the client and the upstream side.
#[derive(Clone)]
pub struct Common {
    /// File descriptor budget.
    pub budget: Rc<budget::Budget>,
    /// Memory for body buffers.
    pub body_memory: body_memory::BodyMemoryPool,
    /// Detects that the process was not scheduled for a while.
    pub watchdog: Rc<watchdog::Watchdog>,
}
