//! Reads the configuration again on SIGHUP.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::info;

use super::report::{Handle, Report};

use crate::config::Standing;
use crate::facts::Allowance;
use crate::quota::{QuotaError, Settings};

/// Where quotas are read from, and who is told of them.
pub struct Quotas {
    /// The file.
    pub file: PathBuf,
    /// The settings' own, for where the file names none.
    pub customers: Vec<Allowance>,
    /// Who is told.
    pub core: Handle,
}

impl Quotas {
    async fn read(&self) {
        let (file, customers) = (self.file.clone(), self.customers.clone());
        let read = tokio::task::spawn_blocking(move || Settings::read(&file, &customers));
        match read.await {
            Ok(Ok(settings)) => self.core.tell(Report::Quotas(Box::new(settings))).await,
            Ok(Err(error)) => info!("{}; what runs is kept", QuotaError::told(error)),
            Err(error) => info!("quota: {error}; what runs is kept"),
        }
    }
}

/// Reads the file at each hang-up, off the thread that serves; `discovery` takes effect at once. A
/// file that cannot be used changes nothing, and hang-ups that come while one is read count as one.
pub async fn follow(
    mut hangups: Signal,
    standing: Standing,
    discovery: watch::Sender<SocketAddr>,
    quotas: Option<Quotas>,
) {
    let standing = Arc::new(standing);
    while hangups.recv().await.is_some() {
        if let Some(quotas) = &quotas {
            quotas.read().await;
        }
        let reading = standing.clone();
        let read = tokio::task::spawn_blocking(move || reading.read(|name| std::env::var(name).ok()));
        match read.await {
            Ok(Ok(reloaded)) => {
                let moved = discovery.send_if_modified(|address| {
                    std::mem::replace(address, reloaded.discovery) != reloaded.discovery
                });
                let what = if moved { "moves to" } else { "stays at" };
                info!("reload: discovery {what} {}", reloaded.discovery);
                for key in reloaded.restart {
                    info!("reload: {key} has changed and takes effect at a restart only");
                }
                for remark in reloaded.remarks {
                    info!("reload: {remark}");
                }
            }
            Ok(Err(error)) => info!("reload: {error}; what runs is kept"),
            Err(error) => info!("reload: {error}; what runs is kept"),
        }
    }
}
