//! The store of configuration as a program: the state machine of [`pinerelay_dance`] on real links and a real disk.

pub mod desk;
pub mod disk;
pub mod run;
