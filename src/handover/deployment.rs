//! Identity of a deployment.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies the deployment that a process, its messages and its state file belong to.
///
/// Several deployments may share a folder, also under one gateway name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Deployment {
    /// Full name of the gateway; in file names some of its characters are replaced.
    pub name: String,
    /// Address of the client listener; `None` where the system chose the port.
    #[serde(rename = "listen")]
    pub listen_address: Option<SocketAddr>,
    /// Inode of the client listener, where it is inherited.
    #[serde(rename = "socket")]
    pub listener_inode: Option<u64>,
    /// Classes that the settings define.
    pub classes: BTreeSet<String>,
    /// Tenants that the settings define.
    pub tenants: BTreeSet<String>,
}

impl Deployment {
    /// Whether both are one deployment, so that each may use what the other has sent or stored.
    ///
    /// - The name stays the same over restarts: another name is another deployment.
    /// - Processes that share a listener have the same clients, whatever else an upgrade changes.
    /// - Only one deployment can have an address, and an upgrade keeps it: another address is another deployment.
    /// - Deployments without a common tenant serve different customers. Where one of them names no tenants, the
    ///   classes decide. One common name is enough, as names may be added, removed or changed.
    ///
    /// State without a deployment, as older versions wrote it, is not compared here: it is always used, so that an
    /// upgrade does not lose the cordons of operators.
    pub fn is_same_deployment(&self, other: &Self) -> bool {
        if self.name != other.name {
            return false;
        }
        if self.shares_listener_with(other) {
            return true;
        }
        !self.listens_elsewhere_than(other) && self.may_have_clients_of(other)
    }

    fn shares_listener_with(&self, other: &Self) -> bool {
        self.listen_address == other.listen_address
            && self.listener_inode.is_some()
            && self.listener_inode == other.listener_inode
    }

    fn listens_elsewhere_than(&self, other: &Self) -> bool {
        self.listen_address.zip(other.listen_address).is_some_and(|(own, others)| own != others)
    }

    fn may_have_clients_of(&self, other: &Self) -> bool {
        have_common_name(&self.tenants, &other.tenants)
            .or(have_common_name(&self.classes, &other.classes))
            .unwrap_or(true)
    }
}

/// Whether two sets of names overlap; `None` where one of them is empty.
fn have_common_name(first: &BTreeSet<String>, second: &BTreeSet<String>) -> Option<bool> {
    let both_known = !first.is_empty() && !second.is_empty();
    both_known.then(|| !first.is_disjoint(second))
}

impl fmt::Display for Deployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "'{}'", self.name)?;
        self.listen_address.map_or(Ok(()), |address| write!(formatter, " on {address}"))
    }
}
