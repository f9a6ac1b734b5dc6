//! Values shared between states, and memoized results.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::{Arc, Mutex};

/// A reference-counted value with its precomputed hash. Successor states share the values that a step leaves unchanged.
pub struct Shared<T>(pub u64, pub Arc<T>);

impl<T: Hash> From<T> for Shared<T> {
    fn from(value: T) -> Shared<T> {
        Shared(hash_of(&value), Arc::new(value))
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Shared<T> {
        Shared(self.0, Arc::clone(&self.1))
    }
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Shared<T>) -> bool {
        self.0 == other.0 && (Arc::ptr_eq(&self.1, &other.1) || self.1 == other.1)
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.1
    }
}

impl<T: Hash + Clone> Shared<T> {
    /// Replaces the value by a modified copy, so that other states keep theirs.
    pub fn modify<R>(&mut self, modify: impl FnOnce(&mut T) -> R) -> R {
        let mut value = T::clone(self);
        let result = modify(&mut value);
        *self = value.into();
        result
    }
}

impl<T: fmt::Debug> fmt::Debug for Shared<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.1.fmt(f)
    }
}

pub fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A sharded cache of results, by the hash of their inputs. Inputs with equal hashes count as equal, as states do.
#[derive(Debug)]
pub struct Memo<T>(Vec<Mutex<HashMap<u64, T>>>);

impl<T> Default for Memo<T> {
    fn default() -> Memo<T> {
        Memo((0..32).map(|_| Mutex::default()).collect())
    }
}

/// A clone starts empty: it belongs to another scope.
impl<T> Clone for Memo<T> {
    fn clone(&self) -> Memo<T> {
        Memo::default()
    }
}

impl<T: Clone> Memo<T> {
    pub fn get_or_insert_with(&self, key: u64, make: impl FnOnce() -> T) -> T {
        let shard = &self.0[key as usize % self.0.len()];
        if let Some(cached) = shard.lock().expect("the lock is not poisoned").get(&key) {
            return cached.clone();
        }
        let value = make();
        shard.lock().expect("the lock is not poisoned").insert(key, value.clone());
        value
    }
}
