//! The rehearsal kit: scenarios, the load, edge nodes as processes, the conduct of a run, and its reports.
//!
//! The stand-ins are `pinerelay-standins`; what they saw is judged by `pinerelay-judge`.
#![forbid(unsafe_code)]

pub mod bench;
pub mod cli;
pub mod load;
pub mod nodes;
pub mod relay;
pub mod report;
pub mod run;
pub mod scenario;
pub mod site;
