//! The sockets round the decisions: a folder for each side, and the node that joins them.

pub mod body;
pub mod budget;
pub mod clients;
pub mod clock;
pub mod counts;
pub mod long;
pub mod node;
pub mod operators;
pub mod ports;
pub mod room;
pub mod servers;
pub mod succession;
pub mod vigil;

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
