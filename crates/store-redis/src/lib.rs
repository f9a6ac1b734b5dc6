//! Redis as shared store of the quota counts: what is written ([`ledger`]), where ([`server`]), and the calls
//! ([`store`]). See `docs/design/redis.md`.

pub mod ledger;
pub mod server;
pub mod store;
