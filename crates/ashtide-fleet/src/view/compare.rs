//! Anti-entropy: two members compare the digests of their views and exchange pages while the digests differ.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use foca::{Codec, Header, Message, PostcardCodec};
use rand::RngExt;

use super::{MAX_MEMBERS, Membership};
use crate::frame::{DecodeError, HEADER_LEN, MAX_DATAGRAM, PayloadKind};
use crate::page::{self, Page, PageEntry, PageHeader, PageRequest};

/// The mean interval between comparisons with another member.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1000);
/// The mean interval between comparisons while the views differ.
const COMPARE_INTERVAL_DIFFERING: Duration = Duration::from_millis(250);
/// The age from which the sorted view is rebuilt before use.
const SORTED_VIEW_MAX_AGE: Duration = Duration::from_millis(100);
/// The number of budget tokens that pages leave for other messages.
const PAGE_RESERVE: f64 = 8.0;

/// A recent copy of the view, sorted by address.
#[derive(Default)]
struct SortedView {
    taken_at: Option<Duration>,
    entries: Vec<PageEntry>,
    digest: u64,
}

impl SortedView {
    /// Returns the entry of the member at `address`.
    fn find(&self, address: SocketAddr) -> Option<&PageEntry> {
        let index = self.entries.binary_search_by_key(&address, |entry| entry.member.address).ok()?;
        self.entries.get(index)
    }

    /// Returns the entries after `address`, or all entries if `address` is `None`.
    fn after(&self, address: Option<SocketAddr>) -> &[PageEntry] {
        let start = address
            .map_or(0, |address| self.entries.partition_point(|entry| entry.member.address <= address));
        &self.entries[start..]
    }

    /// Returns the local entries in the page's address range that are missing from `page` or newer than its
    /// entries.
    fn newer_than(&self, page: &Page) -> Vec<PageEntry> {
        let mut newer = Vec::new();
        let end = page.entries.last().map(|entry| entry.member.address).filter(|_| !page.is_last);
        // Both lists are in ascending order of address, so one merge pass suffices.
        let mut page_entries = page.entries.iter().peekable();
        for local_entry in self.after(page.header.after) {
            let address = local_entry.member.address;
            if !page.is_last && end.is_none_or(|end| address > end) {
                break;
            }
            while page_entries.next_if(|entry| entry.member.address < address).is_some() {}
            let page_entry = page_entries.peek().filter(|entry| entry.member.address == address);
            let is_current = match page_entry {
                Some(entry) => entry.precedence() >= local_entry.precedence(),
                // The other member would not apply the death of a member that it has not recorded.
                None => local_entry.state == foca::State::Down,
            };
            if !is_current && address != page.header.sender.address {
                newer.push(*local_entry);
            }
        }
        newer
    }
}

/// The state of the comparisons with other members.
pub(super) struct Comparison {
    /// The time of the next comparison.
    pub(super) next_at: Duration,
    /// Whether the last comparison found a difference.
    differs: bool,
    /// The address of the last entry sent, after which the next page begins. `None` if the next page begins
    /// at the first address.
    last_sent_address: Option<SocketAddr>,
    sorted_view: SortedView,
}

impl Comparison {
    pub(super) fn new(now: Duration) -> Self {
        Self { next_at: now, differs: true, last_sent_address: None, sorted_view: SortedView::default() }
    }

    /// Schedules an early comparison after a stall.
    pub(super) fn restart(&mut self, now: Duration) {
        self.next_at = now + COMPARE_INTERVAL_DIFFERING;
        self.differs = true;
    }
}

impl Membership {
    /// Handles a page: applies its newer entries and sends the requested reply.
    pub(super) fn handle_page(&mut self, page: Page) -> Result<(), DecodeError> {
        self.announce_page_sender(&page.header)?;
        let sender = page.header.sender;
        let record = self.runtime.records.get(&sender.address);
        if !record.is_some_and(|record| record.is_up && record.member == sender) {
            return Ok(());
        }
        self.refresh_sorted_view();
        let newer = match page.header.request {
            PageRequest::NewerEntries => self.comparison.sorted_view.newer_than(&page),
            PageRequest::CompareDigests | PageRequest::Nothing => Vec::new(),
        };
        let header = page.header;
        self.apply_entries(page.entries);
        self.comparison.differs = header.digest != self.comparison.sorted_view.digest;
        match header.request {
            PageRequest::NewerEntries => {
                self.send_page(sender.address, PageRequest::Nothing, header.after, &newer);
            }
            PageRequest::CompareDigests if self.comparison.differs => self.send_next_page(sender.address),
            PageRequest::CompareDigests | PageRequest::Nothing => {}
        }
        Ok(())
    }

    /// Passes a gossip message from the page's sender to `foca`. As a result, `foca` marks the sender as up,
    /// or notifies the sender if it is recorded as dead.
    fn announce_page_sender(&mut self, page: &PageHeader) -> Result<(), DecodeError> {
        let header = Header {
            src: page.sender,
            src_incarnation: page.refutations,
            dst: self.own(),
            message: Message::Gossip,
        };
        let mut bytes = BytesMut::with_capacity(MAX_DATAGRAM);
        PostcardCodec.encode_header(&header, &mut bytes).map_err(|_| DecodeError::Malformed)?;
        self.forward_to_foca(&bytes)
    }

    /// Applies the entries of a page that are newer than the local ones.
    fn apply_entries(&mut self, entries: Vec<PageEntry>) {
        let own = self.own();
        let mut newer: Vec<PageEntry> = Vec::new();
        for entry in entries {
            if entry.member.address == own.address {
                self.adopt_later_incarnation(entry.member);
                if entry.member == own && entry.state != foca::State::Alive {
                    newer.push(entry);
                }
            } else if self.is_newer(&entry, newer.len()) {
                newer.push(entry);
            }
        }
        if newer.is_empty() {
            return;
        }
        let updates =
            newer.iter().map(|entry| foca::Member::new(entry.member, entry.refutations, entry.state));
        // These updates are not piggybacked on other messages: pages distribute them, and the piggyback
        // capacity is reserved for recent events.
        let _ = self.foca.apply_many(updates, false, &mut self.runtime);
        self.comparison.sorted_view.taken_at = None;
        self.refresh_sorted_view();
    }

    /// Checks whether an entry is newer than the local one. `accepted` is the number of entries of the page
    /// that were accepted so far.
    fn is_newer(&self, entry: &PageEntry, accepted: usize) -> bool {
        match self.comparison.sorted_view.find(entry.member.address) {
            Some(known) => entry.precedence() > known.precedence(),
            // The death of an unknown member is not applied. Otherwise it would never be removed, because
            // members would keep sending it to each other.
            None => entry.state != foca::State::Down && self.runtime.records.len() + accepted < MAX_MEMBERS,
        }
    }

    /// Rebuilds the sorted view, unless it is recent.
    fn refresh_sorted_view(&mut self) {
        let now = self.runtime.now;
        let taken_at = self.comparison.sorted_view.taken_at;
        if taken_at.is_some_and(|taken_at| now.saturating_sub(taken_at) < SORTED_VIEW_MAX_AGE) {
            return;
        }
        let own = PageEntry {
            member: self.own(),
            refutations: self.runtime.refutations,
            state: foca::State::Alive,
        };
        let others =
            self.foca.iter_membership_state().filter(|member| member.id().address != own.member.address);
        let view = &mut self.comparison.sorted_view;
        view.entries.clear();
        view.entries.extend(others.map(|member| PageEntry {
            member: *member.id(),
            refutations: member.incarnation(),
            state: member.state(),
        }));
        view.entries.push(own);
        view.entries.sort_unstable_by_key(|entry| entry.member.address);
        view.digest = page::digest(view.entries.iter());
        view.taken_at = Some(now);
    }

    /// Sends a page with as many of `entries` as fit.
    fn send_page(
        &mut self,
        to: SocketAddr,
        request: PageRequest,
        after: Option<SocketAddr>,
        entries: &[PageEntry],
    ) {
        let header = PageHeader {
            sender: self.own(),
            refutations: self.runtime.refutations,
            digest: self.comparison.sorted_view.digest,
            request,
            after,
        };
        let (bytes, count) = page::encode(&header, entries, true, MAX_DATAGRAM - HEADER_LEN);
        if request == PageRequest::NewerEntries {
            let last = entries[..count].last().map(|entry| entry.member.address);
            self.comparison.last_sent_address = last.filter(|_| count < entries.len());
        }
        self.runtime.enqueue(PAGE_RESERVE, to, PayloadKind::SnapshotPage, &bytes);
    }

    /// Sends the next page of the complete view, and wraps around after the last page.
    fn send_next_page(&mut self, to: SocketAddr) {
        self.refresh_sorted_view();
        let entries = std::mem::take(&mut self.comparison.sorted_view.entries);
        let after = self.comparison.last_sent_address;
        let start = after.map_or(0, |after| entries.partition_point(|entry| entry.member.address <= after));
        self.send_page(to, PageRequest::NewerEntries, after, &entries[start..]);
        self.comparison.sorted_view.entries = entries;
    }

    /// Starts a comparison with a random member that is up, if one is due.
    pub(super) fn compare_with_peer(&mut self) {
        let now = self.runtime.now;
        if self.comparison.next_at > now {
            return;
        }
        let interval = match self.comparison.differs {
            true => COMPARE_INTERVAL_DIFFERING,
            false => COMPARE_INTERVAL,
        };
        self.comparison.next_at = now + interval.mul_f64(0.75 + 0.5 * self.rng.random::<f64>());
        let count = self.foca.num_members();
        if count == 0 {
            return;
        }
        let index = self.rng.random_range(0..count);
        let chosen = self.foca.iter_members().nth(index).map(|member| member.id().address);
        let Some(peer) = chosen.filter(|&address| address != self.own().address) else { return };
        if self.comparison.differs {
            self.send_next_page(peer);
        } else {
            self.refresh_sorted_view();
            self.send_page(peer, PageRequest::CompareDigests, None, &[]);
        }
    }
}
