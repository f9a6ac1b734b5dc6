//! The metrics of a proxy.

use pinerelay_peer_link::message::{Metric, Role};

use crate::request_handler::RequestHandler;
use crate::run::RunningProxy;
use crate::server_pool::ServerPoolCounts;

/// All metrics of a proxy.
pub(crate) fn collect(proxy: &RunningProxy) -> Vec<Metric> {
    let zone = &proxy.settings.zone;
    let mut metrics = vec![
        Metric::new(format!("proxy_info{{zone=\"{zone}\"}}"), 1.0),
        Metric::flag("proxy_ready", proxy.is_ready.get()),
        Metric::new("proxy_servers", proxy.services.server_count() as f64),
    ];
    metrics.extend(subscriber_metrics(proxy));
    metrics.extend(server_metrics(proxy));
    metrics.extend(proxy.links.metrics(Role::Proxy.name()));
    metrics.extend(proxy.request_handler().iter().flat_map(|handler| request_metrics(handler)));
    metrics
}

fn subscriber_metrics(proxy: &RunningProxy) -> Vec<Metric> {
    let subscriber = proxy.subscriber.borrow();
    let rejections = subscriber.leases().rejections();
    let update_age = subscriber.update_age(proxy.clock.now());
    vec![
        Metric::new("proxy_update_age_seconds", update_age as f64 / 1e6),
        Metric::new("proxy_quota_rejected_total", rejections.total as f64),
        Metric::new("proxy_quota_unanswered_total", rejections.unanswered as f64),
        Metric::flag("proxy_configuration_unconfirmed", subscriber.serves_unconfirmed()),
        Metric::new("proxy_registries", subscriber.linked_registries() as f64),
        Metric::new("proxy_waiting", subscriber.leases().waiting() as f64),
    ]
}

fn server_metrics(proxy: &RunningProxy) -> Vec<Metric> {
    let ServerPoolCounts { opened, sent, distrusted } = proxy.servers.counts();
    let retries = proxy.servers.retries.borrow();
    let counts = retries.counts();
    let used = retries.used_ratio(proxy.clock.now(), proxy.servers.proxies());
    vec![
        Metric::new("proxy_connections", proxy.servers.clients() as f64),
        Metric::new("proxy_retries_total", counts.granted as f64),
        Metric::new("proxy_retries_denied_total", counts.denied as f64),
        Metric::new("proxy_retry_budget_used_ratio", used),
        Metric::new("proxy_connections_opened_total", opened as f64),
        Metric::new("proxy_attempts_total", sent as f64),
        Metric::new("proxy_distrusted_answers_total", distrusted as f64),
    ]
}

fn request_metrics(handler: &RequestHandler) -> Vec<Metric> {
    let counts = &handler.counts;
    let mut metrics = Vec::new();
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
