//! Anti-entropy: two members compare digests of their views, and send each other pages of what differs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use foca::{Codec, Header, Message, PostcardCodec};
use rand::RngExt;

use super::{MAX_MEMBERS, Membership};
use crate::frame::{DecodeError, HEADER_LEN, MAX_DATAGRAM, PayloadKind};
use crate::page::{self, Page, PageEntry, PageHeader, PageRequest};

/// How often views are compared with another member's.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1000);
/// How often they are compared while they differ.
const COMPARE_INTERVAL_DIFFERING: Duration = Duration::from_millis(250);
/// All that is known is sorted for pages so often at most.
const SORTED_VIEW_MAX_AGE: Duration = Duration::from_millis(100);
/// Tokens that pages leave in the budget.
const PAGE_RESERVE: f64 = 8.0;

/// All that is known, by address, as it was a moment ago.
#[derive(Default)]
struct SortedView {
    taken_at: Option<Duration>,
    entries: Vec<PageEntry>,
    digest: u64,
}

impl SortedView {
    /// What is known of the member at this address.
    fn find(&self, address: SocketAddr) -> Option<&PageEntry> {
        let index = self.entries.binary_search_by_key(&address, |entry| entry.member.address).ok()?;
        self.entries.get(index)
    }

    /// All entries after this address; all where there is none.
    fn after(&self, address: Option<SocketAddr>) -> &[PageEntry] {
        let from = address
            .map_or(0, |address| self.entries.partition_point(|entry| entry.member.address <= address));
        &self.entries[from..]
    }

    /// The entries here that `page` lacks or has older, within the range that the page covers.
    fn newer_than(&self, page: &Page) -> Vec<PageEntry> {
        let mut newer = Vec::new();
        let end = page.entries.last().map(|entry| entry.member.address).filter(|_| !page.is_last);
        // Both go by address, so one walk finds them.
        let mut theirs = page.entries.iter().peekable();
        for mine in self.after(page.header.after) {
            let address = mine.member.address;
            if !page.is_last && end.is_none_or(|end| address > end) {
                break;
            }
            while theirs.next_if(|entry| entry.member.address < address).is_some() {}
            let same = theirs.peek().filter(|entry| entry.member.address == address);
            let is_known = match same {
                Some(entry) => entry.precedence() >= mine.precedence(),
                None => mine.state == foca::State::Down,
            };
            if !is_known && address != page.header.sender.address {
                newer.push(*mine);
            }
        }
        newer
    }
}

/// The state of the comparisons with other members.
pub(super) struct Comparison {
    pub(super) next_at: Duration,
    /// Whether the view that was compared with last was another.
    differs: bool,
    /// The last address that pages have sent.
    last_sent_address: Option<SocketAddr>,
    sorted_view: SortedView,
}

impl Comparison {
    pub(super) fn new(now: Duration) -> Self {
        Self { next_at: now, differs: true, last_sent_address: None, sorted_view: SortedView::default() }
    }

    /// Compares soon, after a stall.
    pub(super) fn restart(&mut self, now: Duration) {
        self.next_at = now + COMPARE_INTERVAL_DIFFERING;
        self.differs = true;
    }
}

impl Membership {
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

    /// The sender of a page is there, or is told that it is held dead: the protocol does either for a gossip message.
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

    /// Applies those entries of a page that are newer than what is known here.
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
        // Pages spread by themselves; what is sent with probes is for what has just happened.
        let _ = self.foca.apply_many(updates, false, &mut self.runtime);
        self.comparison.sorted_view.taken_at = None;
        self.refresh_sorted_view();
    }

    /// Whether an entry says more than is known here; `accepted` others of the page do.
    fn is_newer(&self, entry: &PageEntry, accepted: usize) -> bool {
        match self.comparison.sorted_view.find(entry.member.address) {
            Some(known) => entry.precedence() > known.precedence(),
            // The death of a member that is not known here is not applied, or it would never be forgotten.
            None => entry.state != foca::State::Down && self.runtime.records.len() + accepted < MAX_MEMBERS,
        }
    }

    /// Sorts what is known, unless that was done a moment ago.
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

    /// Sends a page with these entries, or as many as there is room for.
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

    /// Sends the next page of the whole view.
    fn send_next_page(&mut self, to: SocketAddr) {
        self.refresh_sorted_view();
        let view = std::mem::take(&mut self.comparison.sorted_view.entries);
        let after = self.comparison.last_sent_address;
        let from = after.map_or(0, |after| view.partition_point(|entry| entry.member.address <= after));
        self.send_page(to, PageRequest::NewerEntries, after, &view[from..]);
        self.comparison.sorted_view.entries = view;
    }

    /// Compares views with a member that is there.
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
