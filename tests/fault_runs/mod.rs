//! Execution of fault plans in tests: few runs at a time, and a retry if the machine was too busy.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, TryLockError};
use std::time::Duration;

use ashtide_fault_injection::{FaultPlan, FaultRun, FaultRunError, run_plan};

/// One lock for each concurrent run. Runs are limited because each starts several processes and checks
/// delays.
static RUN_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
/// The number of tries for a run that the machine was too busy for.
const MAX_TRIES: usize = 8;

/// Waits for a free run slot and locks it.
pub fn acquire_run_slot() -> MutexGuard<'static, ()> {
    let try_slot = |slot: &'static Mutex<()>| match slot.try_lock() {
        Ok(guard) => Some(guard),
        Err(TryLockError::Poisoned(error)) => Some(error.into_inner()),
        Err(TryLockError::WouldBlock) => None,
    };
    loop {
        match RUN_SLOTS.iter().find_map(try_slot) {
            Some(guard) => return guard,
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Executes a plan with the daemon of this build. Retries while the harness was delayed for too long.
pub fn run_with_retries(plan: &FaultPlan) -> FaultRun {
    let _slot = acquire_run_slot();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for _ in 0..MAX_TRIES {
        match runtime.block_on(run_plan(Path::new(env!("CARGO_BIN_EXE_ashtide")), plan)) {
            Err(FaultRunError::HarnessDelayed { found_ms, .. }) => {
                println!("the harness was delayed for {found_ms} ms; running the plan again");
                std::thread::sleep(Duration::from_secs(3));
            }
            Err(error) => panic!("{error}; {}", error.help()),
            Ok(run) => return run,
        }
    }
    panic!(
        "the harness was delayed for too long in all {MAX_TRIES} tries: the machine is too busy for a verdict"
    )
}
