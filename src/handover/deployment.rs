//! Identity of a deployment. Processes use it to recognize the messages and state files that concern them.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of the deployment that a process, its messages and its state file belong to.
///
/// Several deployments may share a state folder, even with the same gateway name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Deployment {
    /// Full name of the gateway. File names contain it with some characters replaced, so that different names
    /// may have the same file name.
    pub name: String,
    /// Address of the client listener; `None` if the system chose the port.
    #[serde(rename = "listen")]
    pub listen_address: Option<SocketAddr>,
    /// Inode of the client listener's socket; `None` if the listener is not inherited.
    #[serde(rename = "socket")]
    pub listener_inode: Option<u64>,
    /// Names of the classes that the settings define.
    pub classes: BTreeSet<String>,
    /// Names of the tenants that the settings define.
    pub tenants: BTreeSet<String>,
}

impl Deployment {
    /// Checks whether both identify the same deployment, so that each may use what the other has sent or
    /// stored.
    ///
    /// The rules apply in this order:
    ///
    /// 1. Different names mean different deployments, because a gateway has the same name after a restart.
    /// 2. A shared inherited listener means the same deployment: the processes have the same clients,
    ///    regardless of what else an upgrade changes. The addresses are compared along with the inodes, as an
    ///    inode number may be reused.
    /// 3. Different listener addresses mean different deployments: only one deployment can listen on an
    ///    address, and an upgrade does not change it.
    /// 4. Deployments without a common tenant serve different customers and are different. If one of them
    ///    defines no tenants, the classes are compared instead. One common name suffices, because an upgrade
    ///    may add, remove or rename others.
    ///
    /// State without a deployment, as older versions wrote it, is not compared here: it is always used, so
    /// that an upgrade does not lose the cordons of operators.
    pub fn is_same_deployment(&self, other: &Self) -> bool {
        if self.name != other.name {
            return false;
        }
        if self.shares_listener_with(other) {
            return true;
        }
        !self.has_other_address_than(other) && self.may_share_clients_with(other)
    }

    fn shares_listener_with(&self, other: &Self) -> bool {
        self.listen_address == other.listen_address
            && self.listener_inode.is_some()
            && self.listener_inode == other.listener_inode
    }

    fn has_other_address_than(&self, other: &Self) -> bool {
        let both_addresses = self.listen_address.zip(other.listen_address);
        both_addresses.is_some_and(|(own_address, other_address)| own_address != other_address)
    }

    fn may_share_clients_with(&self, other: &Self) -> bool {
        have_common_name(&self.tenants, &other.tenants)
            .or(have_common_name(&self.classes, &other.classes))
            .unwrap_or(true)
    }
}

/// Checks whether two sets of names overlap; returns `None` if either is empty.
fn have_common_name(first: &BTreeSet<String>, second: &BTreeSet<String>) -> Option<bool> {
    let both_defined = !first.is_empty() && !second.is_empty();
    both_defined.then(|| !first.is_disjoint(second))
}

impl fmt::Display for Deployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "'{}'", self.name)?;
        self.listen_address.map_or(Ok(()), |address| write!(formatter, " on {address}"))
    }
}
