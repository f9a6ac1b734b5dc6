//! Admission control and load balancing for a gateway in front of a service sold by plan: which
//! requests are admitted, deferred or refused, and which server each is sent to.
//!
//! The decisions are made by a pure state machine, [`control::Controller`]: it takes events with the
//! current time and returns actions. It does no I/O and reads no clock.
//!
//! ```
//! use mountbend::control::Controller;
//! use mountbend::interface::*;
//!
//! let settings = Settings {
//!     nodes: 1,
//!     classes: vec![Class { on_time: 500_000, deadline: 2_000_000, credit: 1.0, ..Class::default() }],
//!     plans: vec![Plan::default()], // without any quota
//!     limits: Limits { try_limit: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut node = Controller::new(7, settings);
//! let mut actions = Vec::new();
//! let server = Member { server: ServerId(4), state: MemberState::InService, ..Member::default() };
//! node.handle(1_000, Event::Members { kind: ListKind::Complete, entries: vec![server] }, &mut actions);
//! actions.clear();
//! let request = NewRequest {
//!     id: "r1".into(), customer: CustomerId(9), class: 0, plan: 0, units: 1.0,
//!     first_node: 0, spread: 1, marked_retry: false, due: 2_000_000,
//! };
//! node.handle(2_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(4), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod control;
pub mod interface;
pub mod measure;
pub mod memory;
mod ring;
pub mod schedule;
