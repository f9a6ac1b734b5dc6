//! Hostile input: generated and mutated bytes for every reader of what comes from outside.
//!
//! A [`reader::Reader`] makes an input from a seed and checks what comes of it; [`run`] plays many, catches panics, counts
//! allocations, and [`apart`] plays them in processes of their own, as an overflow of the stack can't be caught.

pub mod apart;
pub mod http;
pub mod json_text;
pub mod mutate;
pub mod proxy;
pub mod random;
pub mod reader;
pub mod readers;
pub mod run;
pub mod script;
pub mod speeches;
