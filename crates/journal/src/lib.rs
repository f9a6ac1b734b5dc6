//! An append-only journal that survives crashes, for whatever later parts have to keep: numbered records in segments,
//! with checksums, group commit and recovery.
//!
//! What a [`Journal`] has [committed](Journal::commit) is there after any crash, or its loss is reported; what it has not
//! may be there or not, but never out of order and never in part. Files are only ever appended to and removed: recovery
//! changes nothing, and each opening writes to a segment of its own.
#![forbid(unsafe_code)]

pub mod disk;
pub mod faulty;
pub mod frame;
pub mod journal;
pub mod policy;
pub mod recovery;

pub use disk::{Disk, Folder};
pub use journal::{Error, Journal, Limits, State};
pub use recovery::{Damage, Found};
