//! Files of inputs, each with the outcome that it had when the file was written.
//!
//! A line of input begins with `> `, a line of the outcome with `< `; other lines are comments. The file is
//! written anew from its inputs and compared byte for byte.

// Each file of tests uses its own part.
#![allow(dead_code)]

use std::path::PathBuf;

/// The path of a fixture.
pub fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility").join(file)
}

/// The bytes of a fixture.
pub fn bytes(file: &str) -> Vec<u8> {
    std::fs::read(path(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// The text of a fixture.
pub fn text(file: &str) -> String {
    String::from_utf8(bytes(file)).expect("UTF-8")
}

/// Compares written bytes with a fixture.
pub fn assert_written(file: &str, written: &[u8]) {
    let expected = bytes(file);
    let shown = |bytes: &[u8]| bytes.escape_ascii().to_string();
    assert!(written == expected, "{file}: written\n{}\nexpected\n{}", shown(written), shown(&expected));
}

/// Runs each input of a transcript, of which there are `cases`, and compares the outcomes.
pub fn assert_outcomes(file: &str, cases: usize, mut outcome: impl FnMut(&str) -> String) {
    let transcript = text(file);
    let mut rewritten = String::new();
    let mut found = 0;
    let mut lines = transcript.lines().peekable();
    while let Some(line) = lines.next() {
        if line.starts_with('<') {
            continue;
        }
        rewritten += line;
        rewritten += "\n";
        let Some(first) = line.strip_prefix("> ") else { continue };
        let mut input = first.to_owned();
        while let Some(next) = lines.next_if(|next| next.starts_with("> ")) {
            rewritten += next;
            rewritten += "\n";
            input += "\n";
            input += &next[2..];
        }
        found += 1;
        for line in outcome(&input).lines() {
            rewritten += &format!("< {line}");
            rewritten += "\n";
        }
    }
    assert_eq!(found, cases, "{file}: number of cases");
    for (number, (now, then)) in rewritten.lines().zip(transcript.lines()).enumerate() {
        assert_eq!(now, then, "{file}, line {}", number + 1);
    }
    assert!(rewritten == transcript, "{file}: lines are missing or left over");
}

/// The bytes that a text with `\n`, `\r`, `\\` and `\xNN` stands for.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'\\' {
            bytes.push(byte);
            continue;
        }
        bytes.push(match rest.next() {
            Some(b'n') => b'\n',
            Some(b'r') => b'\r',
            Some(b'\\') => b'\\',
            Some(b'x') => {
                let digits = [rest.next().expect("a digit"), rest.next().expect("a digit")];
                let digits = std::str::from_utf8(&digits).expect("digits");
                u8::from_str_radix(digits, 16).expect("hex digits")
            }
            other => panic!("escape {other:?} in {text}"),
        });
    }
    bytes
}

/// Bytes as text that [`unescape`] reads.
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

/// Bytes as hex digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of hex digits; blanks and line breaks between them are skipped.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|it| !it.is_whitespace()).collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("hex digits");
    digits.chunks(2).map(byte).collect()
}
