//! From text to one JSON value, whichever of the two languages it was written in.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::problem::Problems;

/// Reads a file's text. JSON where its first character is a brace, TOML otherwise.
pub(crate) fn read(file: &str, bytes: &[u8]) -> Result<Value, Problems> {
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let (line, column) = place(bytes, error.valid_up_to());
        Problems::one(
            file,
            format!("line {line}, column {column}"),
            "a byte that is no UTF-8",
            "text in UTF-8",
        )
    })?;
    if text.trim().is_empty() {
        return Err(Problems::one(file, "", "an empty file", "a list of servers"));
    }
    if text.trim_start().starts_with('{') {
        return serde_json::from_str::<Strict>(text).map(|Strict(value)| value).map_err(|error| {
            let at = format!("line {}, column {}", error.line(), error.column());
            // serde_json ends its message with the place, which stands before it here.
            let what = error.to_string();
            let what = what.split(" at line ").next().unwrap_or(&what).to_owned();
            Problems::one(file, at, what, "JSON whose names stand once in each object")
        });
    }
    let table: toml::Table = toml::from_str(text).map_err(|error| {
        let (line, column) = place(bytes, error.span().map_or(0, |span| span.start));
        Problems::one(
            file,
            format!("line {line}, column {column}"),
            error.message().replace('\n', " "),
            "TOML",
        )
    })?;
    let mut problems = Problems::default();
    let value = from_toml(file, toml::Value::Table(table), "", &mut problems);
    problems.none(value)
}

/// Line and column of a byte, both from 1 on.
fn place(bytes: &[u8], at: usize) -> (usize, usize) {
    let before = &bytes[..at.min(bytes.len())];
    let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|&&byte| byte != b'\n').count() + 1;
    (line, column)
}

/// TOML knows figures and times that JSON does not: those are named here, not passed on as something else.
fn from_toml(file: &str, value: toml::Value, at: &str, problems: &mut Problems) -> Value {
    match value {
        toml::Value::String(text) => Value::String(text),
        toml::Value::Integer(figure) => Value::from(figure),
        toml::Value::Boolean(is) => Value::Bool(is),
        toml::Value::Float(figure) => match Number::from_f64(figure) {
            Some(figure) => Value::Number(figure),
            None => {
                problems.add(file, at, figure.to_string(), "a number");
                Value::Null
            }
        },
        toml::Value::Datetime(time) => {
            problems.add(file, at, format!("the time {time}"), "text, a number, or a table");
            Value::Null
        }
        toml::Value::Array(all) => {
            let each = |(number, value)| from_toml(file, value, &format!("{at}/{number}"), problems);
            Value::Array(all.into_iter().enumerate().map(each).collect())
        }
        toml::Value::Table(table) => {
            let each = |(name, value): (String, toml::Value)| {
                let value = from_toml(file, value, &format!("{at}/{name}"), problems);
                (name, value)
            };
            Value::Object(table.into_iter().map(each).collect())
        }
    }
}

/// A JSON value in which no object has a name twice: which of the two was meant is anybody's guess.
struct Strict(Value);

impl<'de> Deserialize<'de> for Strict {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Any;

        impl<'de> Visitor<'de> for Any {
            type Value = Strict;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("any JSON")
            }
            fn visit_unit<E>(self) -> Result<Strict, E> {
                Ok(Strict(Value::Null))
            }
            fn visit_bool<E>(self, is: bool) -> Result<Strict, E> {
                Ok(Strict(Value::Bool(is)))
            }
            fn visit_i64<E>(self, figure: i64) -> Result<Strict, E> {
                Ok(Strict(Value::from(figure)))
            }
            fn visit_u64<E>(self, figure: u64) -> Result<Strict, E> {
                Ok(Strict(Value::from(figure)))
            }
            fn visit_f64<E>(self, figure: f64) -> Result<Strict, E> {
                Ok(Strict(Value::from(figure)))
            }
            fn visit_str<E>(self, text: &str) -> Result<Strict, E> {
                Ok(Strict(Value::String(text.to_owned())))
            }
            fn visit_string<E>(self, text: String) -> Result<Strict, E> {
                Ok(Strict(Value::String(text)))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut all: A) -> Result<Strict, A::Error> {
                let mut array = Vec::new();
                while let Some(Strict(value)) = all.next_element()? {
                    array.push(value);
                }
                Ok(Strict(Value::Array(array)))
            }
            fn visit_map<A: MapAccess<'de>>(self, mut all: A) -> Result<Strict, A::Error> {
                let mut object = Map::new();
                while let Some((name, Strict(value))) = all.next_entry::<String, Strict>()? {
                    if object.contains_key(&name) {
                        return Err(A::Error::custom(format_args!("the name '{name}' twice")));
                    }
                    object.insert(name, value);
                }
                Ok(Strict(Value::Object(object)))
            }
        }

        deserializer.deserialize_any(Any)
    }
}
