//! Watches of the endpoint list: failed requests, ended watches, and a discovery service that moves or restarts.
//! The stub discovery forces the order of events; only the tested timeouts take real time.

mod client;
mod daemon;
mod engine;
mod harness;
mod herd;
mod lease;
