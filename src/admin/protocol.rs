//! Requests and responses of the admin endpoint. A request is one line of text and gets one response.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::fleet::maintenance::MaintenanceCommand;

/// Maximum length of a request in bytes, its end of line included. It admits a command with a server's name.
pub const MAX_REQUEST_LENGTH: usize = 512;

/// Request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminRequest {
    /// Query whether this process is ready to serve.
    Health,
    /// Query of the metrics.
    Metrics,
    /// Query of the gateways of the fleet.
    Members,
    /// Command to the maintenance queue.
    Maintenance(MaintenanceCommand),
    /// Query of the state that the gateways of the fleet share.
    SharedState,
    /// Query of the tenants' quotas.
    Quota,
    /// Cordon or uncordon of a server.
    Cordon {
        /// Name of the server.
        server: String,
        /// Whether the server is to be cordoned; otherwise it is uncordoned.
        cordon: bool,
    },
}

/// Reason for answering a request with code 400.
#[derive(Debug, thiserror::Error)]
pub enum AdminRequestError {
    /// The first word of the request is not a command.
    #[error("no such call")]
    UnknownCommand,
    /// The command has fewer or more arguments than it requires.
    #[error("wrong number of words")]
    WrongArgumentCount,
    /// The request is not UTF-8 or contains control characters.
    #[error("not printable text")]
    NotPrintable,
    /// The first [`MAX_REQUEST_LENGTH`] bytes contain no end of line.
    #[error("over {MAX_REQUEST_LENGTH} bytes")]
    TooLong,
    /// The connection ended before the end of the line.
    #[error("no end of line")]
    Truncated,
    /// The end of the line was not received in time.
    #[error("no call in time")]
    TimedOut,
    /// Reading from or writing to the socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl AdminRequest {
    /// Parses a request. Its end of line has already been removed.
    ///
    /// # Errors
    ///
    /// Fails if the request is not printable text, names no command, or has the wrong number of arguments.
    pub fn parse(line: &[u8]) -> Result<Self, AdminRequestError> {
        let text = std::str::from_utf8(line).map_err(|_| AdminRequestError::NotPrintable)?;
        if text.chars().any(char::is_control) {
            return Err(AdminRequestError::NotPrintable);
        }
        let mut tokens = text.split(' ').filter(|token| !token.is_empty());
        let command = tokens.next().ok_or(AdminRequestError::UnknownCommand)?;
        let arguments: Vec<&str> = tokens.collect();
        match command {
            "health" => Self::Health.without_arguments(&arguments),
            "counters" => Self::Metrics.without_arguments(&arguments),
            "members" => Self::Members.without_arguments(&arguments),
            "state" => Self::SharedState.without_arguments(&arguments),
            "quota" => Self::Quota.without_arguments(&arguments),
            "cordon" => Self::parse_cordon(true, &arguments),
            "uncordon" => Self::parse_cordon(false, &arguments),
            "maintenance" => parse_maintenance(&arguments).map(Self::Maintenance),
            _ => Err(AdminRequestError::UnknownCommand),
        }
    }

    fn without_arguments(self, arguments: &[&str]) -> Result<Self, AdminRequestError> {
        if arguments.is_empty() { Ok(self) } else { Err(AdminRequestError::WrongArgumentCount) }
    }

    fn parse_cordon(cordon: bool, arguments: &[&str]) -> Result<Self, AdminRequestError> {
        match arguments {
            [server] => Ok(Self::Cordon { server: (*server).to_owned(), cordon }),
            _ => Err(AdminRequestError::WrongArgumentCount),
        }
    }
}

fn parse_maintenance(arguments: &[&str]) -> Result<MaintenanceCommand, AdminRequestError> {
    match arguments {
        ["list"] => Ok(MaintenanceCommand::List),
        ["request", name, reason @ ..] => {
            Ok(MaintenanceCommand::Request((*name).to_owned(), reason.join(" ")))
        }
        ["cancel", name] => Ok(MaintenanceCommand::Cancel((*name).to_owned())),
        ["done", name] => Ok(MaintenanceCommand::Done((*name).to_owned())),
        ["list" | "request" | "cancel" | "done", ..] => Err(AdminRequestError::WrongArgumentCount),
        _ => Err(AdminRequestError::UnknownCommand),
    }
}

/// Decoder of a request. The line of the request ends with CRLF or LF.
#[derive(Debug, Default)]
pub struct AdminRequestCodec;

impl Decoder for AdminRequestCodec {
    type Item = AdminRequest;
    type Error = AdminRequestError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<AdminRequest>, AdminRequestError> {
        match buffer.iter().take(MAX_REQUEST_LENGTH).position(|&byte| byte == b'\n') {
            Some(length) => {
                let line = buffer.split_to(length + 1);
                let line = &line[..length];
                AdminRequest::parse(line.strip_suffix(b"\r").unwrap_or(line)).map(Some)
            }
            None if buffer.len() < MAX_REQUEST_LENGTH => Ok(None),
            None => Err(AdminRequestError::TooLong),
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<AdminRequest>, AdminRequestError> {
        match self.decode(buffer)? {
            None if !buffer.is_empty() => Err(AdminRequestError::Truncated),
            request => Ok(request),
        }
    }
}

/// Returns the response to a request that was carried out.
pub fn success_response(message: &str) -> Bytes {
    format!("200 {message}\n").into()
}

/// Returns the response to a request that was not carried out, with the reason.
pub fn error_response(reason: impl std::fmt::Display) -> Bytes {
    format!("400 {reason}\n").into()
}
