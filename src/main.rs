//! The daemon: one balancer on sockets.

use std::process::ExitCode;

use ashtide::config::Config;
use ashtide::net::core::{Core, Report, duration};
use ashtide::net::{discovery, listen, session};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("ashtide: {problem}");
            ExitCode::from(2)
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::read(|name| std::env::var(name).ok())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(config))
}

async fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    // One call asked for while another runs: the queue's one place says so.
    let (subscribe, subscriptions) = mpsc::channel(1);
    let (core, handle) = Core::new(&config, subscribe)?;
    let listener = listen::bind(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?;
    let sessions = config.limits.sessions();
    eprintln!("ashtide: {} listens on {}, at most {sessions} clients", config.name, config.listen);
    let after = config.known.as_ref().map_or(0, |known| known.index);
    tokio::spawn(discovery::follow(config.discovery, after, subscriptions, handle.clone()));
    let times = session::Times { connect: duration(config.facts.connect_timeout()) };
    tokio::spawn(listen::serve(listener, sessions, times, handle.clone()));
    let grace = config.grace;
    tokio::spawn(async move {
        if terminate.recv().await.is_some() {
            eprintln!("ashtide: asked to stop, leaving within {} ms", grace.as_millis());
            handle.tell(Report::Leave(grace)).await;
        }
    });
    core.run(config.known).await;
    eprintln!("ashtide: left");
    Ok(())
}
