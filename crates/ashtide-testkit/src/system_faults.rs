//! System calls of a daemon that fail: a library of our own, built from `shim/system_faults.c` with the system's C
//! compiler and preloaded into the daemon's process.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const SOURCE: &str = include_str!("../shim/system_faults.c");

/// Which calls fail. Each number n makes every n-th call of its kind fail; 0 makes none fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SystemFaults {
    /// Accepting a connection fails for a moment; the connection stays in the queue.
    pub accept: u32,
    /// Connecting fails on this machine: no port, no route, no buffer.
    pub connect: u32,
    /// No socket can be had.
    pub socket: u32,
    /// A read or write of a socket moves one byte.
    pub short: u32,
    /// A wait for events is interrupted.
    pub interrupt: u32,
    /// A write, sync or rename of a file fails.
    pub disk: u32,
    /// The wall clock is off by so many milliseconds...
    pub clock_step_ms: i64,
    /// ...from so long after the start of the process on.
    pub clock_after: Duration,
}

/// How often each fault has come about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Failed accepts.
    pub accept: u64,
    /// Failed connects.
    pub connect: u64,
    /// Sockets that could not be had.
    pub socket: u64,
    /// Short reads and writes.
    pub short: u64,
    /// Interrupted waits.
    pub interrupt: u64,
    /// Failed operations on files.
    pub disk: u64,
    /// Readings of a wall clock that was off.
    pub clock: u64,
}

/// What the environment of one process is given, and where it counts.
#[derive(Debug)]
pub struct Preload {
    /// Names and values to set in the environment.
    pub environment: Vec<(String, String)>,
    counts: PathBuf,
}

impl SystemFaults {
    /// Builds the library, once a process, and makes a file for the counts of one daemon.
    ///
    /// # Errors
    ///
    /// Fails where there is no C compiler `cc`, or a file cannot be written.
    pub fn preload(&self) -> io::Result<Preload> {
        static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
        static PRELOADS: AtomicU32 = AtomicU32::new(0);
        let library = LIBRARY.get_or_init(|| build().map_err(|error| error.to_string()));
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
    /// How often each fault has come about so far.
    ///
    /// # Errors
    ///
    /// Fails where the process has not started, or was started without this environment.
    pub fn counts(&self) -> io::Result<FaultCounts> {
        let bytes = std::fs::read(&self.counts)?;
        let mut numbers = bytes.chunks_exact(8).map(|bytes| {
            let bytes = bytes.try_into().expect("chunks of eight bytes");
            u64::from_ne_bytes(bytes)
        });
        let mut next = || {
            numbers.next().ok_or_else(|| io::Error::other("the file of counts is shorter than the counts"))
        };
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

/// Builds the library in a folder of this process's own.
fn build() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("ashtide-faults-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (source, library) = (folder.join("system_faults.c"), folder.join("system_faults.so"));
    std::fs::write(&source, SOURCE)?;
    let built = Command::new("cc")
        .args(["-std=gnu11", "-Wall", "-Werror", "-O1", "-fPIC", "-shared", "-o"])
        .args([&library, &source])
        .arg("-ldl")
        .output()?;
    if built.status.success() {
        Ok(library)
    } else {
        Err(io::Error::other(format!("cc: {}", String::from_utf8_lossy(&built.stderr))))
    }
}
