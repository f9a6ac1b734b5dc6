//! How one process of a node follows another, and what each owes its clients: decisions alone, no I/O, no clock.
//!
//! [`process`] is the life of a process, [`connection`] that of one client's connection in it. [`claims`] shares one limit of
//! descriptors, [`places`] says who gets them within a process and what it gives back, [`held`] is the set of app servers that operators hold out. What a process tells the others is its
//! [`record`]; [`view`] makes one picture of all the records that were found, whatever state they are in, and [`peer`] is one
//! process's part in that.

pub mod claims;
pub mod connection;
pub mod held;
pub mod peer;
pub mod places;
pub mod process;
pub mod record;
pub mod view;
