//! One client's session: who it is, in which version of the protocol it speaks, its database and its transaction.
//! No I/O, no clock. Source: the commands' pages of `HELLO`, `AUTH`, `MULTI`, `WATCH` and `CLIENT`.

use super::resp::Reply;
use super::store::{writes, Ms, Store, DATABASES};

/// Who may do what.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct User {
    /// Its name; `default` is who a client is that has not said.
    pub name: String,
    /// Its password; none lets anyone in.
    pub password: Option<String>,
    /// It may read alone.
    pub reads_only: bool,
}

impl User {
    /// The user of a server that wants no password.
    pub fn open() -> User {
        User { name: "default".into(), password: None, reads_only: false }
    }
}

/// What a server says in place of carrying a command out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Over its memory: commands that write are refused.
    Oom,
    /// A replica: commands that write are refused.
    ReadOnly,
    /// Reading its data after a start.
    Loading,
    /// It can't save: commands that write are refused.
    Misconf,
    /// A script holds it up.
    Busy,
    /// A replica whose primary is away.
    MasterDown,
}

impl Refusal {
    /// What it says to a command that writes or not, if it refuses that.
    fn to(self, writes: bool) -> Option<&'static str> {
        match self {
            Refusal::Oom => writes.then_some("OOM command not allowed when used memory > 'maxmemory'."),
            Refusal::ReadOnly => writes.then_some("READONLY You can't write against a read only replica."),
            Refusal::Misconf => writes
                .then_some("MISCONF Errors writing to the disk: commands that may modify data are disabled."),
            Refusal::Loading => Some("LOADING Redis is loading the dataset in memory"),
            Refusal::Busy => Some("BUSY Redis is busy running a script. You can only call SCRIPT KILL."),
            Refusal::MasterDown => {
                Some("MASTERDOWN Link with MASTER is down and replica-serve-stale-data is set to 'no'.")
            }
        }
    }
}

/// What is the same for all sessions of a server.
#[derive(Debug, Clone)]
pub struct Terms<'a> {
    /// Its users.
    pub users: &'a [User],
    /// What it says in place of carrying commands out, while it does.
    pub refusal: Option<Refusal>,
    /// The server's clock.
    pub now: Ms,
}

/// A client's session.
#[derive(Debug)]
pub struct Session {
    number: u64,
    /// The version of the protocol that answers are written in.
    pub version: u8,
    user: Option<User>,
    name: Vec<u8>,
    database: usize,
    /// Commands of a transaction; with whether one of them was refused.
    queued: Option<(Vec<Vec<Vec<u8>>>, bool)>,
    watched: Vec<(usize, Vec<u8>, u64)>,
    /// The client has said `QUIT`.
    pub over: bool,
}

impl Session {
    /// A session by its number, of the default user if that needs no password.
    pub fn new(number: u64, users: &[User]) -> Session {
        let user = users.iter().find(|u| u.name == "default" && u.password.is_none()).cloned();
        let (name, queued, watched) = Default::default();
        Session { number, version: 2, user, name, database: 0, queued, watched, over: false }
    }

    /// Carries out a call.
    pub fn call(&mut self, store: &mut Store, words: &[Vec<u8>], terms: &Terms) -> Reply {
        let Some((first, rest)) = words.split_first() else {
            return Reply::Error("ERR unknown command ''".into());
        };
        let name = String::from_utf8_lossy(first).to_ascii_uppercase();
        match name.as_str() {
            "AUTH" => return self.auth(rest, terms),
            "HELLO" => return self.hello(rest, terms),
            "QUIT" => {
                self.over = true;
                return Reply::Simple("OK");
            }
            _ => {}
        }
        let Some(user) = &self.user else {
            return Reply::Error("NOAUTH Authentication required.".into());
        };
        if user.reads_only && writes(&name) {
            let (user, name) = (&user.name, name.to_lowercase());
            return self.fail(format!("NOPERM User {user} has no permissions to run the '{name}' command"));
        }
        if let Some(words) = terms.refusal.and_then(|r| r.to(writes(&name))).filter(|_| refusable(&name)) {
            return self.fail(words.into());
        }
        match name.as_str() {
            "MULTI" if self.queued.is_some() => Reply::Error("ERR MULTI calls can not be nested".into()),
            "MULTI" => {
                self.queued = Some((Vec::new(), false));
                Reply::Simple("OK")
            }
            "EXEC" => self.exec(store, terms),
            "DISCARD" => {
                self.watched.clear();
                match self.queued.take() {
                    Some(_) => Reply::Simple("OK"),
                    None => Reply::Error("ERR DISCARD without MULTI".into()),
                }
            }
            "WATCH" if self.queued.is_some() => Reply::Error("ERR WATCH inside MULTI is not allowed".into()),
            "WATCH" if rest.is_empty() => self.fail(too_few(&name)),
            "WATCH" => {
                for key in rest {
                    let version = store.version(self.database, key, terms.now);
                    self.watched.push((self.database, key.clone(), version));
                }
                Reply::Simple("OK")
            }
            "UNWATCH" => {
                self.watched.clear();
                Reply::Simple("OK")
            }
            _ if self.queued.is_some() => self.queue(words, &name, terms),
            _ => self.plain(store, &name, rest, terms.now),
        }
    }

    /// An error; a transaction under way is spoilt by it.
    fn fail(&mut self, words: String) -> Reply {
        if let Some((_, spoilt)) = &mut self.queued {
            *spoilt = true;
        }
        Reply::Error(words)
    }

    fn queue(&mut self, words: &[Vec<u8>], name: &str, terms: &Terms) -> Reply {
        // What can't be right is told at once, and calls the transaction off: tried on a store of its own.
        let mut trial = Session::new(0, &[User::open()]);
        let said = trial.plain(&mut Store::default(), name, &words[1..], terms.now);
        let unfit = |e: &String| e.starts_with("ERR unknown") || e.starts_with("ERR wrong number");
        if let Reply::Error(error) = said {
            if unfit(&error) {
                return self.fail(error);
            }
        }
        if let Some((queued, _)) = &mut self.queued {
            queued.push(words.to_vec());
        }
        Reply::Simple("QUEUED")
    }

    fn exec(&mut self, store: &mut Store, terms: &Terms) -> Reply {
        let watched = std::mem::take(&mut self.watched);
        let Some((queued, spoilt)) = self.queued.take() else {
            return Reply::Error("ERR EXEC without MULTI".into());
        };
        if spoilt {
            return Reply::Error("EXECABORT Transaction discarded because of previous errors.".into());
        }
        if watched.into_iter().any(|(db, key, version)| store.version(db, &key, terms.now) != version) {
            return Reply::NullArray;
        }
        let run = |words: Vec<Vec<u8>>| {
            let name = String::from_utf8_lossy(&words[0]).to_ascii_uppercase();
            self.plain(store, &name, &words[1..], terms.now)
        };
        Reply::Array(queued.into_iter().map(run).collect())
    }

    /// A command that stands for itself.
    fn plain(&mut self, store: &mut Store, name: &str, rest: &[Vec<u8>], now: Ms) -> Reply {
        if let Some(reply) = store.command(self.database, name, rest, now) {
            return reply;
        }
        let text = |n: usize| rest.get(n).map(|w| String::from_utf8_lossy(w).to_ascii_uppercase());
        match (name, rest.len()) {
            ("PING", 0) => Reply::Simple("PONG"),
            ("PING" | "ECHO", 1) => Reply::Bulk(rest[0].clone()),
            ("SELECT", 1) => {
                let number = std::str::from_utf8(&rest[0]).ok().and_then(|w| w.parse::<usize>().ok());
                match number {
                    Some(database) if database < DATABASES => {
                        self.database = database;
                        Reply::Simple("OK")
                    }
                    Some(_) => Reply::Error("ERR DB index is out of range".into()),
                    None => Reply::Error("ERR invalid DB index".into()),
                }
            }
            ("TIME", 0) => {
                let part = |n: u64| Reply::text(n.to_string());
                Reply::Array(vec![part(now / 1_000), part(now % 1_000 * 1_000)])
            }
            ("ROLE", 0) => {
                Reply::Array(vec![Reply::text("master"), Reply::Number(0), Reply::Array(Vec::new())])
            }
            ("INFO", _) => Reply::text(format!(
                "# Server\r\nredis_version:7.4.0\r\nredis_mode:standalone\r\n# Replication\r\nrole:master\r\n\
                 # Keyspace\r\ndb0:keys={}\r\n",
                store.keys(0, now),
            )),
            ("COMMAND", _) => Reply::Array(Vec::new()),
            ("CLIENT", 1..) => match (text(0).as_deref(), rest.len()) {
                (Some("ID"), 1) => Reply::Number(self.number as i64),
                (Some("GETNAME"), 1) if self.name.is_empty() => Reply::Null,
                (Some("GETNAME"), 1) => Reply::Bulk(self.name.clone()),
                (Some("SETNAME"), 2) => {
                    self.name = rest[1].clone();
                    Reply::Simple("OK")
                }
                (Some("SETINFO"), 3) | (Some("NO-EVICT" | "NO-TOUCH"), 2) => Reply::Simple("OK"),
                _ => Reply::Error("ERR unknown subcommand or wrong number of arguments for 'client'".into()),
            },
            ("PING" | "ECHO" | "SELECT" | "TIME" | "ROLE" | "CLIENT", _) => Reply::Error(too_few(name)),
            _ => Reply::Error(format!(
                "ERR unknown command '{}', with args beginning with: ",
                name.to_lowercase()
            )),
        }
    }

    fn auth(&mut self, rest: &[Vec<u8>], terms: &Terms) -> Reply {
        let (name, password) = match rest {
            [password] => ("default".into(), password),
            [name, password] => (String::from_utf8_lossy(name).into_owned(), password),
            _ => return Reply::Error(too_few("AUTH")),
        };
        match self.enter(&name, password, terms) {
            true => Reply::Simple("OK"),
            false => Reply::Error("WRONGPASS invalid username-password pair or user is disabled.".into()),
        }
    }

    fn enter(&mut self, name: &str, password: &[u8], terms: &Terms) -> bool {
        let fits = |u: &&User| u.name == name && u.password.as_ref().is_none_or(|p| p.as_bytes() == password);
        let user = terms.users.iter().find(fits).cloned();
        let known = user.is_some();
        self.user = user.or(self.user.take());
        known
    }

    fn hello(&mut self, rest: &[Vec<u8>], terms: &Terms) -> Reply {
        let mut version = self.version;
        let mut rest = rest.iter();
        if let Some(word) = rest.next() {
            version = match word.as_slice() {
                b"2" => 2,
                b"3" => 3,
                _ => return Reply::Error("NOPROTO unsupported protocol version".into()),
            };
        }
        while let Some(word) = rest.next() {
            match (word.to_ascii_uppercase().as_slice(), rest.next(), word) {
                (b"AUTH", Some(name), _) => {
                    let Some(password) = rest.next() else { return Reply::Error("ERR syntax error".into()) };
                    if !self.enter(&String::from_utf8_lossy(name), password, terms) {
                        let words = "WRONGPASS invalid username-password pair or user is disabled.";
                        return Reply::Error(words.into());
                    }
                }
                (b"SETNAME", Some(name), _) => self.name = name.clone(),
                _ => return Reply::Error("ERR syntax error in HELLO".into()),
            }
        }
        if self.user.is_none() {
            let words =
                "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO \
                         <proto> AUTH <user> <pass> option can be used";
            return Reply::Error(words.into());
        }
        self.version = version;
        let pair = |name: &str, value| (Reply::text(name), value);
        Reply::Map(vec![
            pair("server", Reply::text("redis")),
            pair("version", Reply::text("7.4.0")),
            pair("proto", Reply::Number(i64::from(version))),
            pair("id", Reply::Number(self.number as i64)),
            pair("mode", Reply::text("standalone")),
            pair("role", Reply::text("master")),
            pair("modules", Reply::Array(Vec::new())),
        ])
    }
}

/// Whether a server that refuses commands refuses this one: those of the session go on.
fn refusable(name: &str) -> bool {
    !["MULTI", "EXEC", "DISCARD", "UNWATCH", "CLIENT", "INFO", "ROLE", "SELECT", "COMMAND"].contains(&name)
}

fn too_few(name: &str) -> String {
    format!("ERR wrong number of arguments for '{}' command", name.to_lowercase())
}
