//! Parsing of JSON and TOML files into JSON values.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::problem::Problems;

/// Parses the text of a file. It is JSON if its first character is a brace, and TOML otherwise.
pub(crate) fn parse(file: &str, bytes: &[u8]) -> Result<Value, Problems> {
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let location = line_and_column(bytes, error.valid_up_to());
        Problems::single(file, location, "a byte that is not valid UTF-8", "UTF-8 text")
    })?;
    if text.trim().is_empty() {
        return Err(Problems::single(file, "", "an empty file", "a list of servers"));
    }
    if text.trim_start().starts_with('{') {
        return serde_json::from_str::<Strict>(text).map(|Strict(value)| value).map_err(|error| {
            let location = format!("line {}, column {}", error.line(), error.column());
            // The message of serde_json ends with the location, which the problem already starts with.
            let message = error.to_string();
            let found = message.split(" at line ").next().unwrap_or(&message).to_owned();
            Problems::single(file, location, found, "JSON without duplicate names in an object")
        });
    }
    let table: toml::Table = toml::from_str(text).map_err(|error| {
        let location = line_and_column(bytes, error.span().map_or(0, |span| span.start));
        Problems::single(file, location, error.message().replace('\n', " "), "TOML")
    })?;
    let mut problems = Problems::default();
    let value = toml_to_json(file, toml::Value::Table(table), "", &mut problems);
    problems.ok_or_problems(value)
}

/// Returns the line and column of the byte at `offset`, both counted from 1, as the location of a problem.
fn line_and_column(bytes: &[u8], offset: usize) -> String {
    let before = &bytes[..offset.min(bytes.len())];
    let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|&&byte| byte != b'\n').count() + 1;
    format!("line {line}, column {column}")
}

/// Converts a TOML value to JSON. TOML values without a JSON counterpart, which are infinities, NaN and
/// times, are reported as problems.
fn toml_to_json(file: &str, value: toml::Value, location: &str, problems: &mut Problems) -> Value {
    match value {
        toml::Value::String(text) => Value::String(text),
        toml::Value::Integer(number) => Value::from(number),
        toml::Value::Boolean(value) => Value::Bool(value),
        toml::Value::Float(float) => match Number::from_f64(float) {
            Some(number) => Value::Number(number),
            None => {
                problems.add(file, location, float.to_string(), "a number");
                Value::Null
            }
        },
        toml::Value::Datetime(time) => {
            problems.add(file, location, format!("the time {time}"), "text, a number, or a table");
            Value::Null
        }
        toml::Value::Array(values) => {
            let convert =
                |(number, value)| toml_to_json(file, value, &format!("{location}/{number}"), problems);
            Value::Array(values.into_iter().enumerate().map(convert).collect())
        }
        toml::Value::Table(table) => {
            let convert = |(name, value): (String, toml::Value)| {
                let value = toml_to_json(file, value, &format!("{location}/{name}"), problems);
                (name, value)
            };
            Value::Object(table.into_iter().map(convert).collect())
        }
    }
}

/// JSON value without duplicate names in an object. A document with duplicates is rejected, because it is
/// ambiguous which of the values was intended.
struct Strict(Value);

impl<'de> Deserialize<'de> for Strict {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct StrictVisitor;

        impl<'de> Visitor<'de> for StrictVisitor {
            type Value = Strict;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("any JSON")
            }
            fn visit_unit<E>(self) -> Result<Strict, E> {
                Ok(Strict(Value::Null))
            }
            fn visit_bool<E>(self, value: bool) -> Result<Strict, E> {
                Ok(Strict(Value::Bool(value)))
            }
            fn visit_i64<E>(self, number: i64) -> Result<Strict, E> {
                Ok(Strict(Value::from(number)))
            }
            fn visit_u64<E>(self, number: u64) -> Result<Strict, E> {
                Ok(Strict(Value::from(number)))
            }
            fn visit_f64<E>(self, number: f64) -> Result<Strict, E> {
                Ok(Strict(Value::from(number)))
            }
            fn visit_str<E>(self, text: &str) -> Result<Strict, E> {
                Ok(Strict(Value::String(text.to_owned())))
            }
            fn visit_string<E>(self, text: String) -> Result<Strict, E> {
                Ok(Strict(Value::String(text)))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Strict, A::Error> {
                let mut array = Vec::new();
                while let Some(Strict(value)) = elements.next_element()? {
                    array.push(value);
                }
                Ok(Strict(Value::Array(array)))
            }
            fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Strict, A::Error> {
                let mut object = Map::new();
                while let Some((name, Strict(value))) = entries.next_entry::<String, Strict>()? {
                    if object.contains_key(&name) {
                        return Err(A::Error::custom(format_args!("the duplicate name '{name}'")));
                    }
                    object.insert(name, value);
                }
                Ok(Strict(Value::Object(object)))
            }
        }

        deserializer.deserialize_any(StrictVisitor)
    }
}
