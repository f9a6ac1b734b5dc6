//! State that the processes of one node share by files in a common folder.

pub mod learned;
pub mod records;
pub mod shared;
