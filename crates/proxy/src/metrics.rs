//! Collects the metrics of the proxy.

use pinerelay_admission::Micros;
use pinerelay_peer_link::link::Links;
use pinerelay_peer_link::message::{Metric, Role};

use crate::request_handler::RequestHandler;
use crate::server_pool::{ServerPool, ServerPoolCounts};
use crate::services::Services;
use crate::subscriber::Subscriber;

/// The components that metrics are read from.
pub(crate) struct MetricSources<'a> {
    /// The current time of the proxy's clock.
    pub(crate) now: Micros,
    pub(crate) zone: &'a str,
    pub(crate) is_ready: bool,
    pub(crate) subscriber: &'a Subscriber,
    pub(crate) services: &'a Services,
    pub(crate) servers: &'a ServerPool,
    pub(crate) links: &'a Links,
    pub(crate) handler: Option<&'a RequestHandler>,
}

/// Collects all metrics of the proxy.
pub(crate) fn collect(sources: &MetricSources) -> Vec<Metric> {
    let zone = sources.zone;
    let mut metrics = vec![
        Metric::new(format!("proxy_info{{zone=\"{zone}\"}}"), 1.0),
        Metric::flag("proxy_ready", sources.is_ready),
        Metric::new("proxy_servers", sources.services.server_count() as f64),
    ];
    metrics.extend(subscriber_metrics(sources.subscriber, sources.now));
    metrics.extend(server_metrics(sources.servers, sources.now));
    metrics.extend(sources.links.metrics(Role::Proxy.name()));
    metrics.extend(sources.handler.into_iter().flat_map(request_metrics));
    metrics
}

/// Metrics of the replica and of quota admission.
fn subscriber_metrics(subscriber: &Subscriber, now: Micros) -> Vec<Metric> {
    let leases = subscriber.leases();
    let (rejections, counts) = (leases.rejections(), leases.counts());
    let update_age = subscriber.update_age(now);
    vec![
        Metric::new("proxy_update_age_seconds", update_age as f64 / 1e6),
        Metric::new("proxy_quota_rejected_total", rejections.total as f64),
        Metric::new("proxy_quota_unanswered_total", rejections.unanswered as f64),
        Metric::flag("proxy_configuration_unconfirmed", subscriber.serves_unconfirmed()),
        Metric::new("proxy_registries", subscriber.linked_registries() as f64),
        Metric::new("proxy_waiting", leases.waiting() as f64),
        Metric::new("proxy_quota_cut_off_total", counts.rejected_cut_off as f64),
        Metric::new("proxy_tenants_cut_off", leases.tenants_cut_off(now) as f64),
        Metric::new("proxy_share_units_total", counts.share_units as f64),
        Metric::new("proxy_lease_requests_total", counts.requests as f64),
        Metric::new("proxy_lease_answers_total", counts.answers as f64),
        Metric::new("proxy_lease_answer_seconds_total", counts.answer_time as f64 / 1e6),
        Metric::new("proxy_lease_answers_late_total", counts.late_answers as f64),
        Metric::new("proxy_lease_answers_misdirected_total", counts.not_owner as f64),
        Metric::new("proxy_units_leased_total", counts.units),
        Metric::new("proxy_units_expired_total", counts.expired_units),
    ]
}

/// Metrics of connections, attempts and retries.
fn server_metrics(servers: &ServerPool, now: Micros) -> Vec<Metric> {
    let ServerPoolCounts { opened, sent, distrusted } = servers.counts();
    let retry_budget = servers.retry_budget.borrow();
    let counts = retry_budget.counts();
    let used = retry_budget.used_ratio(now, servers.proxies());
    vec![
        Metric::new("proxy_connections", servers.client_connections() as f64),
        Metric::new("proxy_retries_total", counts.granted as f64),
        Metric::new("proxy_retries_denied_total", counts.denied as f64),
        Metric::new("proxy_retry_budget_used_ratio", used),
        Metric::new("proxy_connections_opened_total", opened as f64),
        Metric::new("proxy_attempts_total", sent as f64),
        Metric::new("proxy_distrusted_answers_total", distrusted as f64),
    ]
}

/// Metrics of the active routing table and of requests by result.
fn request_metrics(handler: &RequestHandler) -> Vec<Metric> {
    let counts = &handler.counts;
    let active_table = handler.routing_table();
    let mut metrics = vec![
        Metric::flag("proxy_configured", active_table.is_some()),
        Metric::new("proxy_routes", active_table.as_ref().map_or(0, |table| table.route_count()) as f64),
        Metric::new("proxy_tenants", active_table.as_ref().map_or(0, |table| table.tenants().len()) as f64),
        Metric::new("proxy_configurations_total", counts.configurations.get() as f64),
    ];
    for (status, count) in counts.statuses.borrow().iter() {
        metrics.push(Metric::new(format!("proxy_answers_total{{status=\"{status}\"}}"), *count as f64));
    }
    for (reason, count) in counts.unserved.borrow().iter() {
        metrics.push(Metric::new(format!("proxy_unserved_total{{reason=\"{reason}\"}}"), *count as f64));
    }
    for (check, count) in counts.violations.borrow().iter() {
        let name = format!("proxy_forwarding_violations_total{{check=\"{check}\"}}");
        metrics.push(Metric::new(name, *count as f64));
    }
    metrics.push(Metric::new("proxy_deferred_total", counts.deferred.get() as f64));
    metrics.push(Metric::new("proxy_rejected_without_time_total", counts.rejected_without_time.get() as f64));
    metrics
}
