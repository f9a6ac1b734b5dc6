//! The known metrics, and the parser of the names that processes report.

#[cfg(test)]
mod tests;

/// A metric that the exporter serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownMetric {
    /// The name without the prefix `pinerelay_`.
    pub name: &'static str,
    /// The help text.
    pub help: &'static str,
}

/// All metrics of processes. Names that end in `_total` are counters, all others are gauges.
pub const KNOWN_METRICS: &[KnownMetric] = &[
    KnownMetric { name: "up", help: "The process has answered when it was last asked" },
    KnownMetric { name: "starts_total", help: "Starts of the process seen by the exporter" },
    KnownMetric { name: "proxy_info", help: "The proxy's zone" },
    KnownMetric { name: "proxy_ready", help: "The proxy is ready for clients" },
    KnownMetric {
        name: "proxy_configuration_unconfirmed",
        help: "The proxy serves a configuration that no registry has confirmed as current",
    },
    KnownMetric { name: "proxy_configured", help: "The proxy has put a configuration in force" },
    KnownMetric { name: "proxy_routes", help: "Routes in force" },
    KnownMetric { name: "proxy_tenants", help: "Tenants in force" },
    KnownMetric { name: "proxy_configurations_total", help: "Configurations that were put in force" },
    KnownMetric { name: "proxy_servers", help: "Servers that the proxy knows" },
    KnownMetric { name: "proxy_registries", help: "Registries that the proxy is linked to" },
    KnownMetric { name: "proxy_waiting", help: "Requests that wait for a quota unit" },
    KnownMetric { name: "proxy_connections", help: "Connections of clients" },
    KnownMetric { name: "proxy_connections_opened_total", help: "Connections opened to servers" },
    KnownMetric { name: "proxy_attempts_total", help: "Requests sent to servers" },
    KnownMetric { name: "proxy_distrusted_answers_total", help: "Answers that belonged to no request" },
    KnownMetric { name: "proxy_answers_total", help: "Answers to clients" },
    KnownMetric { name: "proxy_unserved_total", help: "Requests not served, by the reason" },
    KnownMetric {
        name: "proxy_deferred_total",
        help: "Requests beyond quota that were rejected with a time to come back",
    },
    KnownMetric {
        name: "proxy_rejected_without_time_total",
        help: "Requests beyond quota that were rejected without one",
    },
    KnownMetric {
        name: "proxy_quota_rejected_total",
        help: "Requests rejected as their tenant had no quota unit at this proxy",
    },
    KnownMetric {
        name: "proxy_quota_unanswered_total",
        help: "Of these, those for which no quota allocator had answered that none is left",
    },
    KnownMetric {
        name: "proxy_quota_cut_off_total",
        help:
            "Of the latter, those rejected after a shorter wait: lease requests failed and no unit of the share was left",
    },
    KnownMetric {
        name: "proxy_tenants_cut_off",
        help: "Tenants whose lease requests fail, so that the proxy lives on its share of their rate",
    },
    KnownMetric {
        name: "proxy_share_units_total",
        help: "Quota units spent from shares while lease requests failed",
    },
    KnownMetric {
        name: "proxy_lease_requests_total",
        help: "Requests for leases of quota units, for one tenant each",
    },
    KnownMetric { name: "proxy_lease_answers_total", help: "Answers to them" },
    KnownMetric { name: "proxy_lease_answer_seconds_total", help: "Time that the answers took, in sum" },
    KnownMetric {
        name: "proxy_lease_answers_late_total",
        help: "Answers that took so long that their request had been repeated",
    },
    KnownMetric {
        name: "proxy_lease_answers_misdirected_total",
        help: "Answers of registries that do not hold the tenant's duty",
    },
    KnownMetric { name: "proxy_units_leased_total", help: "Quota units received in leases" },
    KnownMetric { name: "proxy_units_expired_total", help: "Of these, units that had expired on arrival" },
    KnownMetric { name: "proxy_retries_total", help: "Requests sent to another server (retries)" },
    KnownMetric { name: "proxy_retries_denied_total", help: "Retries that the retry budget did not allow" },
    KnownMetric {
        name: "proxy_retry_budget_used_ratio",
        help: "The part of the retry budget that is used, of the service that used most of it",
    },
    KnownMetric {
        name: "proxy_update_age_seconds",
        help: "Time since the proxy's state was last equal to that of a registry",
    },
    KnownMetric { name: "proxy_links", help: "Links to other processes" },
    KnownMetric { name: "proxy_links_closed_total", help: "Links that have ended" },
    KnownMetric {
        name: "proxy_link_longest_queue_bytes",
        help: "Bytes that wait to be sent on the link with the most of them",
    },
    KnownMetric { name: "proxy_link_sent_bytes_total", help: "Bytes sent on links" },
    KnownMetric { name: "proxy_link_received_bytes_total", help: "Bytes received on links" },
    KnownMetric { name: "proxy_links_malformed_total", help: "Links closed because of a malformed message" },
    KnownMetric { name: "registry_info", help: "The registry's zone" },
    KnownMetric { name: "registry_servers_ready", help: "Servers that are ready" },
    KnownMetric { name: "registry_servers_draining", help: "Servers that are draining" },
    KnownMetric { name: "registry_servers_lost", help: "Servers without a recent heartbeat" },
    KnownMetric { name: "registry_proxies", help: "Proxies that are linked" },
    KnownMetric {
        name: "registry_proxies_missing",
        help: "Proxies that disappeared without a planned shutdown",
    },
    KnownMetric { name: "registry_majority", help: "The registry reaches a majority of the core" },
    KnownMetric { name: "registry_complete", help: "The registry has the complete configuration" },
    KnownMetric {
        name: "registry_current",
        help: "The registry's configuration is current, by a quorum of the stores",
    },
    KnownMetric {
        name: "registry_not_current_seconds",
        help: "Time since the registry's configuration was last known to be current",
    },
    KnownMetric { name: "registry_epoch", help: "The epoch of the core's voters" },
    KnownMetric {
        name: "registry_heartbeats_rejected_total",
        help: "Heartbeats that were not acknowledged, as no majority of the core was reachable",
    },
    KnownMetric { name: "registry_duties", help: "Duties that the registry holds" },
    KnownMetric {
        name: "registry_duties_acquired_total",
        help: "Duties acquired; their allocators begin without units",
    },
    KnownMetric {
        name: "registry_epoch_settled",
        help: "The voters of the epoch are all eligible for duties",
    },
    KnownMetric {
        name: "registry_quota_tenants",
        help: "Tenants that the registry allocates quota units for",
    },
    KnownMetric {
        name: "registry_quota_tenants_reserving",
        help: "Those whose rate is partly reserved for proxies that are not reachable",
    },
    KnownMetric {
        name: "registry_quota_reserved_ratio",
        help: "The part of their rates that is reserved, of all tenants allocated for",
    },
    KnownMetric {
        name: "registry_quota_lowest_level_units",
        help: "Units in the emptiest of their buckets; below 0 it is in debt",
    },
    KnownMetric {
        name: "registry_proxies_counted",
        help: "Proxies, linked or missing, that the registry or another one counts at most",
    },
    KnownMetric { name: "registry_heartbeats_total", help: "Heartbeats of servers" },
    KnownMetric { name: "registry_open_calls", help: "Calls from outside that are not answered" },
    KnownMetric {
        name: "registry_rollouts_under_way",
        help: "Rollouts that have neither finished nor been reverted",
    },
    KnownMetric { name: "registry_rollout_attempts", help: "Attempts at new versions of rollouts under way" },
    KnownMetric { name: "registry_rollout_failures", help: "Those of them that failed" },
    KnownMetric { name: "registry_answers_total", help: "Answers to calls from outside, by status" },
    KnownMetric { name: "registry_calls_forwarded_total", help: "Calls forwarded to a store" },
    KnownMetric { name: "registry_units_leased_total", help: "Quota units leased to proxies" },
    KnownMetric {
        name: "registry_leases_exhausted_total",
        help: "Lease requests when no quota unit was left",
    },
    KnownMetric {
        name: "registry_deregistrations_pending",
        help: "Deregistrations that no other registry has confirmed yet",
    },
    KnownMetric {
        name: "registry_deregistrations_rejected_total",
        help: "Deregistrations that no other registry confirmed in time",
    },
    KnownMetric { name: "registry_servers_lost_total", help: "Servers that the registry has marked as lost" },
    KnownMetric { name: "registry_stalls_total", help: "Times that the registry has stood still" },
    KnownMetric {
        name: "registry_stalled_seconds_total",
        help: "Time in which the registry has done no periodic work",
    },
    KnownMetric {
        name: "registry_lease_requests_total",
        help: "Lease requests of proxies, for one tenant each",
    },
    KnownMetric {
        name: "registry_lease_requests_misdirected_total",
        help: "Lease requests for tenants that another registry counts",
    },
    KnownMetric {
        name: "registry_update_age_seconds",
        help: "Time since the registry's state was last equal to that of a store or another registry",
    },
    KnownMetric { name: "registry_links", help: "Links to other processes" },
    KnownMetric { name: "registry_links_closed_total", help: "Links that have ended" },
    KnownMetric {
        name: "registry_link_longest_queue_bytes",
        help: "Bytes that wait to be sent on the link with the most of them",
    },
    KnownMetric { name: "registry_link_sent_bytes_total", help: "Bytes sent on links" },
    KnownMetric { name: "registry_link_received_bytes_total", help: "Bytes received on links" },
    KnownMetric {
        name: "registry_links_malformed_total",
        help: "Links closed because of a malformed message",
    },
    KnownMetric { name: "config_store_info", help: "The store's zone" },
    KnownMetric { name: "config_store_items", help: "Committed items" },
    KnownMetric { name: "config_store_complete", help: "The store's replica is complete, and it votes" },
    KnownMetric {
        name: "config_store_complete_reported",
        help: "The store's replica is complete or not needed, as reported to the registries",
    },
    KnownMetric { name: "config_store_voters", help: "Voting stores" },
    KnownMetric { name: "config_store_voters_heard", help: "Voting stores that this store hears" },
    KnownMetric { name: "config_store_quorum", help: "Voting stores that an update needs" },
    KnownMetric {
        name: "config_store_spare_voters",
        help: "Voting stores heard beyond a quorum; below 0 nothing can be agreed on",
    },
    KnownMetric { name: "config_store_open_writes", help: "Writes that are not durable yet" },
    KnownMetric { name: "config_store_oldest_open_write_seconds", help: "Age of the oldest of them" },
    KnownMetric { name: "config_store_writes_total", help: "Writes to the disk" },
    KnownMetric { name: "config_store_writes_refused_total", help: "Writes that failed" },
    KnownMetric { name: "config_store_write_seconds_total", help: "Time spent in completed writes" },
    KnownMetric { name: "config_store_open_calls", help: "Calls under way" },
    KnownMetric { name: "config_store_calls_total", help: "Calls received" },
    KnownMetric { name: "config_store_links", help: "Links to other processes" },
    KnownMetric { name: "config_store_links_closed_total", help: "Links that have ended" },
    KnownMetric {
        name: "config_store_link_longest_queue_bytes",
        help: "Bytes that wait to be sent on the link with the most of them",
    },
    KnownMetric { name: "config_store_link_sent_bytes_total", help: "Bytes sent on links" },
    KnownMetric { name: "config_store_link_received_bytes_total", help: "Bytes received on links" },
    KnownMetric {
        name: "config_store_links_malformed_total",
        help: "Links closed because of a malformed message",
    },
];

/// The accepted label names. Other labels could have unbounded numbers of values, and so would the exporter's memory.
const LABELS: [&str; 3] = ["status", "reason", "zone"];
/// The maximum length of a label value, in bytes.
const MAX_LABEL_LENGTH: usize = 48;

/// A label of a metric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Label {
    /// The name, one of the accepted label names.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

/// The name of a metric with its label.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricName {
    /// The name of the metric, as in [`KNOWN_METRICS`].
    pub name: &'static str,
    /// The label, if any.
    pub label: Option<Label>,
}

/// Returns the name as in [`KNOWN_METRICS`]; `None` if the metric is not known.
pub fn known_name(name: &str) -> Option<&'static str> {
    KNOWN_METRICS.iter().map(|metric| metric.name).find(|known| *known == name)
}

/// Whether a metric is a counter.
pub fn is_counter(name: &str) -> bool {
    name.ends_with("_total")
}

/// Whether a metric is a duration in seconds.
pub fn is_duration(name: &str) -> bool {
    name.ends_with("_seconds")
}

/// Parses a name as processes report it, such as `proxy_answers_total{status="200"}`. `None` if the metric or its label is not known.
pub fn parse_name(text: &str) -> Option<MetricName> {
    let Some((name, label)) = text.split_once('{') else {
        return Some(MetricName { name: known_name(text)?, label: None });
    };
    let (label_name, value) = label.strip_suffix("\"}")?.split_once("=\"")?;
    let label_name = LABELS.into_iter().find(|known| *known == label_name)?;
    let is_plain =
        value.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-' | b'.'));
    if !is_plain || value.len() > MAX_LABEL_LENGTH {
        return None;
    }
    let label = Some(Label { name: label_name, value: value.to_string() });
    Some(MetricName { name: known_name(name)?, label })
}
