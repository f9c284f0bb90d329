//! Fault injection into the system calls of a daemon.
//!
//! A shared library is built from `shim/system_faults.c` with the system's C compiler and preloaded into the
//! daemon's process.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const SOURCE: &str = include_str!("../shim/system_faults.c");

/// System calls to fail. A value of n makes every n-th call of its kind fail; 0 makes none fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SystemFaults {
    /// Interval of failing accepts. The failure is temporary, and the connection stays in the listen queue.
    pub accept: u32,
    /// Interval of connects that fail locally: no free port, no route or no buffer space.
    pub connect: u32,
    /// Interval of failing socket creations.
    pub socket: u32,
    /// Interval of socket reads and writes that transfer one byte only.
    pub short: u32,
    /// Interval of event waits that are interrupted by a signal.
    pub interrupt: u32,
    /// Interval of failing file writes, syncs and renames.
    pub disk: u32,
    /// Offset that is added to the wall clock, in milliseconds.
    pub clock_step_ms: i64,
    /// Time from the start of the process until the clock offset takes effect.
    pub clock_after: Duration,
}

/// Number of injected faults of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Number of failed accepts.
    pub accept: u64,
    /// Number of failed connects.
    pub connect: u64,
    /// Number of failed socket creations.
    pub socket: u64,
    /// Number of short reads and writes.
    pub short: u64,
    /// Number of interrupted waits.
    pub interrupt: u64,
    /// Number of failed file operations.
    pub disk: u64,
    /// Number of wall clock readings with the offset applied.
    pub clock: u64,
}

/// Environment that preloads the library into one process, and the file with its fault counts.
#[derive(Debug)]
pub struct Preload {
    /// Environment variables to set, as names and values.
    pub environment: Vec<(String, String)>,
    counts: PathBuf,
}

impl SystemFaults {
    /// Builds the library, once per test process, and returns the environment of one daemon with a path for
    /// its fault counts.
    ///
    /// # Errors
    ///
    /// Returns an error if the C compiler `cc` is missing or fails, or a file cannot be written.
    pub fn preload(&self) -> io::Result<Preload> {
        static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
        static PRELOADS: AtomicU32 = AtomicU32::new(0);
        let library = LIBRARY.get_or_init(|| build_library().map_err(|error| error.to_string()));
        let library = library.as_ref().map_err(|error| io::Error::other(error.clone()))?;
        let number = PRELOADS.fetch_add(1, Ordering::Relaxed);
        let counts = library.with_extension(format!("{number}.counts"));
        let path = |path: &Path| path.to_string_lossy().into_owned();
        let environment = [
            ("LD_PRELOAD", path(library)),
            ("ASHTIDE_FAULT_COUNTS", path(&counts)),
            ("ASHTIDE_FAULT_ACCEPT", self.accept.to_string()),
            ("ASHTIDE_FAULT_CONNECT", self.connect.to_string()),
            ("ASHTIDE_FAULT_SOCKET", self.socket.to_string()),
            ("ASHTIDE_FAULT_SHORT", self.short.to_string()),
            ("ASHTIDE_FAULT_INTERRUPT", self.interrupt.to_string()),
            ("ASHTIDE_FAULT_DISK", self.disk.to_string()),
            ("ASHTIDE_FAULT_CLOCK_STEP_MS", self.clock_step_ms.to_string()),
            ("ASHTIDE_FAULT_CLOCK_AFTER_MS", self.clock_after.as_millis().to_string()),
        ];
        let environment = environment.map(|(name, value)| (name.to_owned(), value)).into();
        Ok(Preload { environment, counts })
    }
}

impl Preload {
    /// Reads the number of faults injected so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has not started, or was started without this environment.
    pub fn counts(&self) -> io::Result<FaultCounts> {
        let bytes = std::fs::read(&self.counts)?;
        let mut numbers = bytes.chunks_exact(8).map(|bytes| {
            let bytes = bytes.try_into().expect("chunks of eight bytes");
            u64::from_ne_bytes(bytes)
        });
        let mut next =
            || numbers.next().ok_or_else(|| io::Error::other("the file of fault counts is truncated"));
        Ok(FaultCounts {
            accept: next()?,
            connect: next()?,
            socket: next()?,
            short: next()?,
            interrupt: next()?,
            disk: next()?,
            clock: next()?,
        })
    }
}

impl Drop for Preload {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.counts);
    }
}

/// Builds the library in a folder of its own for this process and returns the library's path.
fn build_library() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("ashtide-faults-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (source, library) = (folder.join("system_faults.c"), folder.join("system_faults.so"));
    std::fs::write(&source, SOURCE)?;
    let output = Command::new("cc")
        .args(["-std=gnu11", "-Wall", "-Werror", "-O1", "-fPIC", "-shared", "-o"])
        .args([&library, &source])
        .arg("-ldl")
        .output()?;
    if output.status.success() {
        Ok(library)
    } else {
        Err(io::Error::other(format!("cc: {}", String::from_utf8_lossy(&output.stderr))))
    }
}
