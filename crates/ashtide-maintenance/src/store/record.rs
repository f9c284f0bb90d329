//! Records in the files of a store. A record consists of a header and the encoded state.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{StoreError, io_error};
use crate::paxos::AcceptorState;

/// Header of a snapshot: the name of the program and the version of the format.
pub(super) const FILE_HEADER: &[u8] = b"ashtide-maintenance 1\n";
/// Number of log records after which a new snapshot is written.
pub(super) const MAX_LOG_RECORDS: u64 = 64;
/// Length of a record's header in bytes: the length of the body, its complement, and the checksum.
const RECORD_HEADER_LEN: usize = 4 + 4 + CHECKSUM_LEN;
/// Length of the checksum in bytes: the first half of a SHA-256 digest.
const CHECKSUM_LEN: usize = 16;
/// Maximum length of a record's body, in bytes. A full queue needs less.
const MAX_RECORD_LEN: usize = 8192;
/// Maximum number of bytes that are read from a file.
const MAX_FILE_LEN: u64 =
    (MAX_LOG_RECORDS + 1) * (MAX_RECORD_LEN + RECORD_HEADER_LEN) as u64 + FILE_HEADER.len() as u64;

/// Persisted state with its sequence number.
#[derive(Serialize, Deserialize)]
pub(super) struct Record {
    pub(super) sequence: u64,
    pub(super) state: AcceptorState,
}

/// Contents of the files of a store.
pub(super) struct LoadedRecords {
    pub(super) last_record: Option<Record>,
    /// Incomplete last record that was ignored.
    pub(super) problem: Option<StoreError>,
}

pub(super) fn encode_record(sequence: u64, state: &AcceptorState) -> io::Result<Vec<u8>> {
    let record = Record { sequence, state: state.clone() };
    let body = postcard::to_allocvec(&record).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut encoded = Vec::with_capacity(RECORD_HEADER_LEN + body.len());
    encoded.extend_from_slice(&length.to_be_bytes());
    encoded.extend_from_slice(&(!length).to_be_bytes());
    encoded.extend_from_slice(&Sha256::digest(&body)[..CHECKSUM_LEN]);
    encoded.extend_from_slice(&body);
    Ok(encoded)
}

/// Returns the first record of `bytes` and its length in bytes, or `None` if it is incomplete.
fn decode_record(bytes: &[u8]) -> Result<Option<(Record, usize)>, &'static str> {
    let Some((header, rest)) = bytes.split_at_checked(RECORD_HEADER_LEN) else { return Ok(None) };
    let number_at = |from: usize| {
        header[from..from + 4].iter().fold(0, |number: u32, &byte| number << 8 | u32::from(byte))
    };
    let length = number_at(0) as usize;
    if number_at(4) != !number_at(0) || length > MAX_RECORD_LEN {
        return Err("a length that does not hold");
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    if Sha256::digest(body)[..CHECKSUM_LEN] != header[8..] {
        return Err("a checksum that does not hold");
    }
    match postcard::take_from_bytes(body) {
        Ok((record, [])) => Ok(Some((record, RECORD_HEADER_LEN + length))),
        _ => Err("a record of another form"),
    }
}

fn corrupt(path: &Path, at: usize, found: &'static str) -> StoreError {
    StoreError::Corrupt { path: path.to_owned(), at, found }
}

fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    let file = match File::open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file.map_err(io_error(path))?,
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_LEN + 1).read_to_end(&mut bytes).map_err(io_error(path))?;
    Ok(Some(bytes))
}

/// Reads the snapshot and the log records that follow it.
pub(super) fn load(snapshot: &Path, log: &Path) -> Result<LoadedRecords, StoreError> {
    let log_bytes = read_file(log)?.unwrap_or_default();
    let Some(snapshot_bytes) = read_file(snapshot)? else {
        return match log_bytes.is_empty() {
            true => Ok(LoadedRecords { last_record: None, problem: None }),
            false => Err(corrupt(log, 0, "a log without its snapshot")),
        };
    };
    let record = decode_snapshot(snapshot, &snapshot_bytes)?;
    replay_log(log, &log_bytes, record)
}

fn decode_snapshot(path: &Path, bytes: &[u8]) -> Result<Record, StoreError> {
    let encoded = bytes.strip_prefix(FILE_HEADER).ok_or_else(|| corrupt(path, 0, "another head"))?;
    match decode_record(encoded) {
        Ok(Some((record, length))) if length == encoded.len() => Ok(record),
        Ok(_) => Err(corrupt(path, FILE_HEADER.len(), "a length that does not hold")),
        Err(found) => Err(corrupt(path, FILE_HEADER.len(), found)),
    }
}

/// Applies the log records that follow the snapshot's record `last`.
fn replay_log(path: &Path, log: &[u8], mut last: Record) -> Result<LoadedRecords, StoreError> {
    let mut offset = 0;
    while offset < log.len() {
        let Some((record, length)) =
            decode_record(&log[offset..]).map_err(|found| corrupt(path, offset, found))?
        else {
            let problem = Some(StoreError::TruncatedTail { path: path.to_owned(), at: offset });
            return Ok(LoadedRecords { last_record: Some(last), problem });
        };
        if record.sequence > last.sequence + 1 {
            return Err(corrupt(path, offset, "a gap before it"));
        }
        if record.sequence == last.sequence + 1 {
            last = record;
        }
        offset += length;
    }
    Ok(LoadedRecords { last_record: Some(last), problem: None })
}
