//! The node's metrics: counters, and their Prometheus text.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

use mountbend::interface::Reason;

/// How a request of a class ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Result {
    /// Served.
    Completed,
    /// Rejected: the client may safely repeat it.
    Rejected,
    /// Failed.
    Failed,
}

const RESULTS: [(Result, &str); 3] =
    [(Result::Completed, "completed"), (Result::Rejected, "rejected"), (Result::Failed, "failed")];

/// Counts of a class's requests, by result and by reason.
struct Counts {
    class: String,
    results: [u64; 3],
    reasons: [u64; Reason::ALL.len()],
}

/// The counters of this process.
#[derive(Default)]
pub struct Metrics {
    /// By class, in order of registration.
    classes: RefCell<Vec<Counts>>,
    upstream: Cell<u64>,
    pending: Cell<u64>,
    reloads: Cell<u64>,
    reload_errors: Cell<u64>,
}

/// The gauges of app servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberMetrics {
    /// App servers on the list.
    pub listed: usize,
    /// Listed app servers that get no new requests.
    pub avoided: usize,
}

/// Counts one request as pending until it is dropped.
pub struct Pending(Rc<Metrics>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.pending.set(self.0.pending.get() - 1);
    }
}

impl Metrics {
    /// Registers a class, so that it is reported before its first request.
    pub fn register_class(&self, class: &str) {
        let mut classes = self.classes.borrow_mut();
        if !classes.iter().any(|c| c.class == class) {
            classes.push(Counts { class: class.into(), results: [0; 3], reasons: [0; Reason::ALL.len()] });
        }
    }

    /// Counts a request that was accepted; it is pending until the result is dropped.
    pub fn request_started(self: &Rc<Self>) -> Pending {
        self.pending.set(self.pending.get() + 1);
        Pending(self.clone())
    }

    /// Counts a request of this class whose result is final.
    pub fn request_ended(&self, class: &str, result: Result) {
        self.count(class, |counts| counts.results[result as usize] += 1);
    }

    /// Counts the reason for which a request of this class was rejected or failed.
    pub fn unserved(&self, class: &str, why: Reason) {
        self.count(class, |counts| counts.reasons[why as usize] += 1);
    }

    fn count(&self, class: &str, add: impl FnOnce(&mut Counts)) {
        if let Some(counts) = self.classes.borrow_mut().iter_mut().find(|c| c.class == class) {
            add(counts);
        }
    }

    /// Counts an attempt that was completely written to an app server.
    pub fn sent(&self) {
        self.upstream.set(self.upstream.get() + 1);
    }

    /// Counts a reload by SIGHUP that was applied or refused.
    pub fn reloaded(&self, applied: bool) {
        let count = if applied { &self.reloads } else { &self.reload_errors };
        count.set(count.get() + 1);
    }

    /// Returns all metrics in the Prometheus text format (version 0.0.4).
    pub fn text(&self, members: MemberMetrics) -> String {
        let mut text = String::with_capacity(1024);
        let mut line = |what: &str, kind: &str, value: u64| {
            // Writing to a string does not fail.
            let _ = write!(text, "# TYPE edge_proxy_{what} {kind}\nedge_proxy_{what} {value}\n");
        };
        line("upstream_requests_total", "counter", self.upstream.get());
        line("pending", "gauge", self.pending.get());
        line("members", "gauge", members.listed as u64);
        line("members_unavailable", "gauge", members.avoided as u64);
        line("config_reloads_total", "counter", self.reloads.get());
        line("config_reload_errors_total", "counter", self.reload_errors.get());
        text.push_str("# TYPE edge_proxy_downstream_requests_total counter\n");
        for counts in self.classes.borrow().iter() {
            let class = escaped(&counts.class);
            for (result, name) in RESULTS {
                let value = counts.results[result as usize];
                let _ = writeln!(
                    text,
                    "edge_proxy_downstream_requests_total{{lane=\"{class}\",result=\"{name}\"}} {value}"
                );
            }
        }
        text.push_str("# TYPE edge_proxy_unserved_requests_total counter\n");
        for counts in self.classes.borrow().iter() {
            let class = escaped(&counts.class);
            for (why, value) in Reason::ALL.iter().zip(counts.reasons) {
                let why = why.name();
                let _ = writeln!(
                    text,
                    "edge_proxy_unserved_requests_total{{lane=\"{class}\",reason=\"{why}\"}} {value}"
                );
            }
        }
        text
    }
}

/// A label's value: backslash, quote and line feed are escaped (Prometheus text format, "Comments, help text, and
/// type information").
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_counted_by_class_and_result() {
        let metrics = Rc::new(Metrics::default());
        metrics.register_class("slip");
        metrics.register_class("odd\"one");
        metrics.request_ended("slip", Result::Rejected);
        metrics.request_ended("slip", Result::Rejected);
        metrics.request_ended("unknown", Result::Failed);
        metrics.unserved("slip", Reason::Overload);
        metrics.sent();
        metrics.reloaded(true);
        metrics.reloaded(false);
        let pending = [metrics.request_started(), metrics.request_started()];
        let text = metrics.text(MemberMetrics { listed: 9, avoided: 2 });
        for line in [
            "edge_proxy_downstream_requests_total{lane=\"slip\",result=\"completed\"} 0",
            "edge_proxy_downstream_requests_total{lane=\"slip\",result=\"rejected\"} 2",
            "edge_proxy_downstream_requests_total{lane=\"odd\\\"one\",result=\"failed\"} 0",
            "edge_proxy_unserved_requests_total{lane=\"slip\",reason=\"overload\"} 1",
            "edge_proxy_unserved_requests_total{lane=\"slip\",reason=\"timed_out\"} 0",
            "edge_proxy_upstream_requests_total 1",
            "edge_proxy_pending 2",
            "edge_proxy_members 9",
            "edge_proxy_members_unavailable 2",
            "edge_proxy_config_reloads_total 1",
            "edge_proxy_config_reload_errors_total 1",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} is missing in\n{text}");
        }
        assert!(!text.contains("unknown"));
        drop(pending);
        assert!(metrics.text(MemberMetrics::default()).contains("edge_proxy_pending 0\n"));
    }
}
