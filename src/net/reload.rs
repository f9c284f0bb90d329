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

/// Where quotas are read from, and where they go.
pub struct QuotaReload {
    /// The file.
    pub file: PathBuf,
    /// The settings' own quotas, for tenants that the file does not name.
    pub allowances: Vec<TenantQuota>,
    /// Where the quotas go.
    pub event_loop: EventLoopHandle,
}

impl QuotaReload {
    async fn reload(&self) {
        let file = self.file.clone();
        let allowances = self.allowances.clone();
        let read = tokio::task::spawn_blocking(move || Settings::read(&file, &allowances));
        match read.await {
            Ok(Ok(settings)) => {
                self.event_loop.send(DriverEvent::QuotasReloaded { settings: Box::new(settings) }).await
            }
            Ok(Err(error)) => info!("{}; keeping the quotas that are active", QuotaError::with_help(error)),
            Err(error) => {
                info!("quota: reading the file failed: {error}; keeping the quotas that are active")
            }
        }
    }
}

/// Reads the configuration at each hang-up signal, off the thread that serves. A new discovery address takes effect at
/// once. A file that cannot be used changes nothing, and signals that come while one is handled count as one.
pub async fn reload_on_hangup(
    mut hangups: Signal,
    running: ReloadBaseline,
    discovery: watch::Sender<SocketAddr>,
    quota_reload: Option<QuotaReload>,
) {
    let running = Arc::new(running);
    while hangups.recv().await.is_some() {
        if let Some(quota_reload) = &quota_reload {
            quota_reload.reload().await;
        }
        let compared_with = running.clone();
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
                for warning in reloaded.warnings {
                    info!("reload: {warning}");
                }
            }
            Ok(Err(error)) => info!("reload: {error}; keeping the configuration that is active"),
            Err(error) => info!("reload: {error}; keeping the configuration that is active"),
        }
    }
}
