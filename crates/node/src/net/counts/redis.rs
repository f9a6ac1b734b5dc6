//! Redis as the node's quota store.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::path::Path;
use std::rc::{Rc, Weak};

use mountbend::interface::{CountName, Event, Micros};
use pinerelay_store_redis::server::{Server, Settings};
use pinerelay_store_redis::store::RedisStore;

use crate::net::ports::{Core, QuotaStore};
use crate::strict::FileError;

/// The Redis server that the operator's file configures.
pub fn server(settings: &Settings, file: &Path) -> Result<Server, FileError> {
    settings.server().map_err(|invalid| FileError::Refused {
        path: file.to_path_buf(),
        key: format!("redis.{}", invalid.key),
        why: invalid.why,
    })
}

/// Creates the quota store on this server; call outcomes are reported to `core`.
pub fn store(server: Server, wait: Micros, core: Weak<dyn Core>) -> Rc<RedisStore> {
    // Danger: fields written by an earlier incarnation of this node must not be taken for this one's. `RandomState`
    // has random keys in each process, so the hash serves as a random incarnation number.
    let incarnation = RandomState::new().hash_one(std::process::id());
    let report = move |name, outcome, total| {
        if let Some(core) = core.upgrade() {
            core.event(Event::CounterReply { name, outcome, total });
        }
    };
    RedisStore::new(server, wait, incarnation, Rc::new(report))
}

/// The Redis store as the node's `QuotaStore`.
pub struct RedisQuotaStore(pub Rc<RedisStore>);

impl QuotaStore for RedisQuotaStore {
    fn add(&self, name: CountName, amount: f64, keep_for: Micros) {
        self.0.add(name, amount, keep_for);
    }

    fn settled(&self) -> bool {
        self.0.settled()
    }
}
