//! Types and codecs, without I/O, for what an edge node exchanges with its peers: the settings, a client's
//! request, the list of app servers, the counter's calls, and the outcome of an app server's answer.
#![forbid(unsafe_code)]

pub mod classes;
pub mod counter;
pub mod list;
pub mod outcome;
pub mod request;
pub mod settings;
