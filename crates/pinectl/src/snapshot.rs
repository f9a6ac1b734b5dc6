//! Queries the metrics and state of the processes: the registries first, then the processes that they list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use pinerelay_config_state::ItemSet;
use pinerelay_peer_link::message::{Hello, ProcessList, Role};
use pinerelay_peer_link::process_address::ProcessAddress;
use pinerelay_peer_link::query::{query, ProcessReport, Query, QueryError};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::command::InternalEndpoints;

/// The node name that the client sends in its hello message.
const OBSERVER_NAME: &str = "pinectl";
/// A process that has not answered within this time counts as unreachable.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of processes that are queried.
const MAX_PROCESSES: usize = 2_000;
/// The maximum length of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 32 << 20;

/// Why there is no answer of a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The query has failed.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// A process of another role has answered.
    #[error("another process answered, with the role {0:?}")]
    OtherRole(Role),
}

/// The answer of a process, or why there is none.
pub type ProcessAnswer = Result<ProcessReport, ProcessError>;

/// The processes to query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The registries, including the servers that they know.
    Servers,
    /// The registries.
    Registries,
    /// All processes.
    All,
}

/// The answers of the queried processes.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The answer of each process.
    pub answers: BTreeMap<ProcessAddress, ProcessAnswer>,
    /// The node names of machines, as processes reported them.
    pub node_names: BTreeMap<Ipv4Addr, String>,
    /// Proxies that disappeared without a planned shutdown, by name.
    pub missing_proxies: BTreeSet<String>,
}

/// Queries the processes in `scope`, starting with the registries at `endpoints`.
pub async fn take_snapshot(endpoints: &InternalEndpoints, scope: Scope) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let seeds = endpoints.machines.iter().map(|ip| ProcessAddress::new(Role::Registry, *ip));
    let mut pending: BTreeSet<ProcessAddress> = seeds.collect();
    while !pending.is_empty() && snapshot.answers.len() < MAX_PROCESSES {
        let remaining = MAX_PROCESSES - snapshot.answers.len();
        let mut queries = JoinSet::new();
        for process in pending.into_iter().take(remaining) {
            queries.spawn(query_process(process, endpoints.first_port, scope));
        }
        while let Some(finished) = queries.join_next().await {
            if let Ok((process, answer)) = finished {
                snapshot.add(process, answer);
            }
        }
        pending = snapshot.unqueried(scope);
    }
    snapshot
}

async fn query_process(
    process: ProcessAddress,
    first_port: u16,
    scope: Scope,
) -> (ProcessAddress, ProcessAnswer) {
    let process_id = u64::from(std::process::id());
    let hello = Hello { node: OBSERVER_NAME.into(), ip: String::new(), role: Role::Observer, process_id };
    let with_servers = scope == Scope::Servers;
    let request = Query { role: process.role, with_servers, max_bytes: MAX_ANSWER_BYTES };
    let answer = query(process.socket_address(first_port), &hello, request);
    let answer = timeout(QUERY_TIMEOUT, answer).await.unwrap_or(Err(QueryError::TimedOut));
    let answer = answer.map_err(ProcessError::from).and_then(|report| check_role(process.role, report));
    (process, answer)
}

fn check_role(role: Role, report: ProcessReport) -> ProcessAnswer {
    if report.hello.role == role {
        Ok(report)
    } else {
        Err(ProcessError::OtherRole(report.hello.role))
    }
}

impl Snapshot {
    /// Adds the answer of one process.
    pub fn add(&mut self, process: ProcessAddress, answer: ProcessAnswer) {
        if let Ok(report) = &answer {
            self.node_names.insert(process.ip, report.hello.node.clone());
            if let Some(list) = &report.process_list {
                for hello in &list.linked {
                    if let Ok(ip) = hello.ip.parse() {
                        self.node_names.entry(ip).or_insert_with(|| hello.node.clone());
                    }
                }
                self.missing_proxies.extend(list.missing.iter().cloned());
            }
        }
        self.answers.insert(process, answer);
    }

    /// Returns the processes in `scope` that registries list and that were not queried yet.
    fn unqueried(&self, scope: Scope) -> BTreeSet<ProcessAddress> {
        let reports = self.reports(Role::Registry);
        let lists = reports.filter_map(|(_, report)| report.process_list.as_ref());
        let expected = lists.flat_map(ProcessList::expected_processes);
        let mut listed: BTreeSet<ProcessAddress> = expected.map(|process| process.address).collect();
        listed.retain(|process| match process.role {
            Role::Observer => false,
            Role::Registry => !self.answers.contains_key(process),
            Role::Proxy | Role::ConfigStore => scope == Scope::All && !self.answers.contains_key(process),
        });
        listed
    }

    /// Returns the reports of the processes with a role that have answered.
    pub fn reports(&self, role: Role) -> impl Iterator<Item = (Ipv4Addr, &ProcessReport)> {
        let answers = self.answers.iter().filter(move |(process, _)| process.role == role);
        answers.filter_map(|(process, answer)| Some((process.ip, answer.as_ref().ok()?)))
    }

    /// Merges the items that the registries have sent; the newest version of each item wins.
    pub fn items(&self) -> ItemSet {
        let mut items = ItemSet::default();
        for (_, report) in self.reports(Role::Registry) {
            items.merge_all(report.items.iter().cloned());
        }
        items
    }

    /// Returns the reasons why the registries' answers may be incomplete.
    pub fn gaps(&self) -> Vec<String> {
        let registries = self.answers.iter().filter(|(process, _)| process.role == Role::Registry);
        let mut gaps: Vec<String> = registries
            .flat_map(|(process, answer)| match answer {
                Err(error) => vec![format!("the registry at {} was not reached: {error}", process.ip)],
                Ok(report) => registry_gaps(process.ip, report),
            })
            .collect();
        if self.answers.len() >= MAX_PROCESSES {
            gaps.push(format!("the limit of {MAX_PROCESSES} queried processes is reached"));
        }
        gaps
    }
}

fn registry_gaps(ip: Ipv4Addr, report: &ProcessReport) -> Vec<String> {
    let conditions = [
        ("registry_majority", "does not reach a majority of the core"),
        ("registry_complete", "does not have the complete configuration"),
    ];
    conditions
        .into_iter()
        .filter(|(metric, _)| report.metric(metric) == Some(0.0))
        .map(|(_, reason)| format!("the registry at {ip} {reason}"))
        .collect()
}
