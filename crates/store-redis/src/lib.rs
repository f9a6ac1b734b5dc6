//! Redis as the shared store of the quota counters: the values to write ([`ledger`]), the server's settings
//! ([`server`]), and the connections and calls ([`store`]). See `docs/design/redis.md`.

pub mod ledger;
pub mod server;
pub mod store;
