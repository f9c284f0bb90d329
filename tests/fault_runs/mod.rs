//! How the tests of the rig play a plan: few at a time, and once more where the machine was too busy.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, TryLockError};
use std::time::Duration;

use ashtide_fault_injection::{FaultPlan, FaultRun, FaultRunError, run_plan};

/// Plays that run at the same time: each has some processes, and is judged by what comes late.
static TURNS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
/// How often a play is tried that the machine was too busy for.
const TRIES: usize = 8;

/// Waits until few enough play.
pub fn turn() -> MutexGuard<'static, ()> {
    let free = |turn: &'static Mutex<()>| match turn.try_lock() {
        Ok(turn) => Some(turn),
        Err(TryLockError::Poisoned(turn)) => Some(turn.into_inner()),
        Err(TryLockError::WouldBlock) => None,
    };
    loop {
        match TURNS.iter().find_map(free) {
            Some(turn) => return turn,
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Plays a plan with this daemon.
pub fn played(plan: &FaultPlan) -> FaultRun {
    let _turn = turn();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for _ in 0..TRIES {
        match runtime.block_on(run_plan(Path::new(env!("CARGO_BIN_EXE_ashtide")), plan)) {
            Err(FaultRunError::HarnessDelayed { found_ms, .. }) => {
                println!("once more: the rig was late for {found_ms} ms");
                std::thread::sleep(Duration::from_secs(3));
            }
            Err(error) => panic!("{error}; {}", error.help()),
            Ok(played) => return played,
        }
    }
    panic!("the machine is too busy to judge by")
}
