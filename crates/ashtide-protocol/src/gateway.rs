//! Lines of a gateway, as a client reads them.

use std::time::Duration;

use bytes::Bytes;

use crate::text;

/// The meaning of a gateway's line.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayEvent {
    /// The connection is established; the value is the receipt of the server.
    Up(Bytes),
    /// The request was rejected without being executed, so a retry is safe. The value is the advised wait
    /// before the retry, or `None` if the gateway advises none.
    Busy(Option<Duration>),
    /// The request failed, and may have been executed. The value is the gateway's line, unchanged.
    Failed(Bytes),
    /// A line on an established connection.
    Line(Bytes),
    /// The client is to reconnect elsewhere, and the connection ends.
    Move,
    /// The server has served the connection to its end, and the connection ends.
    Bye,
}

/// A violation of the protocol by the peer. Each ends the attempt or the established connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum PeerFault {
    /// A line that was received before the request was written.
    #[error("spoke before it was asked")]
    Unasked,
    /// A line of over [`MAX_LINE`](crate::MAX_LINE) bytes.
    #[error("sent a line of over 4096 bytes")]
    TooLong,
    /// A second `UP` on an established connection.
    #[error("said UP twice")]
    UpTwice,
    /// A line after the one that ended the attempt or the connection.
    #[error("went on after its last word")]
    AfterEnd,
    /// An end of the connection in the middle of a line.
    #[error("ended in the middle of a line")]
    Torn,
    /// An accepted connection from which the peer has not read for longer than the client's time-out.
    #[error("does not read")]
    Stalled,
}

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// The request has not been written.
    #[default]
    BeforeRequest,
    /// The client waits for the answer to its request.
    AwaitingAnswer,
    /// The connection is established.
    Established,
    /// The attempt or the connection has ended.
    Ended,
}

/// Protocol state of an attempt through a gateway, and of the connection that it establishes.
#[derive(Debug, Default)]
pub struct GatewaySide(Stage);

impl GatewaySide {
    /// Marks the request as being written: from now on, the gateway may answer.
    pub fn set_request_started(&mut self) {
        if self.0 == Stage::BeforeRequest {
            self.0 = Stage::AwaitingAnswer;
        }
    }

    /// Returns whether the connection is established.
    pub fn is_established(&self) -> bool {
        self.0 == Stage::Established
    }

    /// Processes one line that the gateway has sent.
    ///
    /// # Errors
    ///
    /// Fails if the protocol does not allow this line, or any line, in the current state. The caller then
    /// closes the connection.
    pub fn line(&mut self, line: Bytes) -> Result<GatewayEvent, PeerFault> {
        let line_text = text(&line).unwrap_or("");
        let (keyword, rest) = line_text.split_once(' ').unwrap_or((line_text, ""));
        match self.0 {
            Stage::BeforeRequest => Err(self.fail(PeerFault::Unasked)),
            Stage::Ended => Err(PeerFault::AfterEnd),
            Stage::AwaitingAnswer => match keyword {
                "UP" => {
                    self.0 = Stage::Established;
                    let receipt = line.slice_ref(rest.as_bytes());
                    Ok(GatewayEvent::Up(receipt))
                }
                "BUSY" => {
                    self.0 = Stage::Ended;
                    Ok(GatewayEvent::Busy(parse_retry_after(rest)))
                }
                _ => {
                    self.0 = Stage::Ended;
                    Ok(GatewayEvent::Failed(line))
                }
            },
            // `LOAD` and the lines of the application are passed on.
            Stage::Established => match line_text {
                "MOVE" => {
                    self.0 = Stage::Ended;
                    Ok(GatewayEvent::Move)
                }
                "BYE" => {
                    self.0 = Stage::Ended;
                    Ok(GatewayEvent::Bye)
                }
                _ if keyword == "UP" => Err(self.fail(PeerFault::UpTwice)),
                _ => Ok(GatewayEvent::Line(line)),
            },
        }
    }

    fn fail(&mut self, fault: PeerFault) -> PeerFault {
        self.0 = Stage::Ended;
        fault
    }
}

/// Parses the wait in milliseconds that a `BUSY` line advises. Returns `None` if the text is not an unsigned
/// integer. An integer that overflows is replaced by `u32::MAX` ms; the client's own limit bounds the wait.
fn parse_retry_after(text: &str) -> Option<Duration> {
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    Some(Duration::from_millis(text.parse().unwrap_or(u64::from(u32::MAX))))
}
