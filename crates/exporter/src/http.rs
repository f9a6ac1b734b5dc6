//! Serves the metrics over HTTP.

use std::convert::Infallible;
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::exporter::Exporter;
use crate::exposition;
use crate::rules::Rule;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The maximum number of concurrent connections; further ones are closed.
const MAX_CONNECTIONS: usize = 32;
/// The maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Configuration of the exporter.
pub struct ExporterConfig {
    /// The address at which the metrics are served.
    pub listen: SocketAddr,
    /// The registries that are queried first.
    pub seeds: Vec<Ipv4Addr>,
    /// The first internal port, which is the same on all machines.
    pub first_port: u16,
    /// The alert rules. With none, processes are queried only when the metrics are read.
    pub rules: Vec<Rule>,
}

/// Runs the exporter until SIGTERM.
///
/// # Errors
/// If the address cannot be bound, or the runtime cannot be started.
pub fn run(config: ExporterConfig) -> Result<(), Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(serve(config))
}

async fn serve(config: ExporterConfig) -> Result<(), Box<dyn Error>> {
    let ExporterConfig { listen, seeds, first_port, rules } = config;
    let listener = TcpListener::bind(listen).await?;
    log::info!("serving metrics at {listen} with {} alert rules", rules.len());
    let has_rules = !rules.is_empty();
    let exporter = Rc::new(Exporter::new(seeds, first_port, rules));
    tokio::task::spawn_local(accept(listener, exporter.clone()));
    if has_rules {
        tokio::task::spawn_local(async move { exporter.poll_forever().await });
    }
    signal(SignalKind::terminate())?.recv().await;
    log::info!("shutting down on SIGTERM");
    Ok(())
}

async fn accept(listener: TcpListener, exporter: Rc<Exporter>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let exporter = exporter.clone();
        tokio::task::spawn_local(async move {
            // Slow and disconnected clients are expected to scrape again.
            let _ = timeout(CONNECTION_TIMEOUT, serve_connection(stream, exporter)).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, exporter: Rc<Exporter>) {
    let service = service_fn(move |request| {
        let exporter = exporter.clone();
        async move { Ok::<_, Infallible>(respond(&exporter, &request).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(exporter: &Exporter, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if request.method() != Method::GET || request.uri().path() != METRICS_PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    match exporter.scrape().await {
        Ok(text) => {
            let content_type = HeaderValue::from_static(exposition::CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            *response.body_mut() = Full::new(text.into());
        }
        Err(error) => {
            log::error!("the metrics cannot be encoded: {error}");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
