//! How a stand-in server tells the registries of itself: beats, draining, leaving.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use sonic_rs::{pointer, JsonValueTrait, Value};
use tokio::time::{sleep, Instant};

use crate::field::{Field, DRAIN_TIMEOUT, HEARTBEAT};
use crate::http;
use crate::record::Drained;

/// After the drain timeout a server goes on for this much.
const LITTLE_LONGER: Duration = Duration::from_millis(400);
/// A call for the end that nobody acknowledges is made for so long.
const GIVE_UP: Duration = Duration::from_secs(5);
/// Pause before the next registry is called.
const NEXT: Duration = Duration::from_millis(50);

/// What a server is.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The id of this life.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Where it is.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: &'static str,
    /// On how many requests it works at once.
    pub capacity: usize,
    /// How many more may wait.
    pub queue: usize,
    /// How long a request takes.
    pub work: Duration,
}

/// What a server has told of itself, and to whom.
pub struct Registration {
    /// What the server is.
    pub plan: Plan,
    field: Rc<Field>,
    controls: Vec<SocketAddrV4>,
    draining: Cell<bool>,
    calls: Cell<u64>,
    /// Where later beats go, if an answer said so.
    told: Cell<Option<SocketAddrV4>>,
}

impl Registration {
    /// One that has told nothing yet.
    pub fn new(plan: Plan, field: Rc<Field>, controls: Vec<SocketAddrV4>) -> Registration {
        let (draining, calls, told) = Default::default();
        Registration { plan, field, controls, draining, calls, told }
    }

    /// Whether the server has begun to leave.
    pub fn draining(&self) -> bool {
        self.draining.get()
    }

    /// Leaves as planned; comes back once the server is to end.
    pub async fn leave(&self) {
        self.draining.set(true);
        if self.insist("servers.heartbeat").await {
            let drained = Drained { server: self.plan.id.clone(), at: self.field.now() };
            self.field.records.borrow_mut().drained.push(drained);
        }
        sleep(DRAIN_TIMEOUT + LITTLE_LONGER).await;
        self.insist("servers.leave").await;
    }

    /// Calls until it is acknowledged, or for some seconds.
    async fn insist(&self, call: &str) -> bool {
        let until = Instant::now() + GIVE_UP;
        while Instant::now() < until {
            if self.call(call).await {
                return true;
            }
            sleep(NEXT).await;
        }
        false
    }

    /// Beats for ever.
    pub async fn beats(&self) {
        // Servers don't beat in step.
        sleep(Duration::from_millis(self.field.below(100))).await;
        loop {
            let pause = if self.call("servers.heartbeat").await { HEARTBEAT } else { NEXT };
            sleep(pause).await;
        }
    }

    /// Makes a call at one registry; whether it was acknowledged.
    async fn call(&self, call: &str) -> bool {
        let Plan { id, service, address, zone, capacity, .. } = &self.plan;
        self.calls.set(self.calls.get() + 1);
        let lot = self.field.below(self.controls.len() as u64) as usize;
        let to = self.told.take().unwrap_or(self.controls[lot]);
        let body = match call {
            "servers.heartbeat" => format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\
                 \"capacity\":{capacity},\"state\":\"{}\",\"warmup_left\":\"0ms\",\"call_count\":{}}}",
                if self.draining() { "draining" } else { "ready" },
                self.calls.get(),
            ),
            _ => "{}".into(),
        };
        let Some(reply) = http::call(to, &format!("call={call}&of={id}"), body).await else { return false };
        if !reply.status.is_success() {
            return false;
        }
        let told = sonic_rs::from_slice::<Value>(&reply.body).ok();
        let told = told.as_ref().and_then(|v| v.pointer(pointer!["heartbeat_url"])).and_then(|v| v.as_str());
        let told = told.map(|url| url.trim_start_matches("http://").trim_end_matches('/'));
        self.told.set(told.and_then(|address| address.parse().ok()));
        true
    }
}
