//! Fixture files, and transcripts of inputs with their recorded outcomes.
//!
//! In a transcript a line of input begins with `> ` and a line of the outcome with `< `; other lines are
//! comments. A test regenerates the transcript from its inputs and compares the two byte for byte.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::path::PathBuf;

/// Returns the path of a fixture file.
pub fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(file)
}

/// Reads a fixture file as bytes.
pub fn bytes(file: &str) -> Vec<u8> {
    std::fs::read(path(file)).unwrap_or_else(|error| panic!("reading the fixture {file} failed: {error}"))
}

/// Reads a fixture file as UTF-8 text.
pub fn text(file: &str) -> String {
    String::from_utf8(bytes(file)).expect("the fixture is UTF-8")
}

/// Asserts that `written` equals the bytes of a fixture file.
pub fn assert_written(file: &str, written: &[u8]) {
    let expected = bytes(file);
    let escaped = |bytes: &[u8]| bytes.escape_ascii().to_string();
    assert!(written == expected, "{file}: written\n{}\nexpected\n{}", escaped(written), escaped(&expected));
}

/// Asserts that a transcript has `cases` inputs and that `outcome` returns the recorded outcome for each of
/// them.
pub fn assert_outcomes(file: &str, cases: usize, mut outcome: impl FnMut(&str) -> String) {
    let transcript = text(file);
    let mut regenerated = String::new();
    let mut case_count = 0;
    let mut lines = transcript.lines().peekable();
    while let Some(line) = lines.next() {
        if line.starts_with('<') {
            continue;
        }
        regenerated += line;
        regenerated += "\n";
        let Some(first) = line.strip_prefix("> ") else { continue };
        let mut input = first.to_owned();
        while let Some(next) = lines.next_if(|next| next.starts_with("> ")) {
            regenerated += next;
            regenerated += "\n";
            input += "\n";
            input += &next[2..];
        }
        case_count += 1;
        for line in outcome(&input).lines() {
            regenerated += &format!("< {line}");
            regenerated += "\n";
        }
    }
    assert_eq!(case_count, cases, "{file}: number of cases");
    for (index, (actual, recorded)) in regenerated.lines().zip(transcript.lines()).enumerate() {
        assert_eq!(actual, recorded, "{file}, line {}", index + 1);
    }
    assert!(regenerated == transcript, "{file}: the outcomes have too few or too many lines");
}

/// Decodes the escape sequences `\n`, `\r`, `\\` and `\xNN` in a text.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut remaining = text.bytes();
    while let Some(byte) = remaining.next() {
        if byte != b'\\' {
            bytes.push(byte);
            continue;
        }
        bytes.push(match remaining.next() {
            Some(b'n') => b'\n',
            Some(b'r') => b'\r',
            Some(b'\\') => b'\\',
            Some(b'x') => {
                let mut digit = || remaining.next().expect("two hexadecimal digits");
                let digits = [digit(), digit()];
                let digits = std::str::from_utf8(&digits).expect("digits are ASCII");
                u8::from_str_radix(digits, 16).expect("hex digits")
            }
            other => panic!("unknown escape sequence {other:?} in {text}"),
        });
    }
    bytes
}

/// Encodes bytes as text that [`unescape`] decodes.
pub fn escape(bytes: &[u8]) -> String {
    let mut text = String::new();
    for &byte in bytes {
        match byte {
            b'\n' => text += "\\n",
            b'\r' => text += "\\r",
            b'\\' => text += "\\\\",
            b' '..=b'~' => text.push(char::from(byte)),
            _ => text += &format!("\\x{byte:02x}"),
        }
    }
    text
}

/// Encodes bytes as hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits; whitespace between them is skipped.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|character| !character.is_whitespace()).collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("hex digits");
    digits.chunks(2).map(byte).collect()
}
