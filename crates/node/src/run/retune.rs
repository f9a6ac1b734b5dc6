//! Reload on SIGHUP: classes, the attempt limit, and the addresses of discovery and the quota store.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pinerelay_protocol::classes::ClassTable;
use pinerelay_protocol::request::Rules;
use pinerelay_protocol::settings::Env;
use tokio::signal::unix::Signal;

use super::store::Store;
use crate::config::{Checked, RunningConfig};
use crate::net::clients::Clients;
use crate::net::node::Node;
use crate::net::operators::figures::Metrics;
use crate::net::servers::discovery::Discovery;

/// The longest deadline of any class.
pub fn longest_deadline(env: &Env) -> Duration {
    Duration::from_micros(env.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
}

/// The state of a running node that a reload changes.
pub struct Reloadable {
    /// The configuration in use.
    pub running: RunningConfig,
    /// Assigns numbers to class names.
    pub classes: ClassTable,
    /// Class names by number, handed over to the next process.
    pub names: Rc<RefCell<Vec<String>>>,
    /// The longest deadline so far.
    pub max_deadline: Rc<Cell<Duration>>,
    /// The node.
    pub node: Rc<Node>,
    /// Serves the clients.
    pub clients: Rc<Clients>,
    /// Metrics of the node.
    pub metrics: Rc<Metrics>,
}

impl Reloadable {
    /// Applies the classes and the attempt limit; all other settings take effect at the next start.
    fn apply(&mut self, env: &Env) {
        let numbers = self.classes.assign_numbers(&env.classes);
        self.names.replace(self.classes.names());
        env.classes.iter().for_each(|class| self.metrics.register_class(&class.name));
        self.node.retune(self.classes.all(), env.bounds.try_limit);
        self.clients.retune(Rules::new(env, &numbers));
        self.max_deadline.set(self.max_deadline.get().max(longest_deadline(env)));
    }
}

/// On each SIGHUP reads the configuration and the operator's file again, applies classes and the attempt limit, and
/// switches discovery and the quota store to their new addresses, also during a stop. A file that can't be used is
/// logged, and what it configures stays unchanged.
pub async fn reload(
    mut hangup: Signal,
    path: PathBuf,
    file: Option<PathBuf>,
    discovery: Rc<Discovery>,
    store: Store,
    mut reloadable: Reloadable,
) {
    while hangup.recv().await.is_some() {
        let next = reloadable.running.next(&path);
        reloadable.metrics.reloaded(next.is_ok());
        match next {
            Ok((running, config, Checked { discovery: at, counter, .. })) => {
                reloadable.running = running;
                reloadable.apply(&config.settings);
                discovery.move_to(at);
                store.move_counter(counter);
            }
            Err(error) => eprintln!("pinerelay: the old configuration stays: {error}"),
        }
        if let Some(Err(error)) = file.as_ref().map(|file| store.reload_operator_file(file)) {
            eprintln!("pinerelay: the old store stays: {error}");
        }
    }
}
