//! Queries all processes, and tells what they reported.

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

/// The exporter's name in its greeting to processes.
const OBSERVER_NAME: &str = "exporter";
/// A process that has not answered within this time counts as down.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The most bytes of an answer. A registry sends more than it was asked for, but no process so much.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// The time between two polls.
const POLL_EVERY: Duration = Duration::from_micros(POLL_INTERVAL);

/// The exporter.
pub struct Exporter {
    hello: Hello,
    /// The first of the internal ports.
    first_port: u16,
    started: Instant,
    processes: RefCell<ProcessTable>,
    alerts: RefCell<Alerts>,
    metrics: Cell<ExporterMetrics>,
    /// When the last poll began. Locked while one is under way.
    last_poll: Mutex<Option<Instant>>,
}

impl Exporter {
    /// An exporter that queries these registries first.
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

    /// The metrics as text, polled anew if the last poll is old enough.
    ///
    /// # Errors
    /// If the library that writes the text fails.
    pub async fn scrape(&self) -> Result<String, std::fmt::Error> {
        self.poll().await;
        let poll_age = self.last_poll.lock().await.map_or(0.0, |began| began.elapsed().as_secs_f64());
        let metrics = ExporterMetrics { poll_age, ..self.metrics.get() };
        exposition::write(&self.processes.borrow(), &self.alerts.borrow(), metrics)
    }

    /// Polls again and again. Never returns; dropped, it stops between two answers.
    pub async fn poll_forever(&self) {
        loop {
            self.poll().await;
            // A scrape may have polled since.
            let began = self.last_poll.lock().await.unwrap_or_else(Instant::now);
            sleep_until(began + POLL_EVERY).await;
        }
    }

    /// Queries all processes that may be queried, all at once, and applies the rules to what they answered.
    async fn poll(&self) {
        let mut last_poll = self.last_poll.lock().await;
        if last_poll.is_some_and(|began| began.elapsed() < POLL_EVERY) {
            return;
        }
        let began = Instant::now();
        *last_poll = Some(began);
        // One time for all of the poll, so that the next comes no sooner than it may.
        let now = began.duration_since(self.started).as_micros() as Micros;
        loop {
            // What registries tell of now is queried in the same poll.
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
            let question = Query { role: process.role, with_servers: false, max_bytes: MAX_ANSWER_BYTES };
            queries.spawn_local(async move {
                let answer = timeout(QUERY_TIMEOUT, query(address, &hello, question)).await;
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
