//! Settings of the library with their defaults and permitted values.

use std::time::Duration;

/// Settings of a session pool. The defaults suit an app with one session as well as a relay with thousands.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Zone of this device, as named in the address list. Addresses in this zone are preferred.
    pub zone: Option<String>,
    /// Maximum number of concurrent sessions.
    pub sessions: usize,
    /// Time-out for establishing the transport connection of an attempt.
    pub connect_within: Duration,
    /// Write time-out: a connection is closed if the peer accepts no byte of a pending line for this
    /// duration.
    pub stall_within: Duration,
    /// Maximum number of attempts for a session's first connection, including the first attempt.
    pub tries: u32,
    /// Maximum number of attempts to reconnect after a `MOVE` or a broken connection, including the first
    /// attempt.
    pub return_tries: u32,
    /// Deadline for reconnecting, measured from the end of the initial reconnect delay.
    pub return_within: Duration,
    /// Maximum duration of a network loss after which an established session still reconnects.
    pub offline_within: Duration,
    /// Jitter window for the delay before the first retry; the window doubles with each further retry.
    pub retry_from: Duration,
    /// Maximum jitter window for the delay before a retry.
    pub retry_to: Duration,
    /// Number of retries that each first attempt adds to the retry budget.
    pub budget_ratio: f64,
    /// Capacity of the retry budget, in retries.
    pub budget_most: f64,
    /// Number of retries in the budget when the process starts.
    pub budget_first: f64,
    /// Number of retries that are added to the budget per minute, independent of attempts.
    pub budget_minute: f64,
    /// Upper limit for the delay that a rejection (`BUSY MS`) may request; longer delays are reduced to this
    /// limit.
    pub busy_most: Duration,
    /// Window over which reconnects after a broken connection or a network loss are spread.
    pub break_window: Duration,
    /// Window over which reconnects after a `MOVE` are spread.
    pub move_window: Duration,
    /// Maximum window over which reconnects are spread.
    pub window_most: Duration,
    /// Maximum average number of reconnects per second of one pool, as long as the window that results from
    /// it is below `window_most`.
    pub return_rate: f64,
    /// Ejection time of an address after its first failure. It doubles with each consecutive failure and is
    /// multiplied by a random factor from 0.5 to 1.5.
    pub aside_from: Duration,
    /// Maximum ejection time of an address, before the random factor is applied.
    pub aside_to: Duration,
    /// Duration below which an established connection that ends counts as an early loss.
    pub quick: Duration,
    /// Number of consecutive early losses after which a session ends.
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

/// Error for a setting that is out of its permitted range.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key}: {found}, must be {expected}")]
pub struct SettingsError {
    /// Name of the setting.
    pub key: &'static str,
    /// Value of the setting.
    pub found: String,
    /// Description of the permitted values.
    pub expected: &'static str,
}

impl Settings {
    /// Checks whether all settings are within their permitted ranges. The error names the first one that is
    /// not.
    ///
    /// # Errors
    ///
    /// Fails if a duration is zero or more than a day, a number is out of range or not a number, or a lower
    /// bound is greater than its upper bound.
    pub fn check(&self) -> Result<(), SettingsError> {
        const DAY: Duration = Duration::from_secs(86_400);
        for (key, duration) in [
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
            if duration.is_zero() || duration > DAY {
                return Err(SettingsError {
                    key,
                    found: format!("{duration:?}"),
                    expected: "more than 0 s and at most 1 day",
                });
            }
        }
        for (key, value, minimum) in [
            ("budget_ratio", self.budget_ratio, 0.0),
            ("budget_most", self.budget_most, 0.0),
            ("budget_first", self.budget_first, 0.0),
            ("budget_minute", self.budget_minute, 0.0),
            ("return_rate", self.return_rate, 0.1),
        ] {
            if !(minimum..=1e6).contains(&value) {
                let expected = "a number from 0 (return_rate: 0.1) to 1000000";
                return Err(SettingsError { key, found: value.to_string(), expected });
            }
        }
        for (key, value) in
            [("tries", self.tries), ("return_tries", self.return_tries), ("quick_most", self.quick_most)]
        {
            if !(1..=100).contains(&value) {
                return Err(SettingsError { key, found: value.to_string(), expected: "1 to 100" });
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
