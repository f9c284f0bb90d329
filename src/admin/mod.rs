//! Protocol of the admin endpoint: the requests of operators to a running gateway, and its responses.

pub mod protocol;
