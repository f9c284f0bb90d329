//! Handover of a gateway from one process to the next. Siblings connect over Unix sockets in `$TMPDIR` and
//! exchange their state. A state file in the same folder persists state across processes.
//!
//! The messages and the file's contents are defined in [`crate::handover`].

mod clock;
mod connections;
mod discovery;
mod link;
mod state_folder;

use std::fs::File;
use std::os::fd::AsFd;
use std::os::unix::fs::MetadataExt;

use tokio::net::TcpListener;

pub use clock::{CLOCK_OFFSET_VARIABLE, unix_micros};
pub use connections::{SiblingContext, start};
pub use discovery::{DiscoveredSiblings, discover_siblings};
pub use link::{PublishedState, SiblingLink};
pub use state_folder::StateFolder;

use crate::config::Config;
use crate::handover::Deployment;

/// Returns the deployment of a process with this configuration and client listener.
pub fn describe_deployment(config: &Config, listener: &TcpListener) -> Deployment {
    let names = config.settings.name_tables();
    let (listen_address, listener_inode) = match config.inherited_listener {
        Some(_) => (listener.local_addr().ok(), inode_of(listener)),
        None => (Some(config.listen_address).filter(|address| address.port() != 0), None),
    };
    Deployment {
        name: config.name.clone(),
        listen_address,
        listener_inode,
        classes: names.classes.names().iter().cloned().collect(),
        tenants: names.tenants.names().iter().cloned().collect(),
    }
}

/// Returns the inode of a listener's socket, which is the same in all processes that have inherited it.
fn inode_of(listener: &TcpListener) -> Option<u64> {
    let duplicate = listener.as_fd().try_clone_to_owned().ok()?;
    Some(File::from(duplicate).metadata().ok()?.ino())
}
