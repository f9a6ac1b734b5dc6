//! The figures that are known: what each is, and how a process writes it.

/// Each figure and what it tells. One that ends in `_total` is a counter, all others are gauges.
pub const KNOWN: &[(&str, &str)] = &[
    ("up", "The process has answered when it was last asked"),
    ("starts_total", "Starts of the process that were seen since the exporter first heard of it"),
    ("forager_info", "The proxy's zone"),
    ("forager_ready", "The proxy is ready for clients"),
    (
        "forager_configuration_unconfirmed",
        "The proxy serves a configuration that no registry has confirmed as current",
    ),
    ("forager_servers", "Servers that the proxy knows"),
    ("forager_registries", "Registries that the proxy is linked to"),
    ("forager_waiting", "Requests that wait for a unit"),
    ("forager_connections", "Connections of clients"),
    ("forager_connections_opened_total", "Connections opened to servers"),
    ("forager_sent_total", "Requests sent to servers"),
    ("forager_spoilt_total", "Answers that belonged to no request"),
    ("forager_answers_total", "Answers to clients"),
    ("forager_unserved_total", "Requests not served, by the reason"),
    ("forager_deferred_total", "Requests beyond quota that were told when to come back"),
    ("forager_beyond_total", "Requests beyond quota that were not"),
    ("forager_quota_refused_total", "Requests refused as their tenant had no unit here"),
    ("forager_quota_stranded_total", "Of these, while no count had said that there is nothing"),
    ("forager_further_tries_total", "Requests sent to one server more"),
    ("forager_further_denied_total", "Requests that the budget kept from one server more"),
    (
        "forager_further_used_ratio",
        "The part of the budget of further tries that is spent, of the worst service",
    ),
    ("forager_news_age_seconds", "Time since the proxy last had what a registry has"),
    ("forager_links", "Links to other processes"),
    ("forager_link_bytes_total", "Bytes said on links"),
    ("forager_link_heard_bytes_total", "Bytes heard on links"),
    ("forager_links_garbled_total", "Links that ended as what came was no message"),
    ("scout_info", "The registry's zone"),
    ("scout_servers_ready", "Servers that are ready"),
    ("scout_servers_draining", "Servers that leave"),
    ("scout_servers_lost", "Servers that nobody has heard"),
    ("scout_foragers", "Proxies that are linked"),
    ("scout_foragers_missing", "Proxies that have gone without a word"),
    ("scout_majority", "The registry reaches a majority of the core"),
    ("scout_whole", "The registry has the whole configuration"),
    ("scout_current", "The registry's configuration is current, by a quorum of the stores"),
    ("scout_not_current_seconds", "Time since the registry's configuration was last known to be current"),
    ("scout_epoch", "The epoch of the core's voters"),
    ("scout_beats_refused_total", "Beats heard and not acknowledged, as no majority of the core was reached"),
    ("scout_duties", "Duties that the registry holds"),
    ("scout_beats_total", "Beats of servers"),
    ("scout_calls_open", "Calls from outside that are not answered"),
    ("scout_calls_passed_total", "Calls passed on to a store"),
    ("scout_units_leased_total", "Units of tenants leased to proxies"),
    ("scout_asks_dry_total", "Asks for units when there were none"),
    ("scout_drains_open", "Leavings that no other registry holds yet"),
    ("scout_drains_unheld_total", "Leavings that no other registry has held in time"),
    ("scout_losses_total", "Servers that the registry has marked as lost"),
    ("scout_news_age_seconds", "Time since the registry last had what a store or another registry has"),
    ("scout_links", "Links to other processes"),
    ("scout_link_bytes_total", "Bytes said on links"),
    ("scout_link_heard_bytes_total", "Bytes heard on links"),
    ("scout_links_garbled_total", "Links that ended as what came was no message"),
    ("comb_info", "The store's zone"),
    ("comb_items", "Settled items"),
    ("comb_whole", "The store's copy is whole, and it votes"),
    ("comb_stands", "The store's copy is whole, or it needs none: what it tells the registries"),
    ("comb_unwritten", "Changes that are not safe on disk yet"),
    ("comb_oldest_unwritten_seconds", "Age of the oldest of them"),
    ("comb_writes_total", "Writes to the disk"),
    ("comb_writes_refused_total", "Writes that the disk refused"),
    ("comb_write_seconds_total", "Time spent in writes that have ended"),
    ("comb_calls_open", "Calls under way"),
    ("comb_calls_total", "Calls taken"),
    ("comb_links", "Links to other processes"),
    ("comb_link_bytes_total", "Bytes said on links"),
    ("comb_link_heard_bytes_total", "Bytes heard on links"),
    ("comb_links_garbled_total", "Links that ended as what came was no message"),
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

/// Reads a figure's name with its label as processes write them: `forager_answers_total{status="200"}`.
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
        expect_that!(read("scout_majority"), some(eq(&("scout_majority", None))));
        let labelled = ("forager_answers_total", Some(("status", "200".to_string())));
        expect_that!(read("forager_answers_total{status=\"200\"}"), some(eq(&labelled)));
        for bad in ["scout_mood", "up{key=\"k\"}", "up{zone=\"a", "up{zone=\"a b\"}", "up{", "{}"] {
            expect_that!(read(bad), none(), "{bad}");
        }
        expect_that!(read(&format!("up{{zone=\"{}\"}}", "a".repeat(49))), none());
    }
}
