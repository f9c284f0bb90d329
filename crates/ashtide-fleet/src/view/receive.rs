//! Handling of received datagrams.

use bytes::BytesMut;
use foca::{Codec, Header, Message, PostcardCodec};

use super::{MAX_MEMBERS, Membership, ViewChange};
use crate::frame::{DecodeError, MAX_DATAGRAM, PayloadKind, decode_frame};
use crate::member::Member;
use crate::page::{self, Page};

/// The decoded payload of a frame.
enum Payload<'a> {
    Page(Page),
    Protocol { bytes: &'a [u8], header: Header<Member>, updates: &'a [u8] },
}

impl<'a> Payload<'a> {
    fn decode(kind: PayloadKind, bytes: &'a [u8]) -> Result<Self, DecodeError> {
        match kind {
            PayloadKind::SnapshotPage => page::decode(bytes).map(Self::Page).ok_or(DecodeError::Malformed),
            PayloadKind::Protocol => {
                let mut updates = bytes;
                let header = PostcardCodec.decode_header(&mut updates).map_err(|_| DecodeError::Malformed)?;
                Ok(Self::Protocol { bytes, header, updates })
            }
        }
    }

    fn sender(&self) -> Member {
        match self {
            Self::Page(page) => page.header.sender,
            Self::Protocol { header, .. } => header.src,
        }
    }
}

impl Membership {
    /// Handles a received datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram is rejected. A rejected datagram is counted and changes no other
    /// state.
    pub fn handle_datagram(&mut self, now: std::time::Duration, datagram: &[u8]) -> Result<(), DecodeError> {
        self.runtime.advance_to(now);
        self.handle_frame(datagram)
            .inspect_err(|&error| *self.runtime.metrics.rejected.entry(error).or_default() += 1)
    }

    fn handle_frame(&mut self, datagram: &[u8]) -> Result<(), DecodeError> {
        let (kind, bytes) = decode_frame(self.runtime.fleet_id, datagram)?;
        let payload = Payload::decode(kind, bytes)?;
        let sender = payload.sender();
        self.check_sender(sender)?;
        if self.has_left {
            return Ok(());
        }
        match payload {
            Payload::Page(page) => self.handle_page(page)?,
            Payload::Protocol { bytes, header, updates } => {
                self.handle_protocol_message(bytes, header, updates)?;
            }
        }
        self.runtime.record_received(sender, datagram.len());
        Ok(())
    }

    /// Checks that the sender is another member, and that the view has capacity for it.
    fn check_sender(&self, sender: Member) -> Result<(), DecodeError> {
        let records = &self.runtime.records;
        if sender.address == self.own().address {
            Err(DecodeError::Own)
        } else if records.len() >= MAX_MEMBERS && !records.contains_key(&sender.address) {
            Err(DecodeError::Full)
        } else {
            Ok(())
        }
    }

    fn handle_protocol_message(
        &mut self,
        bytes: &[u8],
        header: Header<Member>,
        updates: &[u8],
    ) -> Result<(), DecodeError> {
        let is_own_address = header.dst.address == self.own().address;
        if is_own_address {
            self.adopt_later_incarnation(header.dst);
        }
        if let Message::Ack(number) = header.message {
            let probe = self.runtime.outstanding_probe;
            if probe.is_some_and(|probe| probe.address == header.src.address && probe.number == number) {
                self.runtime.record_probe(true);
            }
        }
        let own = self.own();
        // The sender has recorded an earlier incarnation of this member. Without an answer it would declare
        // the current incarnation dead.
        let is_for_earlier_incarnation = is_own_address
            && header.dst.incarnation < own.incarnation
            && !matches!(header.message, Message::TurnUndead | Message::Announce);
        let filtered = self.filter_own_updates(updates)?;
        if !is_for_earlier_incarnation && filtered.is_none() {
            return self.forward_to_foca(bytes);
        }
        let mut rewritten = BytesMut::with_capacity(MAX_DATAGRAM);
        let dst = if is_for_earlier_incarnation { own } else { header.dst };
        PostcardCodec
            .encode_header(&Header { dst, ..header }, &mut rewritten)
            .map_err(|_| DecodeError::Malformed)?;
        rewritten.extend_from_slice(filtered.as_deref().unwrap_or(updates));
        self.forward_to_foca(&rewritten)
    }

    /// Removes obsolete updates about this member from the updates of a message. Returns `None` if there are
    /// none. `foca` would answer each obsolete update with three messages, even if it was refuted before.
    fn filter_own_updates(&self, updates: &[u8]) -> Result<Option<Vec<u8>>, DecodeError> {
        let Some((count, mut bytes)) = updates.split_first_chunk() else { return Ok(None) };
        let count = u16::from_be_bytes(*count);
        let mut remaining = vec![0; 2];
        let mut remaining_count = 0_u16;
        for _ in 0..count {
            let update: foca::Member<Member> =
                PostcardCodec.decode_member(&mut bytes).map_err(|_| DecodeError::Malformed)?;
            if self.is_obsolete_own_update(&update) {
                continue;
            }
            remaining_count += 1;
            PostcardCodec.encode_member(&update, &mut remaining).map_err(|_| DecodeError::Malformed)?;
        }
        remaining[..2].copy_from_slice(&remaining_count.to_be_bytes());
        Ok((remaining_count < count).then_some(remaining))
    }

    /// Checks whether an update has this member's address and is obsolete: it describes another incarnation,
    /// states that this member is alive, or is a suspicion that this member has refuted.
    fn is_obsolete_own_update(&self, update: &foca::Member<Member>) -> bool {
        let own = self.own();
        let is_current_incarnation = *update.id() == own;
        let is_refuted = is_current_incarnation
            && update.state() != foca::State::Down
            && (update.state() == foca::State::Alive || update.incarnation() < self.runtime.refutations);
        update.id().address == own.address && (!is_current_incarnation || is_refuted)
    }

    pub(super) fn forward_to_foca(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        self.foca.handle_data(bytes, &mut self.runtime).map_err(|error| match error {
            foca::Error::DataFromOurselves => DecodeError::Own,
            _ => DecodeError::Malformed,
        })
    }

    /// Rejoins with a later incarnation if other members have recorded a later incarnation of this address
    /// than the current one. That happens when the clock was set back between two starts.
    pub(super) fn adopt_later_incarnation(&mut self, known: Member) {
        let own = self.own();
        if known.incarnation > own.incarnation {
            let later = Member { incarnation: known.incarnation.saturating_add(1), ..own };
            // `change_identity` fails only if the identity is unchanged, and `later` is higher.
            let _ = self.foca.change_identity(later, &mut self.runtime);
            self.runtime.push_change(ViewChange::Rejoined(later));
        }
    }
}
