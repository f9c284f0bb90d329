//! Words between gateways: each is taken once, young, and from one of the tier; the rest says why not.

use ashtide::gossip::{Gossip, LENGTH, Unheard};
use ashtide::quic::placing::{ServerKey, server_key};
use ashtide::{PeerId, Word};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: u64 = 1_796_000_000_000;
const PEERS: usize = 5;
const WORDS: [Word; 2] = [Word::Sent, Word::Swamped];

fn pair() -> (Gossip, Gossip) {
    (Gossip::new(PeerId(0), PEERS), Gossip::new(PeerId(1), PEERS))
}

fn saying() -> ServerKey {
    server_key("s-5be2a07c")
}

#[test]
fn a_word_comes_as_it_was_said_and_once() {
    let (mut mouth, mut ear) = pair();
    // Many in one instant stay apart, also past the number of steps in it.
    let said: Vec<_> =
        (0..20_u8).map(|byte| mouth.say(NOW, [byte; 4], WORDS[usize::from(byte % 2)])).collect();
    for (byte, bytes) in said.iter().enumerate() {
        let heard = ear.hear(NOW + 30, Some(PeerId(0)), bytes);
        assert_eq!(heard, Ok(([byte as u8; 4], WORDS[byte % 2])));
    }
    for bytes in &said {
        assert_eq!(ear.hear(NOW + 60, Some(PeerId(0)), bytes), Err(Unheard::Repeated));
    }
    // Another gateway may say the same in the same instant.
    assert!(ear.hear(NOW + 30, Some(PeerId(2)), &said[0]).is_ok());
}

#[test]
fn what_is_stale_foreign_or_malformed_says_so_and_is_not_remembered() {
    let (mut mouth, mut ear) = pair();
    let bytes = mouth.say(NOW, saying(), Word::Sent);
    assert_eq!(ear.hear(NOW + 6_000, Some(PeerId(0)), &bytes), Err(Unheard::Stale(6_000)));
    assert_eq!(ear.hear(NOW - 6_000, Some(PeerId(0)), &bytes), Err(Unheard::Stale(6_000)));
    for from in [None, Some(PeerId(1)), Some(PeerId(PEERS as u32)), Some(PeerId(u32::MAX))] {
        assert_eq!(ear.hear(NOW, from, &bytes), Err(Unheard::Foreign));
    }
    assert_eq!(ear.hear(NOW, Some(PeerId(0)), &bytes[..6]), Err(Unheard::Length(6)));
    let mut other = bytes;
    other[0] = 99;
    assert_eq!(ear.hear(NOW, Some(PeerId(0)), &other), Err(Unheard::Word(99)));
    assert_eq!(
        ear.hear(NOW, Some(PeerId(0)), &bytes),
        Ok((saying(), Word::Sent)),
        "none of these used the word up"
    );
}

#[test]
fn a_sender_that_starts_anew_or_whose_clock_stands_is_heard() {
    let (mut mouth, mut ear) = pair();
    assert!(ear.hear(NOW, Some(PeerId(0)), &mouth.say(NOW, saying(), Word::Sent)).is_ok());
    let mut anew = Gossip::new(PeerId(0), PEERS);
    assert!(ear.hear(NOW + 2_000, Some(PeerId(0)), &anew.say(NOW + 2_000, saying(), Word::Swamped)).is_ok());
    // A clock that steps back a little does not make two words one.
    assert!(ear.hear(NOW + 2_000, Some(PeerId(0)), &anew.say(NOW + 1_996, saying(), Word::Swamped)).is_ok());
}

#[test]
fn random_bytes_are_never_more_than_unheard() {
    let (_, mut ear) = pair();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut heard = 0;
    for _ in 0..20_000 {
        let length = rng.random_range(0..2 * LENGTH);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        // Half of them get as far as the stamp.
        if let Some(first) = bytes.first_mut().filter(|_| rng.random()) {
            *first = 16;
        }
        heard += usize::from(ear.hear(NOW, Some(PeerId(rng.random_range(0..8))), &bytes).is_ok());
    }
    // A stamp that happens to be young is all that random bytes can get right.
    assert!(heard < 100, "{heard}");
}
