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

/// The server that an operator's file names.
pub fn server(settings: &Settings, file: &Path) -> Result<Server, FileError> {
    settings.server().map_err(|unfit| FileError::Refused {
        path: file.to_path_buf(),
        key: format!("redis.{}", unfit.key),
        why: unfit.why,
    })
}

/// The store on it, which tells the node how calls ended.
pub fn store(server: Server, wait: Micros, core: Weak<dyn Core>) -> Rc<RedisStore> {
    // Danger: fields that an earlier life of this node wrote are not this one's. The standard library draws the
    // keys of its hashes at random in each process.
    let incarnation = RandomState::new().hash_one(std::process::id());
    let tell = move |name, outcome, total| {
        if let Some(core) = core.upgrade() {
            core.event(Event::CounterReply { name, outcome, total });
        }
    };
    RedisStore::new(server, wait, incarnation, Rc::new(tell))
}

/// It, as the node sees it.
pub struct OnRedis(pub Rc<RedisStore>);

impl QuotaStore for OnRedis {
    fn add(&self, name: CountName, amount: f64, keep_for: Micros) {
        self.0.add(name, amount, keep_for);
    }

    fn settled(&self) -> bool {
        self.0.settled()
    }
}
