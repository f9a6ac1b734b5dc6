//! What any program needs that traffic goes through: clients' and servers' connections, bodies, and the node that
//! carries out what the decisions say.

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

/// What both sides of a process share.
#[derive(Clone)]
pub struct Common {
    /// Its descriptors.
    pub budget: Rc<budget::Budget>,
    /// Its memory for bodies.
    pub room: room::Room,
    /// Who notices that it has stood still.
    pub vigil: Rc<vigil::Vigil>,
}
