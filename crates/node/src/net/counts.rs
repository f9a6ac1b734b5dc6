//! Where the shared counts live: the platform's counter, or Redis.

pub mod counter;
pub mod redis;
