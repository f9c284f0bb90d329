//! The admin endpoint's protocol: what operators may ask of a running gateway, and the answers.

pub mod protocol;
