//! Stores of the shared quota counts: the platform's counter, or Redis.

pub mod counter;
pub mod redis;
