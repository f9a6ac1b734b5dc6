//! The known processes, when each may be queried, and its last answer: a state machine without clock or sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use pinerelay_peer_link::message::{Metric, ProcessList, Role};
use pinerelay_peer_link::process_address::{ExpectedProcess, ProcessAddress};
use pinerelay_peer_link::query::ProcessReport;

use crate::metric_names::{parse_name, MetricName};
use crate::observation::Observation;
use crate::Micros;

/// The minimum time between two queries of a process, in microseconds.
pub const POLL_INTERVAL: Micros = 2_000_000;
/// The time in microseconds without an answer after which a core process is removed if no registry lists it.
const FORGET_AFTER: Micros = 60_000_000;
/// The maximum number of processes in the table.
const MAX_PROCESSES: usize = 2_000;
/// The maximum number of metrics that are read from an answer; further ones are ignored.
const MAX_METRICS: usize = 256;

/// A metric as a process reported it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedMetric {
    /// The name with its label.
    pub name: MetricName,
    /// The value, which is finite.
    pub value: f64,
}

/// The state of one process.
#[derive(Debug, Default)]
pub struct Process {
    /// The node name of the machine; `None` until it is known.
    pub node: Option<String>,
    /// The zone of the machine; empty until it is known.
    pub zone: String,
    /// Whether it answered the last query.
    pub is_up: bool,
    /// The number of restarts that were observed.
    pub starts: u64,
    /// The last reported metrics; empty if the last query was not answered.
    pub metrics: Vec<ReportedMetric>,
    process_id: Option<u64>,
    last_query: Option<Micros>,
    last_answer: Micros,
    /// The process list of a registry.
    process_list: Option<ProcessList>,
}

/// All known processes.
#[derive(Default)]
pub struct ProcessTable {
    seeds: BTreeSet<Ipv4Addr>,
    processes: BTreeMap<ProcessAddress, Process>,
    unknown_metrics: u64,
}

impl ProcessTable {
    /// Creates a table of the registries at `seeds`.
    pub fn new(seeds: impl IntoIterator<Item = Ipv4Addr>) -> ProcessTable {
        let seeds: BTreeSet<Ipv4Addr> = seeds.into_iter().collect();
        let registries = seeds.iter().map(|ip| ProcessAddress::new(Role::Registry, *ip));
        let processes = registries.map(|address| (address, Process::default())).collect();
        ProcessTable { seeds, processes, unknown_metrics: 0 }
    }

    /// Returns the processes that may be queried now, and marks them as queried.
    pub fn take_due(&mut self, now: Micros) -> Vec<ProcessAddress> {
        let is_due = |process: &Process| process.last_query.is_none_or(|last| now >= last + POLL_INTERVAL);
        let due = self.processes.iter_mut().filter(|(_, process)| is_due(process));
        due.map(|(address, process)| {
            process.last_query = Some(now);
            *address
        })
        .collect()
    }

    /// Records the answer of a process.
    pub fn answered(&mut self, now: Micros, address: ProcessAddress, report: ProcessReport) {
        let Some(process) = self.processes.get_mut(&address) else { return };
        if report.hello.role != address.role {
            process.is_up = false;
            return;
        }
        if process.node.as_ref().is_some_and(|node| *node != report.hello.node) {
            // The address now belongs to another machine.
            *process = Process { last_query: process.last_query, ..Process::default() };
        }
        let process_id = report.hello.process_id;
        if process.process_id.replace(process_id).is_some_and(|before| before != process_id) {
            process.starts += 1;
        }
        process.node = Some(report.hello.node);
        process.is_up = true;
        process.last_answer = now;
        self.unknown_metrics += process.take_metrics(report.metrics);
        process.process_list = report.process_list;
        if let Some(list) = process.process_list.clone() {
            self.learn_processes(now, &list);
            self.share_node_names();
        }
    }

    /// Adds the processes that the list of a registry names.
    fn learn_processes(&mut self, now: Micros, list: &ProcessList) {
        for ExpectedProcess { address, node } in list.expected_processes() {
            if self.processes.len() >= MAX_PROCESSES && !self.processes.contains_key(&address) {
                continue;
            }
            let new = || Process { last_answer: now, ..Process::default() };
            let process = self.processes.entry(address).or_insert_with(new);
            if process.node.is_none() {
                process.node = node.cloned();
            }
        }
    }

    /// Copies node names between the processes of a machine, which share one.
    fn share_node_names(&mut self) {
        let names: BTreeMap<Ipv4Addr, String> = self
            .processes
            .iter()
            .filter_map(|(address, process)| Some((address.ip, process.node.clone()?)))
            .collect();
        for (address, process) in self.processes.iter_mut().filter(|(_, process)| process.node.is_none()) {
            process.node = names.get(&address.ip).cloned();
        }
    }

    /// Records that a process has not answered in time.
    pub fn unanswered(&mut self, address: ProcessAddress) {
        if let Some(process) = self.processes.get_mut(&address) {
            process.is_up = false;
            process.process_list = None;
            process.metrics.clear();
        }
    }

    /// Ends a poll, once each query was answered or has failed. Removes processes that are down and no longer expected to run.
    pub fn forget_ended(&mut self, now: Micros) {
        let expected = ExpectedProcesses::of(&self.processes);
        let ended = self.processes.iter().filter(|(address, process)| {
            !process.is_up
                && match address.role {
                    Role::Proxy => !expected.has_proxy(process),
                    _ => {
                        let is_seed = address.role == Role::Registry && self.seeds.contains(&address.ip);
                        let is_old = now >= process.last_answer + FORGET_AFTER;
                        is_old && !is_seed && !expected.core.contains(&address.ip)
                    }
                }
        });
        let ended: Vec<ProcessAddress> = ended.map(|(address, _)| *address).collect();
        for address in ended {
            self.processes.remove(&address);
        }
    }

    /// Returns the processes whose node name is known.
    pub fn named(&self) -> impl Iterator<Item = (Role, &str, &Process)> {
        self.processes
            .iter()
            .filter_map(|(address, process)| Some((address.role, process.node.as_deref()?, process)))
    }

    /// The number of processes whose node name is not known.
    pub fn unnamed(&self) -> usize {
        self.processes.len() - self.named().count()
    }

    /// The number of reported metrics that were unknown or not finite.
    pub fn unknown_metrics(&self) -> u64 {
        self.unknown_metrics
    }

    /// Returns the input of the alert rules.
    pub fn observations(&self) -> Vec<Observation> {
        let has_zone = |process: &Process| !process.zone.is_empty();
        let zones: BTreeMap<&str, &str> = self
            .named()
            .filter(|(_, _, process)| has_zone(process))
            .map(|(_, node, process)| (node, process.zone.as_str()))
            .collect();
        let observations = self.named().map(|(role, node, process)| {
            let zone = zones.get(node).copied().unwrap_or_default().to_string();
            let process_id = process.process_id.unwrap_or(0);
            Observation { role, node: node.into(), zone, process_id, metrics: process.metric_sums() }
        });
        observations.collect()
    }
}

impl Process {
    /// Stores the reported metrics that are known and finite; returns the number of the others.
    fn take_metrics(&mut self, metrics: Vec<Metric>) -> u64 {
        self.metrics.clear();
        let mut unknown = 0;
        for Metric { name, value } in metrics.into_iter().take(MAX_METRICS) {
            let Some(name) = parse_name(&name).filter(|_| value.is_finite()) else {
                unknown += 1;
                continue;
            };
            match name.label {
                Some(label) if label.name == "zone" && name.name.ends_with("_info") => {
                    self.zone = label.value;
                }
                _ => self.metrics.push(ReportedMetric { name, value }),
            }
        }
        unknown
    }

    /// Returns the metrics by name, summed over their labels, and those that the exporter keeps itself.
    fn metric_sums(&self) -> BTreeMap<&'static str, f64> {
        let mut sums = BTreeMap::new();
        for metric in &self.metrics {
            *sums.entry(metric.name.name).or_insert(0.0) += metric.value;
        }
        sums.insert("up", f64::from(u8::from(self.is_up)));
        sums.insert("starts_total", self.starts as f64);
        sums
    }
}

/// The processes that registries expect to run.
struct ExpectedProcesses {
    /// Proxies that are linked to a registry or reported as missing; `None` while no registry answers.
    proxies: Option<BTreeSet<String>>,
    core: BTreeSet<Ipv4Addr>,
}

impl ExpectedProcesses {
    fn of(processes: &BTreeMap<ProcessAddress, Process>) -> ExpectedProcesses {
        let lists: Vec<&ProcessList> =
            processes.values().filter_map(|process| process.process_list.as_ref()).collect();
        let linked = lists.iter().flat_map(|list| &list.linked);
        let linked = linked.filter(|hello| hello.role == Role::Proxy).map(|hello| &hello.node);
        let missing = lists.iter().flat_map(|list| &list.missing);
        let proxies = (!lists.is_empty()).then(|| linked.chain(missing).cloned().collect());
        let core = lists.iter().flat_map(|list| &list.voters).filter_map(|ip| ip.parse().ok()).collect();
        ExpectedProcesses { proxies, core }
    }

    fn has_proxy(&self, process: &Process) -> bool {
        let Some(proxies) = &self.proxies else { return true };
        process.node.as_ref().is_some_and(|node| proxies.contains(node))
    }
}
