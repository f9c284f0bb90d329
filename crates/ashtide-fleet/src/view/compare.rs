//! Two members compare their views, and tell each other in pages what they hold otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use foca::{Codec, Header, Message, PostcardCodec};
use rand::RngExt;

use super::{BUDGET_RESERVES, MAX_MEMBERS, Membership};
use crate::frame::{DecodeError, HEADER_LEN, MAX_DATAGRAM, PayloadKind};
use crate::page::{self, Page, PageEntry, PageHeader, PageRequest};

/// Views are compared with another member's so often, and while they differ so often.
pub(super) const COMPARE_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(250));

/// What is known of all is put in order for pages so often at most.
const SORTED_VIEW_MAX_AGE: Duration = Duration::from_millis(100);

/// All that is known, by address, as it was a moment ago.
#[derive(Default)]
pub(super) struct SortedView {
    taken_at: Option<Duration>,
    entries: Vec<PageEntry>,
    digest: u64,
}

impl SortedView {
    /// What is known of the member at this address.
    fn find(&self, address: SocketAddr) -> Option<&PageEntry> {
        let at = self.entries.binary_search_by_key(&address, |it| it.member.address).ok()?;
        self.entries.get(at)
    }

    /// All after this address.
    fn after(&self, address: Option<SocketAddr>) -> &[PageEntry] {
        let from =
            address.map_or(0, |address| self.entries.partition_point(|it| it.member.address <= address));
        &self.entries[from..]
    }
}

impl Membership {
    pub(super) fn handle_page(&mut self, page: Page) -> Result<(), DecodeError> {
        let Page { header: head, is_last: last, entries } = page;
        // The sender is there, or is told that it is held dead: the protocol knows how.
        let header = Header {
            src: head.sender,
            src_incarnation: head.refutations,
            dst: self.own(),
            message: Message::Gossip,
        };
        let mut inside = BytesMut::with_capacity(MAX_DATAGRAM);
        PostcardCodec.encode_header(&header, &mut inside).map_err(|_| DecodeError::Malformed)?;
        self.forward_to_foca(&inside)?;
        let sender = self.runtime.records.get(&head.sender.address);
        if !sender.is_some_and(|it| it.is_up && it.member == head.sender) {
            return Ok(());
        }
        self.refresh_sorted_view();
        let own = self.own();
        let mut better = Vec::new();
        if head.request == PageRequest::NewerEntries {
            // Both go by address, so one walk finds what the page lacks or has older.
            let end = entries.last().map(|it| it.member.address).filter(|_| !last);
            let mut theirs = entries.iter().peekable();
            for mine in self.sorted_view.after(head.after) {
                let at = mine.member.address;
                if !last && end.is_none_or(|end| at > end) {
                    break;
                }
                while theirs.next_if(|it| it.member.address < at).is_some() {}
                let same = theirs.peek().filter(|it| it.member.address == at);
                let known =
                    same.map_or(mine.state == foca::State::Down, |it| it.precedence() >= mine.precedence());
                if !known && at != head.sender.address {
                    better.push(*mine);
                }
            }
        }
        let mut news = Vec::new();
        for entry in entries {
            if entry.member.address == own.address {
                self.adopt_later_incarnation(entry.member);
                if entry.member == own && entry.state != foca::State::Alive {
                    news.push(entry);
                }
                continue;
            }
            let is_news = match self.sorted_view.find(entry.member.address) {
                Some(mine) => entry.precedence() > mine.precedence(),
                // A death of somebody who is not known here is none, or it would never be forgotten.
                None => {
                    entry.state != foca::State::Down && self.runtime.records.len() + news.len() < MAX_MEMBERS
                }
            };
            if is_news {
                news.push(entry);
            }
        }
        if !news.is_empty() {
            let told = news.iter().map(|it| foca::Member::new(it.member, it.refutations, it.state));
            // Pages spread by themselves; on the back of probes there is room for what has just happened.
            let _ = self.foca.apply_many(told, false, &mut self.runtime);
            self.sorted_view.taken_at = None;
            self.refresh_sorted_view();
        }
        self.views_differ = head.digest != self.sorted_view.digest;
        match head.request {
            PageRequest::NewerEntries => {
                self.send_page(head.sender.address, PageRequest::Nothing, head.after, &better)
            }
            PageRequest::CompareDigests if self.views_differ => self.send_next_page(head.sender.address),
            PageRequest::CompareDigests | PageRequest::Nothing => {}
        }
        Ok(())
    }

    /// Puts what is known in order, unless that was done a moment ago.
    fn refresh_sorted_view(&mut self) {
        let now = self.runtime.now;
        if self.sorted_view.taken_at.is_some_and(|at| now.saturating_sub(at) < SORTED_VIEW_MAX_AGE) {
            return;
        }
        let own = PageEntry {
            member: self.own(),
            refutations: self.runtime.refutations,
            state: foca::State::Alive,
        };
        let entries = &mut self.sorted_view.entries;
        entries.clear();
        let others = self.foca.iter_membership_state().filter(|it| it.id().address != own.member.address);
        entries.extend(others.map(|it| PageEntry {
            member: *it.id(),
            refutations: it.incarnation(),
            state: it.state(),
        }));
        entries.push(own);
        entries.sort_unstable_by_key(|it| it.member.address);
        self.sorted_view.digest = page::digest(entries.iter());
        self.sorted_view.taken_at = Some(now);
    }

    /// Sends a page with these entries, or as many as there is room for; the last that was told.
    fn send_page(
        &mut self,
        to: SocketAddr,
        wants: PageRequest,
        after: Option<SocketAddr>,
        entries: &[PageEntry],
    ) {
        let digest = self.sorted_view.digest;
        let head = PageHeader {
            sender: self.own(),
            refutations: self.runtime.refutations,
            digest,
            request: wants,
            after,
        };
        let (bytes, count) = page::encode(&head, entries, true, MAX_DATAGRAM - HEADER_LEN);
        if wants == PageRequest::NewerEntries {
            let all = count == entries.len();
            self.last_sent_address = entries[..count].last().map(|it| it.member.address).filter(|_| !all);
        }
        self.runtime.enqueue(BUDGET_RESERVES.1, to, PayloadKind::SnapshotPage, &bytes);
    }

    /// Sends the next page of the whole view.
    fn send_next_page(&mut self, to: SocketAddr) {
        self.refresh_sorted_view();
        let entries = std::mem::take(&mut self.sorted_view.entries);
        let from =
            self.last_sent_address.map_or(0, |told| entries.partition_point(|it| it.member.address <= told));
        self.send_page(to, PageRequest::NewerEntries, self.last_sent_address, &entries[from..]);
        self.sorted_view.entries = entries;
    }

    /// Compares views with a member that is there.
    pub(super) fn compare_with_peer(&mut self) {
        if self.next_compare_at > self.runtime.now {
            return;
        }
        let (usual, often) = COMPARE_INTERVALS;
        let wait = if self.views_differ { often } else { usual };
        self.next_compare_at = self.runtime.now + wait.mul_f64(0.75 + 0.5 * self.rng.random::<f64>());
        let count = self.foca.num_members();
        if count == 0 {
            return;
        }
        let chosen = self.foca.iter_members().nth(self.rng.random_range(0..count)).map(|it| it.id().address);
        let Some(to) = chosen.filter(|&it| it != self.own().address) else { return };
        if self.views_differ {
            self.send_next_page(to);
        } else {
            self.refresh_sorted_view();
            self.send_page(to, PageRequest::CompareDigests, None, &[]);
        }
    }
}
