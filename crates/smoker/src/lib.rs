//! A whole gateway in one process: the real state machines under simulated time, network, disks and faults.
//!
//! A beekeeper's smoker calms a hive so that one can look inside. A [`plan::Plan`] names a seed and a size;
//! [`world::play`] plays it, checks the invariants all the while, and tells the figures or what was broken, and when.

pub mod check;
pub mod contact;
pub mod defects;
pub mod disk;
pub mod faults;
pub mod figures;
pub mod links;
pub mod look;
pub mod net;
pub mod orders;
pub mod outside;
pub mod plan;
pub mod process;
pub mod recovery;
pub mod scenarios;
pub mod trouble;
pub mod world;
