//! Server lists from files: reading, validation, merging and comparison. A list is accepted completely or
//! rejected completely.
//!
//! ```
//! use ashtide_endpoints::{Fragment, Generation, Limits};
//!
//! let text = r#"
//!     version = 1
//!     [networks]
//!     allow = ["10.1.0.0/16"]
//!     [[servers]]
//!     name = "s-1"
//!     address = "10.1.0.18:8443"
//!     weight = 2.0
//! "#;
//! let fragment = Fragment::read("servers.toml", text.as_bytes(), &Limits::default()).unwrap();
//! let list = Generation::default().next(&[fragment], &Limits::default()).unwrap();
//! assert_eq!(list.servers().count(), 1);
//!
//! let wrong = text.replace("10.1.0.18", "10.9.0.18");
//! let problems = Fragment::read("servers.toml", wrong.as_bytes(), &Limits::default()).unwrap_err();
//! assert!(problems.to_string().contains("/servers/0/address: found '10.9.0.18:8443'"));
//! ```
//!
//! The steps are:
//!
//! 1. [`Fragment::read`] parses one file, validates it against the JSON Schema and checks the rules that a
//!    schema cannot express.
//! 2. [`Generation::next`] merges the fragments of all files and checks the rules across files.
//! 3. [`Generation::difference`] compares two generations.
//!
//! [`Store`] stores generations on disk. This crate does not watch files and does not read a clock.

mod document;
mod generation;
mod problem;
mod rules;
mod store;
mod value;

pub use document::{Defaults, Document, Entry, Networks, Status, schema};
pub use generation::{Difference, Generation, Server};
pub use problem::{MAX_PROBLEMS, Problem, Problems};
pub use rules::{Fragment, Limits, MAX_FILE_BYTES, MAX_FRAGMENTS, MAX_SERVERS};
pub use store::{MAX_STORED_GENERATIONS, Store, StoreError};
