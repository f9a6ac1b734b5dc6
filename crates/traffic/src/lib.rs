//! The data plane shared by the gateway's processes: client and upstream connections, bodies, resource
//! budgets, and the node that executes the decisions' actions.

pub mod body;
pub mod budget;
pub mod clock;
mod connection;
pub mod front;
pub mod http;
pub mod listen;
pub mod long;
pub mod node;
pub mod passage;
pub mod pool;
pub mod ports;
pub mod reuse;
pub mod room;
pub mod vigil;
pub mod wire;

use std::rc::Rc;

/// Process-wide resources shared by the client and the upstream side.
#[derive(Clone)]
pub struct Common {
    /// File descriptor budget.
    pub budget: Rc<budget::Budget>,
    /// Memory for body buffers.
    pub room: room::Room,
    /// Detects that the process was not scheduled for a while.
    pub vigil: Rc<vigil::Vigil>,
}
