//! Puts the parts of messages together. Parts are told apart by a digest of the whole message, so that what is sent
//! again fills the gaps.

use std::collections::VecDeque;

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::Slot;
use bytes::Bytes;

use crate::message::{DecodeError, HEADER_LEN, MAX_PARTS, MAX_PAYLOAD, Message, VERSION, message_digest};

/// Messages that are put together at a time; the oldest is dropped.
const MAX_PARTIAL_MESSAGES: usize = 64;

/// Messages of which some parts have arrived.
#[derive(Debug, Clone, Default)]
pub struct MessageAssembler {
    partial: VecDeque<PartialMessage>,
}

#[derive(Debug, Clone)]
struct PartialMessage {
    sender: Slot,
    digest: u64,
    parts: Vec<Option<Bytes>>,
}

/// What stands round each part.
#[derive(Debug, Clone, Copy)]
struct PartHeader {
    sender: Slot,
    digest: u64,
    number: usize,
    count: usize,
}

impl PartHeader {
    /// Splits a datagram into its header and its part of the message.
    fn split(fleet_id: u32, datagram: &[u8]) -> Result<(Self, &[u8]), DecodeError> {
        if datagram.len() > MAX_DATAGRAM {
            return Err(DecodeError::Length);
        }
        let (header, payload) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
        let header: [u8; HEADER_LEN] = header.try_into().map_err(|_| DecodeError::Length)?;
        let [version, t0, t1, t2, t3, s0, s1, digest @ .., number, count] = header;
        if version != VERSION {
            return Err(DecodeError::Version);
        }
        if u32::from_be_bytes([t0, t1, t2, t3]) != fleet_id {
            return Err(DecodeError::OtherFleet);
        }
        let header = Self {
            sender: Slot(u16::from_be_bytes([s0, s1])),
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

    /// The whole message's bytes, once all parts have arrived.
    fn complete(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<Bytes>> = self.parts.iter().cloned().collect();
        parts.map(|parts| parts.concat())
    }
}

impl MessageAssembler {
    /// Adds a datagram; gives the message that it completes, and its sender.
    ///
    /// # Errors
    ///
    /// Says why the datagram, or the message that it completes, is rejected.
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

    /// The index of the message that this part is of; a new one where it is the first.
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

    /// How many messages have arrived in part.
    #[must_use]
    pub fn len(&self) -> usize {
        self.partial.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }
}
