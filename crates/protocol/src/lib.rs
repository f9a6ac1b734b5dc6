//! What an edge node speaks to its peers, as types and codecs without I/O: the settings, a client's request,
//! the list of app servers, the counter's calls, and what an app server's answer means.
#![forbid(unsafe_code)]

pub mod classes;
pub mod counter;
pub mod list;
pub mod outcome;
pub mod request;
pub mod settings;
