//! How one process of a node follows another, and what each owes its clients: decisions alone, no I/O, no clock.

pub mod connection;
