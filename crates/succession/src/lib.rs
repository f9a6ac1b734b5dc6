//! The handover from one process of a node to its successor without failing client requests. Pure state machines: no I/O and no
//! clock.
//!
//! [`process`] is the lifecycle of a process, and [`connection`] that of a client connection. [`claims`] divides one limit of file
//! descriptors among the processes of a node; [`places`] divides a process's share between clients and app servers. [`held`] is the
//! set of app servers that operators have excluded. Each process writes its state to a [`record`]; [`view`] combines all records
//! that are found, damaged ones included, and [`peer`] is the state that one process contributes.

pub mod claims;
pub mod connection;
pub mod held;
pub mod peer;
pub mod places;
pub mod process;
pub mod record;
pub mod view;
