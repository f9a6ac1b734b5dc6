//! What SIGHUP changes in a running node: classes, attempts, and where its peers are.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pinerelay_protocol::classes::ClassTable;
use pinerelay_protocol::request::Rules;
use pinerelay_protocol::settings::Env;
use tokio::signal::unix::Signal;

use super::store::Store;
use crate::config::{Checked, Running};
use crate::net::clients::Clients;
use crate::net::node::Node;
use crate::net::operators::figures::Figures;
use crate::net::servers::discovery::Discovery;

/// The longest deadline of any class.
pub fn longest(env: &Env) -> Duration {
    Duration::from_micros(env.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
}

/// What new settings change in a running node.
pub struct Retuned {
    /// What the process runs on.
    pub running: Running,
    /// The classes' numbers.
    pub classes: ClassTable,
    /// Their names, for the next process.
    pub names: Rc<RefCell<Vec<String>>>,
    /// The longest deadline so far.
    pub patience: Rc<Cell<Duration>>,
    /// The node.
    pub node: Rc<Node>,
    /// Its clients' side.
    pub clients: Rc<Clients>,
    /// Its figures.
    pub figures: Rc<Figures>,
}

impl Retuned {
    /// Takes classes and attempts; all else in the settings waits for the next start.
    fn take(&mut self, env: &Env) {
        let numbers = self.classes.assign_numbers(&env.classes);
        self.names.replace(self.classes.names());
        env.classes.iter().for_each(|class| self.figures.name(&class.name));
        self.node.retune(self.classes.all(), env.bounds.try_limit);
        self.clients.retune(Rules::new(env, &numbers));
        self.patience.set(self.patience.get().max(longest(env)));
    }
}

/// On each SIGHUP reads the configuration again, takes the classes and attempts of its settings, and moves discovery and
/// the counter, or Redis, to where it and the operator's file say, also during a stop. Of a file that can't be used the
/// log says so, and all stays as it was.
pub async fn reload(
    mut hangup: Signal,
    path: PathBuf,
    file: Option<PathBuf>,
    discovery: Rc<Discovery>,
    store: Store,
    mut retuned: Retuned,
) {
    while hangup.recv().await.is_some() {
        let next = retuned.running.next(&path);
        retuned.figures.reloaded(next.is_ok());
        match next {
            Ok((running, config, Checked { discovery: at, counter, .. })) => {
                retuned.running = running;
                retuned.take(&config.settings);
                discovery.move_to(at);
                store.counter_moves(counter);
            }
            Err(error) => eprintln!("pinerelay: the old configuration stays: {error}"),
        }
        if let Some(Err(error)) = file.as_ref().map(|file| store.follow(file)) {
            eprintln!("pinerelay: the old store stays: {error}");
        }
    }
}
