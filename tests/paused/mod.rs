//! Runtime with a paused clock, which advances only if the test advances it or all tasks wait for timers.

/// Runs a test on a single-threaded runtime with a paused clock.
pub fn with_paused_time<F: Future>(test: F) -> F::Output {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_time().start_paused(true).build().expect("a runtime").block_on(test)
}
