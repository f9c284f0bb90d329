//! Parser of the `name=value` fields of a protocol line. Their order is free.

use ashtide::settings::span_from_seconds;
use ashtide::{Span, Time};

use crate::error::LineError;

struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// Fields of one protocol line.
pub struct Fields<'a> {
    fields: Vec<Field<'a>>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its fields. The value of the field named `last` extends to the end of the line.
    pub fn parse(mut text: &'a str, last: Option<&str>) -> Result<Self, LineError> {
        let mut fields = Vec::with_capacity(8);
        while !text.is_empty() {
            let not_a_pair = || LineError::NotAPair(text.to_owned());
            let (name, tail) = text.split_once('=').ok_or_else(not_a_pair)?;
            if last == Some(name) {
                fields.push(Field { name, value: tail });
                break;
            }
            if name.is_empty() || name.contains(' ') {
                return Err(not_a_pair());
            }
            let (value, tail) = tail.split_once(' ').unwrap_or((tail, ""));
            fields.push(Field { name, value });
            text = tail;
        }
        Ok(Self { fields })
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.iter().find(|field| field.name == name).map(|field| field.value)
    }

    pub fn required(&self, name: &'static str) -> Result<&'a str, LineError> {
        self.get(name).ok_or(LineError::MissingField(name))
    }

    pub fn required_u64(&self, name: &'static str) -> Result<u64, LineError> {
        parse_u64(name, self.required(name)?)
    }

    pub fn required_u32(&self, name: &'static str) -> Result<u32, LineError> {
        parse_u32(name, self.required(name)?)
    }

    pub fn required_number(&self, name: &'static str) -> Result<f64, LineError> {
        parse_number(name, self.required(name)?)
    }

    /// Parses an optional field; returns zero if it is missing.
    pub fn optional_u32(&self, name: &'static str) -> Result<u32, LineError> {
        self.get(name).map_or(Ok(0), |value| parse_u32(name, value))
    }

    pub fn optional_number(&self, name: &'static str) -> Result<Option<f64>, LineError> {
        self.get(name).map(|value| parse_number(name, value)).transpose()
    }

    /// Parses an optional field in seconds; returns zero if it is missing.
    pub fn span(&self, name: &'static str) -> Result<Span, LineError> {
        Ok(self.optional_number(name)?.map_or(Span::ZERO, span_from_seconds))
    }

    /// Parses an optional flag, `0` or `1`; returns false if it is missing.
    pub fn flag(&self, name: &'static str) -> Result<bool, LineError> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(LineError::NotAFlag { field: name, value: value.to_owned() }),
        }
    }
}

fn parse_u64(field: &'static str, value: &str) -> Result<u64, LineError> {
    value.parse().map_err(|_| LineError::NotAnInteger { field, value: value.to_owned() })
}

fn parse_u32(field: &'static str, value: &str) -> Result<u32, LineError> {
    let value = parse_u64(field, value)?;
    u32::try_from(value).map_err(|_| LineError::OutOfRange { field, value })
}

pub fn parse_number(field: &'static str, value: &str) -> Result<f64, LineError> {
    value.parse().map_err(|_| LineError::NotANumber { field, value: value.to_owned() })
}

/// Checks that a text is `-`, which denotes an empty body, or pairs of hexadecimal digits.
pub fn check_hex(text: &str) -> Result<(), LineError> {
    let is_hex =
        |pair: &[u8]| std::str::from_utf8(pair).is_ok_and(|digits| u8::from_str_radix(digits, 16).is_ok());
    let is_valid = text.is_ascii() && text.len().is_multiple_of(2) && text.as_bytes().chunks(2).all(is_hex);
    if text == "-" || is_valid { Ok(()) } else { Err(LineError::NotHex(text.to_owned())) }
}

/// Converts a reading of the simulator's clock, in seconds, to a point in time.
pub fn time_from_seconds(seconds: f64) -> Time {
    Time::from_micros(span_from_seconds(seconds).as_micros())
}
