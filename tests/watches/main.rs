//! Watches of the endpoint list: failed requests, ended watches, and a discovery service that restarts or
//! whose address changes. The mock discovery determines the order of events. Only the tested timeouts take
//! wall-clock time.

mod client;
mod daemon;
mod engine;
mod harness;
mod lease;
mod mass_reconnection;
