//! What a server's `LOAD X` means: the connection's load, or how long messages take there.
//!
//! Where the settings say that both are told there is one word for both, and no unit beside the figure: work in
//! microseconds a second, or milliseconds. What tells them apart is when they come. The delay comes once a
//! second, at the server's own beat, while it is long, and once more when it is short again; a load comes when
//! it changes, at any moment. Figures under 200 are delays, as hardly a connection asks for so little
//! work; larger ones are when they keep the beat. No socket and no clock.

use std::collections::BTreeMap;

use crate::interface::{ServerId, Span, Time};

/// Figures below this are taken for milliseconds: as work it is a fifth of a thousandth of a core.
const SURELY: f64 = 200.0;
/// Figures from here on are taken for work: no client waits so many milliseconds for a message.
const NEVER: f64 = 5_000.0;
/// Time between two words of the delay at one server.
const BEAT: Span = Span::from_micros(1_000_000);
/// How far off the beat a word may come: the network's doing.
const OFF_BEAT: Span = Span::from_micros(40_000);
/// A beat is kept for so long without a word: a server that was slow is often slow again.
const KEPT: Span = Span::from_micros(30_000_000);

/// What a figure means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The connection's load, in seconds of standard-core work a second.
    Load(f64),
    /// How long a message takes at its server.
    Takes(Span),
}

/// What the settings say is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// The load of a connection.
    pub load: bool,
    /// The delay of messages at a server.
    pub delay: bool,
}

#[derive(Default)]
struct Row {
    /// The last word that was the delay.
    beat: Option<Time>,
    /// The last that could have been.
    maybe: Option<Time>,
}

/// Reads the figures of all servers, a row of memory each.
#[derive(Default)]
pub struct Notes {
    told: Told,
    rows: BTreeMap<ServerId, Row>,
}

impl Notes {
    /// Nothing heard so far.
    pub fn new(told: Told) -> Self {
        Self { told, rows: BTreeMap::new() }
    }

    /// What a finite figure on a connection to this server means.
    pub fn hear(&mut self, now: Time, server: ServerId, figure: f64) -> Note {
        let load = Note::Load(figure / 1e6);
        let takes = Note::Takes(Span::from_micros((figure * 1e3) as i64));
        match self.told {
            Told { delay: false, .. } => return load,
            Told { load: false, .. } => return takes,
            _ if !(0.0..NEVER).contains(&figure) => return load,
            _ => {}
        }
        let row = self.rows.entry(server).or_default();
        let kept = row.beat.is_some_and(|beat| now.since(beat) < KEPT && on_beat(now.since(beat)));
        let second = row.maybe.replace(now).is_some_and(|maybe| {
            let after = now.since(maybe);
            after + OFF_BEAT >= BEAT && after < BEAT + OFF_BEAT
        });
        if figure < SURELY || kept || second {
            row.beat = Some(now);
            return takes;
        }
        load
    }

    /// The server has begun anew or has gone: its beat is another one, if any.
    pub fn forget(&mut self, server: ServerId) {
        self.rows.remove(&server);
    }
}

fn on_beat(after: Span) -> bool {
    let off = after.as_micros().rem_euclid(BEAT.as_micros());
    off.min(BEAT.as_micros() - off) <= OFF_BEAT.as_micros()
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOTH: Told = Told { load: true, delay: true };

    fn heard(told: Told, words: &[(i64, f64)]) -> Vec<bool> {
        let mut notes = Notes::new(told);
        let takes = |&(ms, figure): &(i64, f64)| {
            let note = notes.hear(Time::from_micros(ms * 1_000), ServerId(7), figure);
            matches!(note, Note::Takes(_))
        };
        words.iter().map(takes).collect()
    }

    #[test]
    fn delays_are_told_from_loads_by_their_beat() {
        // After what a server of roll+mass told a gateway, with loads set between.
        let words = [
            (140, 165_467.0),
            (2_033, 105_239.6),
            (3_640, 22.9),
            (4_640, 162.2),
            (4_900, 700.0),
            (5_646, 426.5),
            (6_640, 1_124.4),
            (6_811, 18_412.1),
            (8_638, 990.7),
            (9_640, 9.3),
        ];
        let takes = [false, false, true, true, false, true, true, false, true, true];
        assert_eq!(heard(BOTH, &words), takes);
    }

    #[test]
    fn a_delay_that_begins_long_is_known_from_its_second_word_on() {
        assert_eq!(heard(BOTH, &[(0, 1_257.2), (1_003, 1_508.6), (2_001, 1_004.3)]), [false, true, true]);
        assert_eq!(heard(BOTH, &[(0, 1_257.2), (1_500, 1_508.6), (2_900, 1_004.3)]), [false; 3]);
    }

    #[test]
    fn where_one_thing_is_told_the_word_means_that() {
        assert_eq!(heard(Told { load: true, delay: false }, &[(0, 20.0), (1_000, 20.0)]), [false; 2]);
        assert_eq!(heard(Told { load: false, delay: true }, &[(0, 20.0), (300, 90_000.0)]), [true; 2]);
        assert_eq!(heard(Told::default(), &[(0, 20.0)]), [false]);
    }

    #[test]
    fn figures_out_of_all_bounds_are_loads_and_a_server_begun_anew_has_another_beat() {
        assert_eq!(heard(BOTH, &[(0, -1.0), (0, f64::MAX), (0, f64::NAN)]), [false; 3]);
        let mut notes = Notes::new(BOTH);
        let mut hear = |ms: i64, figure, forget: bool| {
            if forget {
                notes.forget(ServerId(1));
            }
            notes.hear(Time::from_micros(ms * 1_000), ServerId(1), figure)
        };
        assert_eq!(hear(0, 30.0, false), Note::Takes(Span::from_micros(30_000)));
        assert_eq!(hear(2_000, 900.0, false), Note::Takes(Span::from_micros(900_000)));
        assert_eq!(hear(3_000, 900.0, true), Note::Load(900.0 / 1e6));
    }
}
