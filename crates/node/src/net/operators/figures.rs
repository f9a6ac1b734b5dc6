//! The figures that the node reports: counted where things end, written as text when asked for.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

use mountbend::interface::Reason;

/// How a request of a class ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Result {
    /// Served.
    Completed,
    /// Refused: a repeat is harmless.
    Rejected,
    /// Failed.
    Failed,
}

const RESULTS: [(Result, &str); 3] =
    [(Result::Completed, "completed"), (Result::Rejected, "rejected"), (Result::Failed, "failed")];

/// What came of a class's requests.
struct Counts {
    class: String,
    results: [u64; 3],
    reasons: [u64; Reason::ALL.len()],
}

/// What counts up while the process lives.
#[derive(Default)]
pub struct Figures {
    /// By class, in the order in which they were first named.
    classes: RefCell<Vec<Counts>>,
    upstream: Cell<u64>,
    pending: Cell<u64>,
    reloads: Cell<u64>,
    reload_errors: Cell<u64>,
}

/// What the figures tell of the app servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberFigures {
    /// On the list.
    pub listed: usize,
    /// Of them, those that get nothing new.
    pub avoided: usize,
}

/// One request that has been taken and has not ended; dropped, it has.
pub struct Pending(Rc<Figures>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.pending.set(self.0.pending.get() - 1);
    }
}

impl Figures {
    /// Names a class, so that it is reported before its first request.
    pub fn name(&self, class: &str) {
        let mut classes = self.classes.borrow_mut();
        if !classes.iter().any(|c| c.class == class) {
            classes.push(Counts { class: class.into(), results: [0; 3], reasons: [0; Reason::ALL.len()] });
        }
    }

    /// A request of this class has been taken.
    pub fn taken(self: &Rc<Self>) -> Pending {
        self.pending.set(self.pending.get() + 1);
        Pending(self.clone())
    }

    /// A request of this class has its final answer.
    pub fn ended(&self, class: &str, result: Result) {
        self.count(class, |counts| counts.results[result as usize] += 1);
    }

    /// A request of this class was rejected or has failed for this reason.
    pub fn unserved(&self, class: &str, why: Reason) {
        self.count(class, |counts| counts.reasons[why as usize] += 1);
    }

    fn count(&self, class: &str, add: impl FnOnce(&mut Counts)) {
        if let Some(counts) = self.classes.borrow_mut().iter_mut().find(|c| c.class == class) {
            add(counts);
        }
    }

    /// An attempt has been written whole to an app server.
    pub fn sent(&self) {
        self.upstream.set(self.upstream.get() + 1);
    }

    /// A configuration was taken at SIGHUP, or turned down.
    pub fn reloaded(&self, taken: bool) {
        let count = if taken { &self.reloads } else { &self.reload_errors };
        count.set(count.get() + 1);
    }

    /// All of it in the Prometheus text format (version 0.0.4).
    pub fn text(&self, members: MemberFigures) -> String {
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
    fn what_ends_is_counted_under_its_class_and_result() {
        let figures = Rc::new(Figures::default());
        figures.name("slip");
        figures.name("odd\"one");
        figures.ended("slip", Result::Rejected);
        figures.ended("slip", Result::Rejected);
        figures.ended("unknown", Result::Failed);
        figures.unserved("slip", Reason::Overload);
        figures.sent();
        figures.reloaded(true);
        figures.reloaded(false);
        let pending = [figures.taken(), figures.taken()];
        let text = figures.text(MemberFigures { listed: 9, avoided: 2 });
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
        assert!(figures.text(MemberFigures::default()).contains("edge_proxy_pending 0\n"));
    }
}
