//! What a Redis server keeps, and what each command does to it. No I/O, no clock: time is passed in.
//! Source: the commands' pages, redis.io/docs/latest/commands.

use std::collections::{BTreeMap, HashMap};

use super::resp::Reply;

/// Databases that `SELECT` chooses from.
pub const DATABASES: usize = 16;

/// Milliseconds of the server's clock.
pub type Ms = u64;

#[derive(Debug, Clone, PartialEq)]
enum Value {
    Text(Vec<u8>),
    Hash(BTreeMap<Vec<u8>, Vec<u8>>),
}

#[derive(Debug, Clone, PartialEq)]
struct Kept {
    value: Value,
    expires: Option<Ms>,
}

/// What a server keeps.
#[derive(Debug, Clone)]
pub struct Store {
    databases: Vec<HashMap<Vec<u8>, Kept>>,
    /// Grows with each change of a key: what `WATCH` looks at.
    versions: Vec<HashMap<Vec<u8>, u64>>,
    changes: u64,
}

impl Default for Store {
    fn default() -> Self {
        let databases = vec![HashMap::new(); DATABASES];
        Store { databases, versions: vec![HashMap::new(); DATABASES], changes: 0 }
    }
}

type Words = [Vec<u8>];

/// The errors that commands share.
fn wrong_type() -> Reply {
    Reply::Error("WRONGTYPE Operation against a key holding the wrong kind of value".into())
}

fn syntax() -> Reply {
    Reply::Error("ERR syntax error".into())
}

fn not_whole() -> Reply {
    Reply::Error("ERR value is not an integer or out of range".into())
}

fn whole(word: &[u8]) -> Result<i64, Reply> {
    std::str::from_utf8(word).ok().and_then(|w| w.parse().ok()).ok_or_else(not_whole)
}

fn decimal(word: &[u8]) -> Result<f64, Reply> {
    let number = std::str::from_utf8(word).ok().and_then(|w| w.parse::<f64>().ok());
    let number = number.filter(|n| !n.is_nan());
    number.ok_or_else(|| Reply::Error("ERR value is not a valid float".into()))
}

/// A number as `INCRBYFLOAT` says it: no exponent, no trailing zeros. A server adds in long doubles and so says
/// 0.3 for 0.1 and 0.2; here sums are rounded to 15 digits instead.
pub fn say(number: f64) -> String {
    let digits = if number == 0.0 { 0 } else { 14 - number.abs().log10().floor() as i32 };
    let text = format!("{number:.*}", digits.clamp(0, 17) as usize);
    let text = if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    if text == "-0" {
        "0".into()
    } else {
        text.into()
    }
}

impl Store {
    /// How many keys a database holds that have not expired.
    pub fn keys(&self, database: usize, now: Ms) -> usize {
        self.databases[database].values().filter(|k| k.expires.is_none_or(|at| at > now)).count()
    }

    /// The version of a key: another after each change, also by its expiry.
    pub fn version(&mut self, database: usize, key: &[u8], now: Ms) -> u64 {
        self.expire(database, key, now);
        self.versions[database].get(key).copied().unwrap_or(0)
    }

    /// Drops the keys that a lot falls on, as an eviction does.
    pub fn evict(&mut self, mut falls: impl FnMut() -> bool) {
        for database in 0..DATABASES {
            let mut keys: Vec<_> = self.databases[database].keys().cloned().collect();
            keys.sort();
            for key in keys {
                if falls() {
                    self.databases[database].remove(&key);
                    self.changed(database, &key);
                }
            }
        }
    }

    fn changed(&mut self, database: usize, key: &[u8]) {
        self.changes += 1;
        self.versions[database].insert(key.to_vec(), self.changes);
    }

    fn expire(&mut self, database: usize, key: &[u8], now: Ms) {
        let over = |k: &Kept| k.expires.is_some_and(|at| at <= now);
        if self.databases[database].get(key).is_some_and(over) {
            self.databases[database].remove(key);
            self.changed(database, key);
        }
    }

    fn get(&mut self, database: usize, key: &[u8], now: Ms) -> Option<&mut Kept> {
        self.expire(database, key, now);
        self.databases[database].get_mut(key)
    }

    fn text(&mut self, database: usize, key: &[u8], now: Ms) -> Result<Option<Vec<u8>>, Reply> {
        match self.get(database, key, now).map(|k| &k.value) {
            None => Ok(None),
            Some(Value::Text(text)) => Ok(Some(text.clone())),
            Some(Value::Hash(_)) => Err(wrong_type()),
        }
    }

    /// Puts a value in place of a key's, and keeps its expiry.
    fn put(&mut self, database: usize, key: &[u8], value: Value) {
        let kept = self.databases[database]
            .entry(key.to_vec())
            .or_insert(Kept { value: value.clone(), expires: None });
        kept.value = value;
        self.changed(database, key);
    }

    fn hash(&mut self, database: usize, key: &[u8], now: Ms) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, Reply> {
        match self.get(database, key, now).map(|k| &k.value) {
            None => Ok(BTreeMap::new()),
            Some(Value::Hash(hash)) => Ok(hash.clone()),
            Some(Value::Text(_)) => Err(wrong_type()),
        }
    }

    /// Carries out a command on keys, its name in upper case; none if it is not one of these.
    pub fn command(&mut self, database: usize, name: &str, words: &Words, now: Ms) -> Option<Reply> {
        let known = arity(name)?;
        let count = words.len() + 1;
        if (known >= 0 && count != known as usize) || (known < 0 && count < known.unsigned_abs() as usize) {
            let name = name.to_lowercase();
            return Some(Reply::Error(format!("ERR wrong number of arguments for '{name}' command")));
        }
        Some(self.run(database, name, words, now).unwrap_or_else(|error| error))
    }

    fn run(&mut self, db: usize, name: &str, words: &Words, now: Ms) -> Result<Reply, Reply> {
        let key: &[u8] = words.first().map_or(&[], |w| w);
        Ok(match name {
            "GET" => self.text(db, key, now)?.map_or(Reply::Null, Reply::Bulk),
            "SET" => return self.set(db, words, now),
            "DEL" | "UNLINK" => {
                let mut gone = 0;
                for key in words {
                    self.expire(db, key, now);
                    if self.databases[db].remove(key).is_some() {
                        self.changed(db, key);
                        gone += 1;
                    }
                }
                Reply::Number(gone)
            }
            "EXISTS" => Reply::Number(words.iter().filter(|k| self.get(db, k, now).is_some()).count() as i64),
            "INCR" => return self.add_whole(db, key, 1, now),
            "DECR" => return self.add_whole(db, key, -1, now),
            "INCRBY" => return self.add_whole(db, key, whole(&words[1])?, now),
            "DECRBY" => {
                return self.add_whole(db, key, whole(&words[1])?.checked_neg().ok_or_else(not_whole)?, now)
            }
            "INCRBYFLOAT" => {
                let old = self.text(db, key, now)?.map_or(Ok(0.0), |t| decimal(&t))?;
                let new = old + decimal(&words[1])?;
                if !new.is_finite() {
                    return Err(Reply::Error("ERR increment would produce NaN or Infinity".into()));
                }
                let text = say(new).into_bytes();
                self.put(db, key, Value::Text(text.clone()));
                Reply::Bulk(text)
            }
            "PEXPIRE" => return self.set_expiry(db, words, 1, now),
            "EXPIRE" => return self.set_expiry(db, words, 1_000, now),
            "PERSIST" => {
                let taken = self.get(db, key, now).is_some_and(|k| k.expires.take().is_some());
                if taken {
                    self.changed(db, key);
                }
                Reply::Number(i64::from(taken))
            }
            "PTTL" | "TTL" => {
                let unit = if name == "TTL" { 1_000 } else { 1 };
                Reply::Number(match self.get(db, key, now).map(|k| k.expires) {
                    None => -2,
                    Some(None) => -1,
                    Some(Some(at)) => ((at - now) as i64 + unit / 2) / unit,
                })
            }
            "HSET" => {
                if words.len().is_multiple_of(2) {
                    return Err(Reply::Error("ERR wrong number of arguments for 'hset' command".into()));
                }
                let mut hash = self.hash(db, key, now)?;
                let mut new = 0;
                for pair in words[1..].chunks(2) {
                    new += i64::from(hash.insert(pair[0].clone(), pair[1].clone()).is_none());
                }
                self.put(db, key, Value::Hash(hash));
                Reply::Number(new)
            }
            "HGET" => self.hash(db, key, now)?.get(&words[1]).cloned().map_or(Reply::Null, Reply::Bulk),
            "HLEN" => Reply::Number(self.hash(db, key, now)?.len() as i64),
            "HVALS" => Reply::Array(self.hash(db, key, now)?.into_values().map(Reply::Bulk).collect()),
            "HGETALL" => {
                let pairs = self.hash(db, key, now)?.into_iter();
                Reply::Map(pairs.map(|(f, v)| (Reply::Bulk(f), Reply::Bulk(v))).collect())
            }
            "HDEL" => {
                let mut hash = self.hash(db, key, now)?;
                let gone = words[1..].iter().filter(|f| hash.remove(*f).is_some()).count();
                if gone > 0 && hash.is_empty() {
                    // A hash with no fields is no key.
                    self.databases[db].remove(key);
                    self.changed(db, key);
                } else if gone > 0 {
                    self.put(db, key, Value::Hash(hash));
                }
                Reply::Number(gone as i64)
            }
            "HINCRBY" => {
                let mut hash = self.hash(db, key, now)?;
                let wrong = || Reply::Error("ERR hash value is not an integer".into());
                let old = hash.get(&words[1]).map_or(Ok(0), |v| whole(v).map_err(|_| wrong()))?;
                let new = old.checked_add(whole(&words[2])?).ok_or_else(overflow)?;
                hash.insert(words[1].clone(), new.to_string().into_bytes());
                self.put(db, key, Value::Hash(hash));
                Reply::Number(new)
            }
            "DBSIZE" => Reply::Number(self.keys(db, now) as i64),
            "RANDOMKEY" => {
                let live = |k: &Kept| k.expires.is_none_or(|at| at > now);
                let first = self.databases[db].iter().filter(|(_, k)| live(k)).map(|(key, _)| key).min();
                first.map_or(Reply::Null, |key| Reply::Bulk(key.clone()))
            }
            "FLUSHDB" | "FLUSHALL" => {
                let all = if name == "FLUSHDB" { db..db + 1 } else { 0..DATABASES };
                for database in all {
                    let keys: Vec<_> = self.databases[database].drain().map(|(key, _)| key).collect();
                    keys.iter().for_each(|key| self.changed(database, key));
                }
                Reply::Simple("OK")
            }
            _ => return Err(syntax()),
        })
    }

    fn add_whole(&mut self, db: usize, key: &[u8], amount: i64, now: Ms) -> Result<Reply, Reply> {
        let old = self.text(db, key, now)?.map_or(Ok(0), |t| whole(&t))?;
        let new = old.checked_add(amount).ok_or_else(overflow)?;
        self.put(db, key, Value::Text(new.to_string().into_bytes()));
        Ok(Reply::Number(new))
    }

    fn set(&mut self, db: usize, words: &Words, now: Ms) -> Result<Reply, Reply> {
        let (key, value) = (&words[0], &words[1]);
        let (mut only, mut expires, mut keep, mut get) = (None, None, false, false);
        let mut rest = words[2..].iter();
        while let Some(word) = rest.next() {
            match word.to_ascii_uppercase().as_slice() {
                b"NX" if only.is_none() => only = Some(false),
                b"XX" if only.is_none() => only = Some(true),
                b"GET" => get = true,
                b"KEEPTTL" if expires.is_none() => keep = true,
                unit @ (b"PX" | b"EX") if expires.is_none() && !keep => {
                    let span = whole(rest.next().ok_or_else(syntax)?)?;
                    let wrong = || Reply::Error("ERR invalid expire time in 'set' command".into());
                    let span = u64::try_from(span).ok().filter(|&s| s > 0).ok_or_else(wrong)?;
                    let span = if unit == b"EX" { span.checked_mul(1_000).ok_or_else(wrong)? } else { span };
                    expires = Some(now.checked_add(span).ok_or_else(wrong)?);
                }
                _ => return Err(syntax()),
            }
        }
        let old = if get { self.text(db, key, now)? } else { None };
        let there = self.get(db, key, now).is_some();
        let said = |reply| if get { old.clone().map_or(Reply::Null, Reply::Bulk) } else { reply };
        if only.is_some_and(|wanted| wanted != there) {
            return Ok(said(Reply::Null));
        }
        self.put(db, key, Value::Text(value.clone()));
        if let Some(kept) = self.databases[db].get_mut(key.as_slice()).filter(|_| !keep) {
            kept.expires = expires;
        }
        Ok(said(Reply::Simple("OK")))
    }

    fn set_expiry(&mut self, db: usize, words: &Words, unit: i64, now: Ms) -> Result<Reply, Reply> {
        let key = &words[0];
        let span = whole(&words[1])?.checked_mul(unit);
        let wrong = || Reply::Error("ERR invalid expire time in 'expire' command".into());
        let at = span.and_then(|s| (now as i64).checked_add(s)).ok_or_else(wrong)?;
        let mut flags = Vec::new();
        for word in &words[2..] {
            let flag = word.to_ascii_uppercase();
            if ![&b"NX"[..], b"XX", b"GT", b"LT"].contains(&flag.as_slice()) {
                let flag = String::from_utf8_lossy(word).into_owned();
                return Err(Reply::Error(format!("ERR Unsupported option {flag}")));
            }
            flags.push(flag);
        }
        let has = |flag: &[u8]| flags.iter().any(|f| f == flag);
        if has(b"NX") && flags.len() > 1 || has(b"GT") && has(b"LT") {
            let words = "ERR NX and XX, GT or LT options at the same time are not compatible";
            return Err(Reply::Error(words.into()));
        }
        let Some(kept) = self.get(db, key, now) else { return Ok(Reply::Number(0)) };
        // A key that does not expire counts as one that expires later than all others.
        let old = kept.expires.map_or(i64::MAX, |at| at as i64);
        let fits = (!has(b"NX") || kept.expires.is_none())
            && (!has(b"XX") || kept.expires.is_some())
            && (!has(b"GT") || at > old)
            && (!has(b"LT") || at < old);
        if !fits {
            return Ok(Reply::Number(0));
        }
        if at <= now as i64 {
            self.databases[db].remove(key.as_slice());
        } else {
            kept.expires = Some(at as u64);
        }
        self.changed(db, key);
        Ok(Reply::Number(1))
    }
}

fn overflow() -> Reply {
    Reply::Error("ERR increment or decrement would overflow".into())
}

/// How many words a command has, its name among them; below 0: that many at least.
fn arity(name: &str) -> Option<i32> {
    Some(match name {
        "GET" | "INCR" | "DECR" | "PTTL" | "TTL" | "PERSIST" | "HVALS" | "HGETALL" | "HLEN" => 2,
        "INCRBY" | "DECRBY" | "INCRBYFLOAT" | "HGET" => 3,
        "HINCRBY" => 4,
        "SET" | "PEXPIRE" | "EXPIRE" | "HDEL" => -3,
        "HSET" => -4,
        "DEL" | "UNLINK" | "EXISTS" => -2,
        "DBSIZE" | "RANDOMKEY" => 1,
        "FLUSHDB" | "FLUSHALL" => -1,
        _ => return None,
    })
}

/// Whether a command changes what is kept.
pub fn writes(name: &str) -> bool {
    arity(name).is_some()
        && !["GET", "PTTL", "TTL", "HVALS", "HGETALL", "HLEN", "HGET", "EXISTS", "DBSIZE"].contains(&name)
}
