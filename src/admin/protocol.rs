//! The operators' calls: one line in, one answer out. Knows no socket and no server.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::fleet::maintenance::MaintenanceCommand;

/// Longest call, its end of line included: a word and a server's name.
pub const MAX_REQUEST_LENGTH: usize = 512;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Metrics,
    /// The gateways of the tier.
    Members,
    /// What gateways settle about machines that are taken out for work.
    Maintenance(MaintenanceCommand),
    /// What the gateways of the tier share.
    SharedState,
    /// Partners' quotas.
    Quota,
    /// Take the named server out, or put it back.
    Cordon {
        /// Which server.
        server: String,
        /// Whether it is to be out.
        cordon: bool,
    },
}

/// Why a call is answered `400`.
#[derive(Debug, thiserror::Error)]
pub enum AdminRequestError {
    /// Not one of the calls.
    #[error("no such call")]
    UnknownCommand,
    /// A call without its server, or with more words than it takes.
    #[error("wrong number of words")]
    WrongArgumentCount,
    /// Not text.
    #[error("not printable text")]
    NotPrintable,
    /// More than [`MAX_CALL`] bytes without an end of line.
    #[error("over {MAX_REQUEST_LENGTH} bytes")]
    TooLong,
    /// The caller ended before its line did.
    #[error("no end of line")]
    Truncated,
    /// The caller's time was up before its line was.
    #[error("no call in time")]
    TimedOut,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl AdminRequest {
    /// Reads a call, without its end of line.
    ///
    /// # Errors
    ///
    /// Says what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Self, AdminRequestError> {
        let text = std::str::from_utf8(line).map_err(|_| AdminRequestError::NotPrintable)?;
        if text.chars().any(char::is_control) {
            return Err(AdminRequestError::NotPrintable);
        }
        let mut words = text.split(' ').filter(|word| !word.is_empty());
        let call = words.next().ok_or(AdminRequestError::UnknownCommand)?;
        if call == "maintenance" {
            let (what, name) = (words.next(), words.next().map(str::to_owned));
            let reason = words.collect::<Vec<_>>().join(" ");
            return match (what, name) {
                (Some("list"), None) => Ok(AdminRequest::Maintenance(MaintenanceCommand::List)),
                (Some("request"), Some(name)) => {
                    Ok(AdminRequest::Maintenance(MaintenanceCommand::Request(name, reason)))
                }
                (Some("cancel"), Some(name)) if reason.is_empty() => {
                    Ok(AdminRequest::Maintenance(MaintenanceCommand::Cancel(name)))
                }
                (Some("done"), Some(name)) if reason.is_empty() => {
                    Ok(AdminRequest::Maintenance(MaintenanceCommand::Done(name)))
                }
                (Some("list" | "request" | "cancel" | "done"), _) => {
                    Err(AdminRequestError::WrongArgumentCount)
                }
                _ => Err(AdminRequestError::UnknownCommand),
            };
        }
        let server = words.next();
        let cordon = |out| match server {
            Some(server) => Ok(AdminRequest::Cordon { server: server.to_owned(), cordon: out }),
            None => Err(AdminRequestError::WrongArgumentCount),
        };
        let call = match call {
            "health" => AdminRequest::Health,
            "counters" => AdminRequest::Metrics,
            "members" => AdminRequest::Members,
            "state" => AdminRequest::SharedState,
            "quota" => AdminRequest::Quota,
            "cordon" => cordon(true)?,
            "uncordon" => cordon(false)?,
            _ => return Err(AdminRequestError::UnknownCommand),
        };
        let alone = !matches!(call, AdminRequest::Cordon { .. }) && server.is_some();
        if alone || words.next().is_some() { Err(AdminRequestError::WrongArgumentCount) } else { Ok(call) }
    }
}

/// Cuts a call out of a caller's bytes, whether its line ends with CRLF or LF.
#[derive(Debug, Default)]
pub struct AdminRequestCodec;

impl Decoder for AdminRequestCodec {
    type Item = AdminRequest;
    type Error = AdminRequestError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<AdminRequest>, AdminRequestError> {
        match buffer.iter().take(MAX_REQUEST_LENGTH).position(|&byte| byte == b'\n') {
            Some(end) => {
                let line = buffer.split_to(end + 1);
                let line = &line[..end];
                AdminRequest::parse(line.strip_suffix(b"\r").unwrap_or(line)).map(Some)
            }
            None if buffer.len() < MAX_REQUEST_LENGTH => Ok(None),
            None => Err(AdminRequestError::TooLong),
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<AdminRequest>, AdminRequestError> {
        match self.decode(buffer)? {
            None if !buffer.is_empty() => Err(AdminRequestError::Truncated),
            call => Ok(call),
        }
    }
}

/// A yes.
pub fn success_response(what: &str) -> Bytes {
    format!("200 {what}\n").into()
}

/// A no, and why.
pub fn error_response(why: impl std::fmt::Display) -> Bytes {
    format!("400 {why}\n").into()
}
