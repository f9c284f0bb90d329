//! Benchmarks and simulations of the client library, each run by a command and repeatable.
//!
//! Studies of the client library run in virtual time ([`reconnect_burst`], [`fault_comparison`]), over
//! sockets against the daemon ([`live`]), or on the client core alone ([`cost`]). In virtual time the same
//! seed gives the same figures. The deployment in [`simulation`] is a model, described there. It compares
//! clients with each other and doesn't predict the behaviour of any real deployment.

pub mod baseline;
pub mod cost;
pub mod fault_comparison;
pub mod live;
pub mod reconnect_burst;
pub mod simulation;
