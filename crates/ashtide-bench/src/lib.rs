//! The laboratory: what the product does at large size, measured by commands that anyone can repeat.
//!
//! Its studies of the client library run in virtual time ([`wave`], [`storm`]), over sockets against the
//! real daemon ([`real`]), or on the core alone ([`cost`]). The same seed gives the same figures in virtual
//! time. The site in [`world`] is a model, stated there; it compares clients with each other and says
//! nothing of any real site.

pub mod cost;
pub mod naive;
pub mod real;
pub mod storm;
pub mod wave;
pub mod world;
