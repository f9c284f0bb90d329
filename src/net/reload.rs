//! Reads the configuration again on SIGHUP.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::info;

use super::messages::{DriverEvent, EventLoopHandle};

use crate::config::ReloadBaseline;
use crate::fleet::quota::{QuotaError, Settings};
use crate::settings::TenantQuota;

/// Where quotas are read from, and who is told of them.
pub struct QuotaReload {
    /// The file.
    pub file: PathBuf,
    /// The settings' own, for where the file names none.
    pub allowances: Vec<TenantQuota>,
    /// Who is told.
    pub event_loop: EventLoopHandle,
}

impl QuotaReload {
    async fn reload(&self) {
        let (file, allowances) = (self.file.clone(), self.allowances.clone());
        let read = tokio::task::spawn_blocking(move || Settings::read(&file, &allowances));
        match read.await {
            Ok(Ok(settings)) => self.event_loop.send(DriverEvent::QuotasReloaded(Box::new(settings))).await,
            Ok(Err(error)) => info!("{}; what runs is kept", QuotaError::with_help(error)),
            Err(error) => info!("quota: {error}; what runs is kept"),
        }
    }
}

/// Reads the file at each hang-up, off the thread that serves; `discovery` takes effect at once. A
/// file that cannot be used changes nothing, and hang-ups that come while one is read count as one.
pub async fn reload_on_hangup(
    mut hangups: Signal,
    running: ReloadBaseline,
    discovery: watch::Sender<SocketAddr>,
    quota_reload: Option<QuotaReload>,
) {
    let standing = Arc::new(running);
    while hangups.recv().await.is_some() {
        if let Some(quotas) = &quota_reload {
            quotas.reload().await;
        }
        let compared_with = standing.clone();
        let read = tokio::task::spawn_blocking(move || {
            compared_with.reload_from_file(|name| std::env::var(name).ok())
        });
        match read.await {
            Ok(Ok(reloaded)) => {
                let moved = discovery.send_if_modified(|address| {
                    std::mem::replace(address, reloaded.discovery_address) != reloaded.discovery_address
                });
                let what = if moved { "moves to" } else { "stays at" };
                info!("reload: discovery {what} {}", reloaded.discovery_address);
                for key in reloaded.keys_needing_restart {
                    info!("reload: {key} has changed and takes effect at a restart only");
                }
                for remark in reloaded.warnings {
                    info!("reload: {remark}");
                }
            }
            Ok(Err(error)) => info!("reload: {error}; what runs is kept"),
            Err(error) => info!("reload: {error}; what runs is kept"),
        }
    }
}
