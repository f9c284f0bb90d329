//! Every knob of the library, its default, and what it may be.

use std::time::Duration;

/// What a pool is allowed. The defaults suit an app with one session as well as a relay with thousands.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The zone of this device, as the address list names zones: its addresses go first.
    pub zone: Option<String>,
    /// Most sessions at a time.
    pub sessions: usize,
    /// A connection that does not stand by then is given up.
    pub connect_within: Duration,
    /// A peer that takes no byte of a line for so long does not read, and its connection is closed.
    pub stall_within: Duration,
    /// Attempts of a first placing, the first among them.
    pub tries: u32,
    /// Attempts of a return after a move or a break, the first among them.
    pub return_tries: u32,
    /// After the wait that a drop begins with, a session is to stand again within this time.
    pub return_within: Duration,
    /// A session that the network has left returns if it comes back within this time.
    pub offline_within: Duration,
    /// The window of the first retry's wait; it doubles with each.
    pub retry_from: Duration,
    /// The widest window of a retry's wait.
    pub retry_to: Duration,
    /// What a first try adds to the retry budget, in retries.
    pub budget_ratio: f64,
    /// Most retries that the budget holds.
    pub budget_most: f64,
    /// Retries that the budget holds at the start.
    pub budget_first: f64,
    /// Retries that time alone adds, a minute.
    pub budget_minute: f64,
    /// Longest wait that a refusal can ask for; longer ones count as this.
    pub busy_most: Duration,
    /// The window over which returns after a break, or the network's absence, are spread.
    pub break_window: Duration,
    /// The same after a `MOVE`.
    pub move_window: Duration,
    /// The widest such window.
    pub window_most: Duration,
    /// Returns a second that one pool makes at most, on average, while its window is under the widest.
    pub return_rate: f64,
    /// How long an address is left after its first failure; it doubles with each in a row, and half of it
    /// more or less is drawn.
    pub aside_from: Duration,
    /// Longest time for which an address is left.
    pub aside_to: Duration,
    /// A connection that stood for less counts as a quick break.
    pub quick: Duration,
    /// Quick breaks in a row after which a session ends.
    pub quick_most: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: None,
            sessions: 65_536,
            connect_within: Duration::from_secs(1),
            stall_within: Duration::from_secs(10),
            tries: 3,
            return_tries: 6,
            return_within: Duration::from_secs(30),
            offline_within: Duration::from_secs(600),
            retry_from: Duration::from_millis(200),
            retry_to: Duration::from_secs(5),
            budget_ratio: 0.2,
            budget_most: 10.0,
            budget_first: 2.0,
            budget_minute: 1.0,
            busy_most: Duration::from_secs(30),
            break_window: Duration::from_secs(4),
            move_window: Duration::from_millis(2500),
            window_most: Duration::from_secs(20),
            return_rate: 1000.0,
            aside_from: Duration::from_secs(1),
            aside_to: Duration::from_secs(30),
            quick: Duration::from_secs(5),
            quick_most: 5,
        }
    }
}

/// A knob that cannot be as it is.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {found}, must be {expected}")]
pub struct SettingsError {
    /// Which knob.
    pub key: &'static str,
    /// What it is.
    pub found: String,
    /// What it may be.
    pub expected: &'static str,
}

impl Settings {
    /// Whether a pool can run by these; the error names the first knob that cannot be so.
    ///
    /// # Errors
    ///
    /// Fails where a time is zero or over a day, a figure is negative or no number, or a lower bound lies
    /// over its upper one.
    pub fn check(&self) -> Result<(), SettingsError> {
        const DAY: Duration = Duration::from_secs(86_400);
        for (key, time) in [
            ("connect_within", self.connect_within),
            ("stall_within", self.stall_within),
            ("return_within", self.return_within),
            ("offline_within", self.offline_within),
            ("retry_from", self.retry_from),
            ("retry_to", self.retry_to),
            ("busy_most", self.busy_most),
            ("break_window", self.break_window),
            ("move_window", self.move_window),
            ("window_most", self.window_most),
            ("aside_from", self.aside_from),
            ("aside_to", self.aside_to),
            ("quick", self.quick),
        ] {
            if time.is_zero() || time > DAY {
                return Err(SettingsError {
                    key,
                    found: format!("{time:?}"),
                    expected: "over 0 s, at most a day",
                });
            }
        }
        for (key, figure, least) in [
            ("budget_ratio", self.budget_ratio, 0.0),
            ("budget_most", self.budget_most, 0.0),
            ("budget_first", self.budget_first, 0.0),
            ("budget_minute", self.budget_minute, 0.0),
            ("return_rate", self.return_rate, 0.1),
        ] {
            if !(least..=1e6).contains(&figure) {
                let expected = "a number from 0 (return_rate: 0.1) to 1000000";
                return Err(SettingsError { key, found: figure.to_string(), expected });
            }
        }
        for (key, figure) in
            [("tries", self.tries), ("return_tries", self.return_tries), ("quick_most", self.quick_most)]
        {
            if !(1..=100).contains(&figure) {
                return Err(SettingsError { key, found: figure.to_string(), expected: "1 to 100" });
            }
        }
        if !(1..=1_000_000).contains(&self.sessions) {
            let found = self.sessions.to_string();
            return Err(SettingsError { key: "sessions", found, expected: "1 to 1000000" });
        }
        for (key, low, high) in [
            ("retry_from", self.retry_from, self.retry_to),
            ("break_window", self.break_window, self.window_most),
            ("move_window", self.move_window, self.window_most),
            ("aside_from", self.aside_from, self.aside_to),
        ] {
            if low > high {
                let expected = "at most its upper bound (retry_to, window_most, aside_to)";
                return Err(SettingsError { key, found: format!("{low:?}"), expected });
            }
        }
        Ok(())
    }
}
