//! The figures that are known: what each is, and how a process writes it.

/// Each figure and what it tells. One that ends in `_total` is a counter, all others are gauges.
pub const KNOWN: &[(&str, &str)] = &[
    ("up", "The process has answered when it was last asked"),
    ("starts_total", "Starts of the process that were seen since the exporter first heard of it"),
    ("proxy_info", "The proxy's zone"),
    ("proxy_ready", "The proxy is ready for clients"),
    (
        "proxy_configuration_unconfirmed",
        "The proxy serves a configuration that no registry has confirmed as current",
    ),
    ("proxy_servers", "Servers that the proxy knows"),
    ("proxy_registries", "Registries that the proxy is linked to"),
    ("proxy_waiting", "Requests that wait for a unit"),
    ("proxy_connections", "Connections of clients"),
    ("proxy_connections_opened_total", "Connections opened to servers"),
    ("proxy_attempts_total", "Requests sent to servers"),
    ("proxy_distrusted_answers_total", "Answers that belonged to no request"),
    ("proxy_answers_total", "Answers to clients"),
    ("proxy_unserved_total", "Requests not served, by the reason"),
    ("proxy_deferred_total", "Requests beyond quota that were told when to come back"),
    ("proxy_rejected_without_time_total", "Requests beyond quota that were not"),
    ("proxy_quota_rejected_total", "Requests refused as their tenant had no unit here"),
    ("proxy_quota_unanswered_total", "Of these, while no count had said that there is nothing"),
    ("proxy_retries_total", "Requests sent to one server more"),
    ("proxy_retries_denied_total", "Requests that the budget kept from one server more"),
    (
        "proxy_retry_budget_used_ratio",
        "The part of the budget of further tries that is spent, of the worst service",
    ),
    ("proxy_update_age_seconds", "Time since the proxy last had what a registry has"),
    ("proxy_links", "Links to other processes"),
    ("proxy_link_sent_bytes_total", "Bytes said on links"),
    ("proxy_link_received_bytes_total", "Bytes heard on links"),
    ("proxy_links_malformed_total", "Links that ended as what came was no message"),
    ("registry_info", "The registry's zone"),
    ("registry_servers_ready", "Servers that are ready"),
    ("registry_servers_draining", "Servers that leave"),
    ("registry_servers_lost", "Servers that nobody has heard"),
    ("registry_proxies", "Proxies that are linked"),
    ("registry_proxies_missing", "Proxies that have gone without a word"),
    ("registry_majority", "The registry reaches a majority of the core"),
    ("registry_complete", "The registry has the whole configuration"),
    ("registry_current", "The registry's configuration is current, by a quorum of the stores"),
    ("registry_not_current_seconds", "Time since the registry's configuration was last known to be current"),
    ("registry_epoch", "The epoch of the core's voters"),
    (
        "registry_heartbeats_rejected_total",
        "Beats heard and not acknowledged, as no majority of the core was reached",
    ),
    ("registry_duties", "Duties that the registry holds"),
    ("registry_heartbeats_total", "Beats of servers"),
    ("registry_open_calls", "Calls from outside that are not answered"),
    ("registry_calls_forwarded_total", "Calls passed on to a store"),
    ("registry_units_leased_total", "Units of tenants leased to proxies"),
    ("registry_leases_exhausted_total", "Asks for units when there were none"),
    ("registry_deregistrations_pending", "Leavings that no other registry holds yet"),
    ("registry_deregistrations_rejected_total", "Leavings that no other registry has held in time"),
    ("registry_servers_lost_total", "Servers that the registry has marked as lost"),
    ("registry_update_age_seconds", "Time since the registry last had what a store or another registry has"),
    ("registry_links", "Links to other processes"),
    ("registry_link_sent_bytes_total", "Bytes said on links"),
    ("registry_link_received_bytes_total", "Bytes heard on links"),
    ("registry_links_malformed_total", "Links that ended as what came was no message"),
    ("config_store_info", "The store's zone"),
    ("config_store_items", "Settled items"),
    ("config_store_complete", "The store's copy is whole, and it votes"),
    (
        "config_store_complete_reported",
        "The store's copy is whole, or it needs none: what it tells the registries",
    ),
    ("config_store_open_writes", "Changes that are not safe on disk yet"),
    ("config_store_oldest_open_write_seconds", "Age of the oldest of them"),
    ("config_store_writes_total", "Writes to the disk"),
    ("config_store_writes_refused_total", "Writes that the disk refused"),
    ("config_store_write_seconds_total", "Time spent in writes that have ended"),
    ("config_store_open_calls", "Calls under way"),
    ("config_store_calls_total", "Calls taken"),
    ("config_store_links", "Links to other processes"),
    ("config_store_link_sent_bytes_total", "Bytes said on links"),
    ("config_store_link_received_bytes_total", "Bytes heard on links"),
    ("config_store_links_malformed_total", "Links that ended as what came was no message"),
];

/// The labels that a process may give a figure. Others could have any number of values, and so could memory here.
const LABELS: [&str; 3] = ["status", "reason", "zone"];
/// No value of a label is longer.
const LONGEST: usize = 48;

/// A label and its value.
pub type Label = (&'static str, String);

/// A known figure's name, as it lies in [`KNOWN`].
pub fn known(name: &str) -> Option<&'static str> {
    KNOWN.iter().find(|(known, _)| *known == name).map(|(known, _)| *known)
}

/// Whether it only grows.
pub fn counts(name: &str) -> bool {
    name.ends_with("_total")
}

/// Whether it is a time.
pub fn is_time(name: &str) -> bool {
    name.ends_with("_seconds")
}

/// Reads a figure's name with its label as processes write them: `proxy_answers_total{status="200"}`.
pub fn read(told: &str) -> Option<(&'static str, Option<Label>)> {
    let Some((name, label)) = told.split_once('{') else { return Some((known(told)?, None)) };
    let (key, value) = label.strip_suffix("\"}")?.split_once("=\"")?;
    let key = LABELS.into_iter().find(|label| *label == key)?;
    let plain = value.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.'));
    (plain && value.len() <= LONGEST).then_some((known(name)?, Some((key, value.to_string()))))
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn names_are_read_as_processes_write_them_and_nothing_unbounded_is_taken() {
        expect_that!(read("registry_majority"), some(eq(&("registry_majority", None))));
        let labelled = ("proxy_answers_total", Some(("status", "200".to_string())));
        expect_that!(read("proxy_answers_total{status=\"200\"}"), some(eq(&labelled)));
        for bad in ["registry_mood", "up{key=\"k\"}", "up{zone=\"a", "up{zone=\"a b\"}", "up{", "{}"] {
            expect_that!(read(bad), none(), "{bad}");
        }
        expect_that!(read(&format!("up{{zone=\"{}\"}}", "a".repeat(49))), none());
    }
}
