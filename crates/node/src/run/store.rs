//! Where the shared counts live: the counter, or Redis.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use pinerelay_store_redis::store::RedisStore;

use crate::net::counts::counter::Counter;
use crate::net::counts::redis;
use crate::net::ports::QuotaStore;
use crate::operator::Operator;
use crate::strict::FileError;

/// Where the shared counts live.
#[derive(Clone)]
pub enum Store {
    /// The platform's counter.
    Counter(Rc<Counter>),
    /// Redis, by the operator's file.
    Redis(Rc<RedisStore>),
}

impl Store {
    /// As the node sees it.
    pub fn port(&self) -> Rc<dyn QuotaStore> {
        match self {
            Store::Counter(counter) => counter.clone(),
            Store::Redis(store) => Rc::new(redis::OnRedis(store.clone())),
        }
    }

    /// Goes on at the counter's new address; Redis has its own in the operator's file.
    pub fn counter_moves(&self, to: Option<SocketAddr>) {
        if let Store::Counter(counter) = self {
            counter.move_to(to);
        }
    }

    /// Goes on where the operator's file says.
    pub fn follow(&self, file: &Path) -> Result<(), FileError> {
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
