//! Load of hostile clients against a daemon of its own: its peak memory, and how long another client is
//! served meanwhile.
//!
//! `cargo run --release -p ashtide-testkit --example hostile_clients -- DAEMON CLIENTS DESCRIPTORS`, where
//! DAEMON is the daemon's program, CLIENTS the number of hostile clients and DESCRIPTORS the daemon's limit.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Duration of the load of each form.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Interval between the requests of the client that is measured.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of bytes in a burst of lines.
const BURST_BYTES: usize = 30_000;

/// What a hostile client sends.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A request of 4,000 bytes without its end.
    HalfRequest,
    /// A request with 500 short fields, without its end.
    ManyFields,
    /// A request, one byte every 50 ms.
    SlowRequest,
    /// A line of 4,000 bytes without its end, on an established connection.
    HalfLine,
    /// `PING` lines at full speed.
    Pings,
    /// Short lines at full speed, on an established connection.
    Lines,
    /// A connection for each request, each with an unknown class and a new customer.
    NewNames,
}

const FORMS: [Form; 7] = [
    Form::HalfRequest,
    Form::ManyFields,
    Form::SlowRequest,
    Form::HalfLine,
    Form::Pings,
    Form::Lines,
    Form::NewNames,
];

impl Form {
    /// Sends the load of client `number` until the connection ends.
    async fn send(self, address: SocketAddr, number: usize) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(address).await?;
        let open = format!("OPEN {:x} 7 c=meter,d=3000,g={number:x}", number + (1 << 40));
        match self {
            Self::HalfRequest => {
                stream.write_all(format!("{open},x={}", "y".repeat(4000)).as_bytes()).await?
            }
            Self::ManyFields => stream.write_all(format!("{open}{}", ",a=b".repeat(500)).as_bytes()).await?,
            Self::SlowRequest => {
                for byte in format!("{open}\r\n").bytes() {
                    stream.write_all(&[byte]).await?;
                    sleep(PROBE_INTERVAL).await;
                }
            }
            Self::HalfLine => {
                establish(&mut stream, &open).await?;
                stream.write_all(&[b'z'; 4000]).await?;
            }
            Self::Pings => return exchange_lines(stream, "PING\r\n").await,
            Self::Lines => {
                establish(&mut stream, &open).await?;
                return exchange_lines(stream, "x\r\n").await;
            }
            Self::NewNames => return connect_with_new_names(address, number).await,
        }
        stream.read_to_end(&mut Vec::new()).await.map(|_| ())
    }
}

async fn establish(stream: &mut TcpStream, open: &str) -> std::io::Result<()> {
    stream.write_all(format!("{open}\r\n").as_bytes()).await?;
    stream.read(&mut [0; 64]).await.map(|_| ())
}

/// Writes a line at full speed and discards the answers.
async fn exchange_lines(stream: TcpStream, line: &str) -> std::io::Result<()> {
    let burst = line.repeat(BURST_BYTES / line.len());
    let (mut reader, mut writer) = stream.into_split();
    let discard = async {
        let mut buffer = vec![0; BURST_BYTES];
        while reader.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    let write = async {
        loop {
            writer.write_all(burst.as_bytes()).await?;
        }
    };
    tokio::select! {
        ended = discard => ended,
        ended = write => ended,
    }
}

async fn connect_with_new_names(address: SocketAddr, number: usize) -> std::io::Result<()> {
    for request in 0_u64.. {
        let mut stream = TcpStream::connect(address).await?;
        establish(
            &mut stream,
            &format!("OPEN {number:x}-{request:x} 7 c=class{request},t=t{request},d=3000"),
        )
        .await?;
    }
    Ok(())
}

/// Sends the load of all hostile clients. It has a thread of its own, so that it does not delay the client that
/// is measured.
fn send_load(form: Form, address: SocketAddr, clients: usize) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut load = JoinSet::new();
        for number in 0..clients {
            load.spawn(timeout(LOAD_DURATION, form.send(address, number)));
        }
        // A client whose connection is ended by the daemon is no failure of the load.
        load.join_all().await;
    });
    Ok(())
}

/// Requests connections until the load ends; returns the longest time from a request to its echoed line.
async fn longest_service(address: SocketAddr) -> Result<Duration, Box<dyn Error>> {
    let started_at = Instant::now();
    let mut longest = Duration::ZERO;
    for number in 0.. {
        if started_at.elapsed() >= LOAD_DURATION {
            break;
        }
        let requested_at = Instant::now();
        let (mut client, answer) = LineClient::open(address, number).await?;
        if answer.starts_with("UP ") {
            client.receives_echo("line").await?;
        }
        longest = longest.max(requested_at.elapsed());
        sleep(PROBE_INTERVAL).await;
    }
    Ok(longest)
}

/// Returns the peak memory of a process, as the system reports it.
fn peak_memory(daemon: &Daemon) -> Result<String, Box<dyn Error>> {
    let id = daemon.process_id().ok_or("the daemon has exited")?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    Ok(line.ok_or("no peak memory")?.trim().to_owned())
}

async fn measure(program: &Path, form: Form, clients: usize, sockets: usize) -> Result<(), Box<dyn Error>> {
    let backend = MockBackend::start(2).await?;
    let daemon = Daemon::start(program, &backend, &Options { sockets, ..Options::default() }).await?;
    let address = daemon.lines;
    let load = std::thread::spawn(move || send_load(form, address, clients));
    let longest = longest_service(address).await?;
    load.join().map_err(|_| "the load has panicked")??;
    println!(
        "{form:?}: {clients} clients, longest service {longest:?}, peak memory {}",
        peak_memory(&daemon)?
    );
    Ok(())
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, clients, sockets] = &arguments[..] else {
        return Err("usage: hostile_clients DAEMON CLIENTS DESCRIPTORS".into());
    };
    for form in FORMS {
        measure(Path::new(program), form, clients.parse()?, sockets.parse()?).await?;
    }
    Ok(())
}
