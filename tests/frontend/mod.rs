//! Sessions of the line protocol on loopback, with the test in the place of the event loop and of the server.

use std::sync::Arc;
use std::time::Duration;

use ashtide::config::Capacity;
use ashtide::metrics::Metrics;
use ashtide::net::messages::{
    CommandSender, DriverEvent, EventLoopHandle, RequestCommand, SessionCommand, SessionEvent,
};
use ashtide::net::pending_clients::PendingClients;
use ashtide::net::session::{Frontend, Timeouts};
use ashtide::{RequestId, Span};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Whatever takes longer has failed.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on connecting to a server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
pub const OPEN_LINE: &str = "OPEN 1 2 c=meter,d=3000\r\n";

/// Where clients come, with the test in the event loop's place.
pub struct SessionHarness {
    pub frontend: Frontend,
    pub events: mpsc::Receiver<DriverEvent>,
    pub metrics: Arc<Metrics>,
    pub listener: TcpListener,
    pub server: TcpListener,
}

/// A request, and where its commands go.
pub struct ClientRequest {
    pub id: RequestId,
    pub commands: CommandSender,
}

/// A client whose request has an attempt at a server.
pub struct ClientWithAttempt {
    pub client: TcpStream,
    pub id: RequestId,
    pub commands: CommandSender,
    /// The server's end of the attempt.
    pub server: TcpStream,
}

impl SessionHarness {
    pub async fn new(capacity: Capacity) -> Self {
        let metrics = Arc::new(Metrics::new(&["meter".to_owned()]));
        let (sender, events) = mpsc::channel(64);
        let handle = EventLoopHandle::new(metrics.clone(), sender);
        let frontend = Frontend::new(
            PendingClients::new(capacity),
            Timeouts { connect: CONNECT_TIMEOUT },
            handle,
            watch::channel(None).1,
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self { frontend, events, metrics, listener, server }
    }

    /// A client that has been accepted, and whose bytes have had the time to arrive.
    pub async fn connect_client(&self, sends: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.listener.local_addr().expect("bound")).await.expect("taken");
        let (theirs, _) = self.listener.accept().await.expect("there");
        let slot = self.frontend.pending_clients.add().slot;
        tokio::spawn(self.frontend.clone().serve_client(theirs, slot));
        client.write_all(sends.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(5)).await;
        client
    }

    pub async fn next_event(&mut self) -> SessionEvent {
        match timeout(STEP_TIMEOUT, self.events.recv()).await.expect("an event").expect("sessions") {
            DriverEvent::Session(event) => event,
            other => panic!("not of a session: {other:?}"),
        }
    }

    /// The request that a client has made, and where its commands go.
    pub async fn next_request(&mut self) -> ClientRequest {
        match self.next_event().await {
            SessionEvent::ConnectionRequested { id, commands, .. } => ClientRequest { id, commands },
            other => panic!("{other:?}"),
        }
    }

    pub fn attempt_command(&self, number: u32) -> SessionCommand {
        let address = self.server.local_addr().expect("bound");
        SessionCommand::StartAttempt { attempt: number, address, timeout: Span::from_micros(1_000_000) }
    }

    /// The attempt as the server gets it; its line has been read.
    pub async fn accept_attempt(&self) -> TcpStream {
        let (mut stream, _) =
            timeout(STEP_TIMEOUT, self.server.accept()).await.expect("an attempt").expect("there");
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(timeout(STEP_TIMEOUT, stream.read_u8()).await.expect("its line").expect("whole"));
        }
        assert!(line.starts_with(b"OPEN 1 2 c=meter,d="), "{}", String::from_utf8_lossy(&line));
        stream
    }

    /// Expects the session to report that this attempt has connected; it has written nothing yet.
    pub async fn expect_connected(&mut self, id: RequestId, number: u32) {
        match self.next_event().await {
            SessionEvent::AttemptConnected { id: connected, attempt } => {
                assert_eq!((connected, attempt), (id, number));
            }
            other => panic!("{other:?}"),
        }
    }

    /// Has an attempt made, as the event loop does it; the server's end of it.
    pub async fn start_attempt(&mut self, id: RequestId, commands: &CommandSender, number: u32) -> TcpStream {
        send_command(commands, id, self.attempt_command(number));
        self.expect_connected(id, number).await;
        send_command(commands, id, SessionCommand::SendFirstLine { attempt: number });
        self.accept_attempt().await
    }

    /// A client that has asked, its request with the first attempt in flight, and the server's end of that.
    pub async fn client_with_attempt(&mut self) -> ClientWithAttempt {
        let client = self.connect_client(OPEN_LINE).await;
        let ClientRequest { id, commands } = self.next_request().await;
        let server = self.start_attempt(id, &commands, 0).await;
        ClientWithAttempt { client, id, commands, server }
    }

    pub fn closed_count(&self, cause: &str) -> u64 {
        let name = format!("router_closed_{cause}_total ");
        let text = self.metrics.render("");
        let value = text.lines().find_map(|line| line.strip_prefix(&name));
        value.and_then(|value| value.parse().ok()).expect("a counter")
    }
}

pub const AMPLE_CAPACITY: Capacity = Capacity { descriptors: 64, max_sessions: 16 };

/// Sends a session one command, as the event loop does.
pub fn send_command(sender: &CommandSender, id: RequestId, command: SessionCommand) {
    sender.try_send(RequestCommand { id, command }).expect("room");
}

/// All that comes before a clean end; an error where the end is a reset.
pub async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut received = String::new();
    timeout(STEP_TIMEOUT, stream.read_to_string(&mut received)).await.expect("an end")?;
    Ok(received)
}
