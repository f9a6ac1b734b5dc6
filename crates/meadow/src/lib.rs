//! A small gateway on loopback: three cores, three proxies, stand-in servers and clients, troubles, and a judge.

pub mod cli;
pub mod client;
pub mod early;
pub mod field;
pub mod http;
pub mod judge;
pub mod operator;
pub mod play;
pub mod record;
pub mod registration;
pub mod report;
pub mod server;
pub mod site;
pub mod soak;
pub mod uploader;
pub mod wire;
