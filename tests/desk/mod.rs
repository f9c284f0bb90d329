//! Sessions of the lines front on loopback, with the test in the place of their core and of their server.

use std::sync::Arc;
use std::time::Duration;

use ashtide::config::Room;
use ashtide::figures::Figures;
use ashtide::net::lobby::Lobby;
use ashtide::net::report::{Command, Handle, Port, Report};
use ashtide::net::session::{Front, Times};
use ashtide::{RequestId, Span};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Whatever takes longer has failed.
pub const STEP: Duration = Duration::from_secs(5);
/// When connections are given up here.
pub const CONNECT: Duration = Duration::from_millis(60);
pub const ASKS: &str = "OPEN 1 2 c=meter,d=3000\r\n";

/// Where clients come, with the test in the core's place.
pub struct Desk {
    pub front: Front,
    pub reports: mpsc::Receiver<Report>,
    pub figures: Arc<Figures>,
    pub listener: TcpListener,
    pub server: TcpListener,
}

impl Desk {
    pub async fn new(room: Room) -> Self {
        let figures = Arc::new(Figures::new(&["meter".to_owned()]));
        let (sender, reports) = mpsc::channel(64);
        let handle = Handle::new(figures.clone(), sender);
        let front = Front::new(Lobby::new(room), Times { connect: CONNECT }, handle, watch::channel(None).1);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self { front, reports, figures, listener, server }
    }

    /// A client that has been taken in and has had the time to say what it sends here.
    pub async fn client(&self, says: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.listener.local_addr().expect("bound")).await.expect("taken");
        let (theirs, _) = self.listener.accept().await.expect("there");
        let (place, _) = self.front.lobby.enter();
        tokio::spawn(self.front.clone().meet(theirs, place));
        client.write_all(says.as_bytes()).await.expect("heard");
        tokio::time::sleep(Duration::from_millis(5)).await;
        client
    }

    pub async fn report(&mut self) -> Report {
        timeout(STEP, self.reports.recv()).await.expect("a report").expect("sessions")
    }

    /// The request that a client has made.
    pub async fn request(&mut self) -> (RequestId, Port) {
        match self.report().await {
            Report::Request(id, _, port) => (id, port),
            other => panic!("{other:?}"),
        }
    }

    pub fn attempt(&self, number: u32) -> Command {
        let address = self.server.local_addr().expect("bound");
        Command::Attempt { attempt: number, address, timeout: Span::from_micros(1_000_000) }
    }

    /// The attempt as the server gets it; its line has been read.
    pub async fn arrived(&self) -> TcpStream {
        let (mut stream, _) = timeout(STEP, self.server.accept()).await.expect("an attempt").expect("there");
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(timeout(STEP, stream.read_u8()).await.expect("its line").expect("whole"));
        }
        assert!(line.starts_with(b"OPEN 1 2 c=meter,d="), "{}", String::from_utf8_lossy(&line));
        stream
    }

    /// The session reports that this attempt's connection has come up, and has written nothing on it.
    pub async fn connected(&mut self, id: RequestId, number: u32) {
        let report = self.report().await;
        assert!(matches!(report, Report::Connected(it, which) if (it, which) == (id, number)), "{report:?}");
    }

    /// Has an attempt made, as the core does it; the server's end of it.
    pub async fn send(&mut self, id: RequestId, port: &Port, number: u32) -> TcpStream {
        port.try_send((id, self.attempt(number))).expect("room");
        self.connected(id, number).await;
        port.try_send((id, Command::Begin { attempt: number })).expect("room");
        self.arrived().await
    }

    /// A client that has asked, its request with the first attempt out, and the server's end of that.
    pub async fn attempted(&mut self) -> (TcpStream, RequestId, Port, TcpStream) {
        let client = self.client(ASKS).await;
        let (id, port) = self.request().await;
        let server = self.send(id, &port, 0).await;
        (client, id, port, server)
    }

    pub fn closed(&self, cause: &str) -> u64 {
        let name = format!("router_closed_{cause}_total ");
        let text = self.figures.text("");
        let value = text.lines().find_map(|line| line.strip_prefix(&name));
        value.and_then(|value| value.parse().ok()).expect("counted at the door")
    }
}

pub const WIDE: Room = Room { sockets: 64, sessions: 16 };

/// All that comes before a clean end; an error where the end is a reset.
pub async fn all(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut said = String::new();
    timeout(STEP, stream.read_to_string(&mut said)).await.expect("an end")?;
    Ok(said)
}
