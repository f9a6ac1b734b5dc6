//! The store of the shared quota counts: the platform's counter, or Redis.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use pinerelay_store_redis::store::RedisStore;

use crate::net::counts::counter::Counter;
use crate::net::counts::redis;
use crate::net::ports::QuotaStore;
use crate::operator::Operator;
use crate::strict::FileError;

/// The store of the shared quota counts.
#[derive(Clone)]
pub enum Store {
    /// The platform's counter.
    Counter(Rc<Counter>),
    /// Redis, as configured in the operator's file.
    Redis(Rc<RedisStore>),
}

impl Store {
    /// The store as the node's `QuotaStore`.
    pub fn port(&self) -> Rc<dyn QuotaStore> {
        match self {
            Store::Counter(counter) => counter.clone(),
            Store::Redis(store) => Rc::new(redis::RedisQuotaStore(store.clone())),
        }
    }

    /// Switches to the counter's new address. No effect on Redis, whose address is in the operator's file.
    pub fn move_counter(&self, to: Option<SocketAddr>) {
        if let Store::Counter(counter) = self {
            counter.move_to(to);
        }
    }

    /// Reads the operator's file again and switches to its Redis server. Fails if the file changes the kind of store.
    pub fn reload_operator_file(&self, file: &Path) -> Result<(), FileError> {
        match (self, &Operator::read(file)?.redis) {
            (Store::Redis(redis), Some(settings)) => {
                redis.move_to(redis::server(settings, file)?);
                Ok(())
            }
            (Store::Counter(_), None) => Ok(()),
            _ => {
                let why = "from the counter to Redis or back the node goes by a restart only".to_string();
                Err(FileError::Refused { path: file.to_path_buf(), key: "redis".into(), why })
            }
        }
    }
}
