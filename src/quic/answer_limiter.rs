//! Limit on the answers to datagrams of no connection (RFC 9000, sections 6.1 and 10.3.3), so that a sender
//! of such datagrams does not occupy the front end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Length of the window in which answers are counted.
const WINDOW_LENGTH: Duration = Duration::from_millis(100);
/// Maximum number of answers to one address in a window.
const MAX_PER_ADDRESS: u32 = 100;
/// Maximum number of answers in a window.
const MAX_TOTAL: u32 = 1000;

/// Counts the answers in the current window, in total and by address.
#[derive(Debug, Default)]
pub struct AnswerLimiter {
    window_started_at: Option<Instant>,
    total: u32,
    by_address: HashMap<SocketAddr, u32>,
}

impl AnswerLimiter {
    /// Returns whether a datagram from `address` may be answered now, and counts the answer. If the result is
    /// false, the datagram is dropped, as if it were lost on the network.
    pub fn try_acquire(&mut self, now: Instant, address: SocketAddr) -> bool {
        let is_current =
            self.window_started_at.is_some_and(|start| now.duration_since(start) < WINDOW_LENGTH);
        if !is_current {
            self.window_started_at = Some(now);
            self.total = 0;
            self.by_address.clear();
        }
        // Checked first, so that the number of addresses is bounded by that of the answers.
        if self.total >= MAX_TOTAL {
            return false;
        }
        let answers = self.by_address.entry(address).or_default();
        if *answers >= MAX_PER_ADDRESS {
            return false;
        }
        *answers += 1;
        self.total += 1;
        true
    }
}
