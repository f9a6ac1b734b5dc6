//! Polls all processes, and renders their metrics on a scrape.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::time::Duration;

use pinerelay_peer_link::message::{Hello, Role};
use pinerelay_peer_link::process_address::ProcessAddress;
use pinerelay_peer_link::query::{query, ProcessReport, Query, QueryError};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};

use crate::alerts::{AlertChange, Alerts};
use crate::exposition::{self, ExporterMetrics};
use crate::process_table::{ProcessTable, POLL_INTERVAL};
use crate::rules::{Rule, Severity};
use crate::Micros;

/// The node name that the exporter sends in its hello message.
const OBSERVER_NAME: &str = "exporter";
/// A process that has not answered within this time counts as down.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum length of an answer, in bytes. A registry sends more than was requested, but no process sends this much.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// The time between two polls.
const POLL_EVERY: Duration = Duration::from_micros(POLL_INTERVAL);

/// Polls processes and evaluates the alert rules.
pub struct Exporter {
    hello: Hello,
    /// The first internal port, which is the same on all machines.
    first_port: u16,
    started: Instant,
    processes: RefCell<ProcessTable>,
    alerts: RefCell<Alerts>,
    metrics: Cell<ExporterMetrics>,
    /// When the last poll began. Locked during a poll.
    last_poll: Mutex<Option<Instant>>,
}

impl Exporter {
    /// Creates an exporter that queries the registries at `seeds` first.
    pub fn new(seeds: Vec<Ipv4Addr>, first_port: u16, rules: Vec<Rule>) -> Exporter {
        let hello = Hello {
            node: OBSERVER_NAME.into(),
            ip: String::new(),
            role: Role::Observer,
            process_id: u64::from(std::process::id()),
        };
        Exporter {
            hello,
            first_port,
            started: Instant::now(),
            processes: RefCell::new(ProcessTable::new(seeds)),
            alerts: RefCell::new(Alerts::new(rules)),
            metrics: Cell::default(),
            last_poll: Mutex::new(None),
        }
    }

    /// Returns the metrics as text. Polls first unless the last poll began less than [`POLL_INTERVAL`] ago.
    ///
    /// # Errors
    /// If the Prometheus library fails to encode the text.
    pub async fn scrape(&self) -> Result<String, std::fmt::Error> {
        self.poll().await;
        let poll_age = self.last_poll.lock().await.map_or(0.0, |began| began.elapsed().as_secs_f64());
        let metrics = ExporterMetrics { poll_age, ..self.metrics.get() };
        exposition::write(&self.processes.borrow(), &self.alerts.borrow(), metrics)
    }

    /// Polls periodically. Never returns; the future can be dropped, which stops it between two answers.
    pub async fn poll_forever(&self) {
        loop {
            self.poll().await;
            // A scrape may have polled in the meantime.
            let began = self.last_poll.lock().await.unwrap_or_else(Instant::now);
            sleep_until(began + POLL_EVERY).await;
        }
    }

    /// Queries all processes that are due, concurrently, and applies the rules to the answers. Does nothing if the last poll began
    /// less than [`POLL_INTERVAL`] ago.
    async fn poll(&self) {
        let mut last_poll = self.last_poll.lock().await;
        if last_poll.is_some_and(|began| began.elapsed() < POLL_EVERY) {
            return;
        }
        let began = Instant::now();
        *last_poll = Some(began);
        // The whole poll uses a single time, so that all of its processes are due again at the next poll.
        let now = began.duration_since(self.started).as_micros() as Micros;
        loop {
            // Processes that registries list in this poll are queried in the same poll.
            let due = self.processes.borrow_mut().take_due(now);
            if due.is_empty() {
                break;
            }
            self.query_all(now, due).await;
        }
        self.processes.borrow_mut().forget_ended(now);
        let changes = self.alerts.borrow_mut().observe(now, &self.processes.borrow().observations());
        changes.iter().for_each(log_change);
        self.update_metrics(|metrics| {
            metrics.polls += 1;
            metrics.poll_duration = began.elapsed().as_secs_f64();
        });
    }

    async fn query_all(&self, now: Micros, due: Vec<ProcessAddress>) {
        let mut queries = JoinSet::new();
        for process in due {
            let (address, hello) = (process.socket_address(self.first_port), self.hello.clone());
            let request = Query { role: process.role, with_servers: false, max_bytes: MAX_ANSWER_BYTES };
            queries.spawn_local(async move {
                let answer = timeout(QUERY_TIMEOUT, query(address, &hello, request)).await;
                (process, answer.unwrap_or(Err(QueryError::Unanswered)))
            });
        }
        while let Some(finished) = queries.join_next().await {
            if let Ok((process, answer)) = finished {
                self.on_answer(now, process, answer);
            }
        }
    }

    fn on_answer(&self, now: Micros, process: ProcessAddress, answer: Result<ProcessReport, QueryError>) {
        match answer {
            Ok(report) => {
                let bytes = report.bytes;
                self.processes.borrow_mut().answered(now, process, report);
                self.update_metrics(|metrics| metrics.bytes += bytes);
            }
            Err(error) => {
                log::debug!("the {} at {} has not answered: {error}", process.role.name(), process.ip);
                self.processes.borrow_mut().unanswered(process);
                self.update_metrics(|metrics| metrics.unanswered += 1);
            }
        }
        self.update_metrics(|metrics| metrics.queries += 1);
    }

    fn update_metrics(&self, update: impl FnOnce(&mut ExporterMetrics)) {
        let mut metrics = self.metrics.get();
        update(&mut metrics);
        self.metrics.set(metrics);
    }
}

fn log_change(change: &AlertChange) {
    let AlertChange { rule, group, page, processes, .. } = change;
    let severity = match change.severity {
        Severity::Page => "page",
        Severity::Ticket => "ticket",
    };
    if change.is_raised {
        let processes = processes.join(", ");
        log::warn!("alert {rule} of {group} is raised ({severity}): {processes}; see alerts.md#{page}");
    } else {
        log::info!("alert {rule} of {group} is cleared");
    }
}
