//! What the processes of one node tell each other, by files in a folder that all of them have.

pub mod learned;
pub mod records;
pub mod shared;
