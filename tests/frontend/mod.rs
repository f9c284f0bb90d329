//! Harness for sessions of the line protocol on loopback, in which the test acts as the event loop and as the
//! server.

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

/// Time limit of each step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of connecting to a server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// First line of a client, which requests a connection.
pub const OPEN_LINE: &str = "OPEN 1 2 c=meter,d=3000\r\n";

/// Front end whose events are received by the test in place of the event loop.
pub struct SessionHarness {
    pub frontend: Frontend,
    /// Events from the front end's sessions to the event loop.
    pub events: mpsc::Receiver<DriverEvent>,
    pub metrics: Arc<Metrics>,
    /// Listener that accepts clients.
    pub listener: TcpListener,
    /// Listener that accepts the front end's attempts.
    pub server: TcpListener,
}

/// Request of a client, and the sender for the commands to its session.
pub struct ClientRequest {
    pub id: RequestId,
    pub commands: CommandSender,
}

/// Client whose request has an attempt in flight.
pub struct ClientWithAttempt {
    pub client: TcpStream,
    pub id: RequestId,
    pub commands: CommandSender,
    /// Server's end of the attempt.
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
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self { frontend, events, metrics, listener, server }
    }

    /// Connects a client that sends `text`, and waits until the front end has had time to receive it.
    pub async fn connect_client(&self, text: &str) -> TcpStream {
        let address = self.listener.local_addr().expect("the listener is bound");
        let mut client = TcpStream::connect(address).await.expect("the client connects");
        let (accepted, _) = self.listener.accept().await.expect("the client is accepted");
        let slot = self.frontend.pending_clients.add().slot;
        tokio::spawn(self.frontend.clone().serve_client(accepted, slot));
        client.write_all(text.as_bytes()).await.expect("the text is sent");
        tokio::time::sleep(Duration::from_millis(5)).await;
        client
    }

    /// Waits for the next event of a session.
    pub async fn next_event(&mut self) -> SessionEvent {
        let event = timeout(STEP_TIMEOUT, self.events.recv()).await;
        match event.expect("an event in time").expect("the channel is open") {
            DriverEvent::Session(event) => event,
            other => panic!("expected an event of a session, found {other:?}"),
        }
    }

    /// Waits for the next event, which has to be the request of a client.
    pub async fn next_request(&mut self) -> ClientRequest {
        match self.next_event().await {
            SessionEvent::ConnectionRequested { id, commands, .. } => ClientRequest { id, commands },
            other => panic!("expected a request, found {other:?}"),
        }
    }

    /// Returns the command that starts an attempt at the server.
    pub fn attempt_command(&self, attempt: u32) -> SessionCommand {
        let address = self.server.local_addr().expect("the listener is bound");
        SessionCommand::StartAttempt { attempt, address, timeout: Span::from_micros(1_000_000) }
    }

    /// Accepts an attempt as the server, reads its first line, and returns the server's end.
    pub async fn accept_attempt(&self) -> TcpStream {
        let accepted = timeout(STEP_TIMEOUT, self.server.accept()).await.expect("an attempt in time");
        let (mut stream, _) = accepted.expect("the attempt is accepted");
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let byte = timeout(STEP_TIMEOUT, stream.read_u8()).await.expect("the first line in time");
            line.push(byte.expect("a complete line"));
        }
        assert!(line.starts_with(b"OPEN 1 2 c=meter,d="), "{}", String::from_utf8_lossy(&line));
        stream
    }

    /// Expects the session to report that this attempt has connected; the session has not sent the first line
    /// yet.
    pub async fn expect_connected(&mut self, id: RequestId, number: u32) {
        match self.next_event().await {
            SessionEvent::AttemptConnected { id: connected, attempt } => {
                assert_eq!((connected, attempt), (id, number));
            }
            other => panic!("expected a connected attempt, found {other:?}"),
        }
    }

    /// Starts an attempt with the commands that the event loop sends, and returns the server's end of it.
    pub async fn start_attempt(&mut self, id: RequestId, commands: &CommandSender, number: u32) -> TcpStream {
        send_command(commands, id, self.attempt_command(number));
        self.expect_connected(id, number).await;
        send_command(commands, id, SessionCommand::SendFirstLine { attempt: number });
        self.accept_attempt().await
    }

    /// Connects a client that requests a connection, and starts the first attempt.
    pub async fn client_with_attempt(&mut self) -> ClientWithAttempt {
        let client = self.connect_client(OPEN_LINE).await;
        let ClientRequest { id, commands } = self.next_request().await;
        let server = self.start_attempt(id, &commands, 0).await;
        ClientWithAttempt { client, id, commands, server }
    }

    /// Returns the counter of sessions that were closed for this cause.
    pub fn closed_count(&self, cause: &str) -> u64 {
        let name = format!("router_closed_{cause}_total ");
        let text = self.metrics.render("");
        let value = text.lines().find_map(|line| line.strip_prefix(&name));
        value.and_then(|value| value.parse().ok()).expect("a counter")
    }
}

/// Capacity that the clients of a test do not exhaust.
pub const AMPLE_CAPACITY: Capacity = Capacity { descriptors: 64, max_sessions: 16 };

/// Sends a command to a session, as the event loop does.
pub fn send_command(sender: &CommandSender, id: RequestId, command: SessionCommand) {
    sender.try_send(RequestCommand { id, command }).expect("the command queue has capacity");
}

/// Reads until the connection is closed.
///
/// # Errors
///
/// Fails if the connection is reset.
pub async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut received = String::new();
    timeout(STEP_TIMEOUT, stream.read_to_string(&mut received)).await.expect("an end in time")?;
    Ok(received)
}
