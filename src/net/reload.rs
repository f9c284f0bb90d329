//! Reload of the configuration on SIGHUP.

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

/// Source and destination of reloaded quotas.
pub struct QuotaReload {
    /// Path of the quota file.
    pub file: PathBuf,
    /// Quotas from the settings, for tenants that the quota file does not name.
    pub default_quotas: Vec<TenantQuota>,
    /// Event loop that receives the reloaded quotas.
    pub event_loop: EventLoopHandle,
}

impl QuotaReload {
    async fn reload(&self) {
        let file = self.file.clone();
        let default_quotas = self.default_quotas.clone();
        let read = tokio::task::spawn_blocking(move || Settings::read(&file, &default_quotas));
        match read.await {
            Ok(Ok(settings)) => {
                self.event_loop.send(DriverEvent::QuotasReloaded { settings: Box::new(settings) }).await
            }
            Ok(Err(error)) => info!("{}; the active quotas remain in use", QuotaError::with_help(error)),
            Err(error) => {
                info!("quota: cannot read the quota file: {error}; the active quotas remain in use")
            }
        }
    }
}

/// Reloads the configuration at each SIGHUP, on a thread other than the event loop's.
///
/// A new discovery address takes effect immediately. An invalid file changes nothing. Signals received during
/// a reload cause one further reload.
pub async fn reload_on_hangup(
    mut hangups: Signal,
    baseline: ReloadBaseline,
    discovery_address: watch::Sender<SocketAddr>,
    quota_reload: Option<QuotaReload>,
) {
    let baseline = Arc::new(baseline);
    while hangups.recv().await.is_some() {
        if let Some(quota_reload) = &quota_reload {
            quota_reload.reload().await;
        }
        let baseline = baseline.clone();
        let read =
            tokio::task::spawn_blocking(move || baseline.reload_from_file(|name| std::env::var(name).ok()));
        match read.await {
            Ok(Ok(reloaded)) => {
                let address_changed = discovery_address.send_if_modified(|address| {
                    std::mem::replace(address, reloaded.discovery_address) != reloaded.discovery_address
                });
                let change = if address_changed { "moves to" } else { "stays at" };
                info!("reload: discovery {change} {}", reloaded.discovery_address);
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
