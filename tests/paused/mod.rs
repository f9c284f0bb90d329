//! A runtime whose clock stands still until a test moves it.

/// Runs a test on it.
pub fn with_paused_time<F: Future>(test: F) -> F::Output {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_time().start_paused(true).build().expect("a runtime").block_on(test)
}
