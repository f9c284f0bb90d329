//! Reassembly of messages from their parts. Parts are assigned to a message by a digest of the complete
//! message, so that a retransmission supplies the parts that were lost.

use std::collections::VecDeque;

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::Slot;
use bytes::Bytes;

use crate::message::{DecodeError, HEADER_LEN, MAX_PARTS, MAX_PAYLOAD, Message, VERSION, message_digest};

/// Maximum number of incomplete messages; the oldest is dropped.
const MAX_PARTIAL_MESSAGES: usize = 64;

/// Reassembler of messages that arrive in several datagrams.
#[derive(Debug, Clone, Default)]
pub struct MessageAssembler {
    partial: VecDeque<PartialMessage>,
}

/// Message of which some parts are missing.
#[derive(Debug, Clone)]
struct PartialMessage {
    sender: Slot,
    digest: u64,
    parts: Vec<Option<Bytes>>,
}

/// Header of a datagram that contains one part of a message.
#[derive(Debug, Clone, Copy)]
struct PartHeader {
    sender: Slot,
    digest: u64,
    number: usize,
    count: usize,
}

impl PartHeader {
    /// Splits a datagram into its header and its payload, which is one part of a message.
    fn split(fleet_id: u32, datagram: &[u8]) -> Result<(Self, &[u8]), DecodeError> {
        if datagram.len() > MAX_DATAGRAM {
            return Err(DecodeError::Length);
        }
        let (header, payload) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
        let header: [u8; HEADER_LEN] = header.try_into().map_err(|_| DecodeError::Length)?;
        let [version, id0, id1, id2, id3, slot0, slot1, digest @ .., number, count] = header;
        if version != VERSION {
            return Err(DecodeError::Version);
        }
        if u32::from_be_bytes([id0, id1, id2, id3]) != fleet_id {
            return Err(DecodeError::OtherFleet);
        }
        let header = Self {
            sender: Slot(u16::from_be_bytes([slot0, slot1])),
            digest: u64::from_be_bytes(digest),
            number: usize::from(number),
            count: usize::from(count),
        };
        header.check(payload.len())?;
        Ok((header, payload))
    }

    fn check(&self, payload_len: usize) -> Result<(), DecodeError> {
        let is_last = self.number + 1 >= self.count;
        let is_valid_count = (1..=MAX_PARTS).contains(&self.count) && self.number < self.count;
        if is_valid_count && (is_last || payload_len == MAX_PAYLOAD) {
            Ok(())
        } else {
            Err(DecodeError::Malformed)
        }
    }
}

impl PartialMessage {
    fn new(header: &PartHeader) -> Self {
        Self { sender: header.sender, digest: header.digest, parts: vec![None; header.count] }
    }

    fn includes(&self, header: &PartHeader) -> bool {
        self.sender == header.sender && self.digest == header.digest && self.parts.len() == header.count
    }

    /// Returns the bytes of the complete message, or `None` while parts are missing.
    fn complete(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<Bytes>> = self.parts.iter().cloned().collect();
        parts.map(|parts| parts.concat())
    }
}

impl MessageAssembler {
    /// Adds a datagram. Returns the message that it completes and the sender, or `None` if parts are still
    /// missing.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram, or the message that it completes, is rejected.
    pub fn add_datagram(
        &mut self,
        fleet_id: u32,
        datagram: &[u8],
    ) -> Result<Option<(Slot, Message)>, DecodeError> {
        let (header, payload) = PartHeader::split(fleet_id, datagram)?;
        let index = self.partial_index(&header);
        let partial = &mut self.partial[index];
        partial.parts[header.number] = Some(Bytes::copy_from_slice(payload));
        let Some(encoded) = partial.complete() else { return Ok(None) };
        self.partial.remove(index);
        if message_digest(&encoded) != header.digest {
            return Err(DecodeError::Malformed);
        }
        match postcard::take_from_bytes(&encoded) {
            Ok((message, [])) => Ok(Some((header.sender, message))),
            _ => Err(DecodeError::Malformed),
        }
    }

    /// Returns the index of the incomplete message that this part belongs to, and adds the message if it is
    /// new.
    fn partial_index(&mut self, header: &PartHeader) -> usize {
        if let Some(index) = self.partial.iter().position(|partial| partial.includes(header)) {
            return index;
        }
        if self.partial.len() >= MAX_PARTIAL_MESSAGES {
            self.partial.pop_front();
        }
        self.partial.push_back(PartialMessage::new(header));
        self.partial.len() - 1
    }

    /// Returns the number of incomplete messages.
    #[must_use]
    pub fn len(&self) -> usize {
        self.partial.len()
    }

    /// Checks whether there is no incomplete message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }
}
