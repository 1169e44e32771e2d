//! JSON values before validation.
//!
//! `serde_json`'s own map keeps the last of two fields with the same name. An operator who gives a
//! limit twice could read one value while the other is in force, so [`Value`] refuses duplicate
//! fields.

use std::fmt;

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{
        Error as _,
        MapAccess,
        SeqAccess,
        Visitor, //
    },
};

use super::fault::Faults;

/// Most bytes of one published value, as limited by the platform.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most characters of a value that a fault shows.
const MAX_SHOWN_CHARS: usize = 60;

/// `Value` is any JSON value. Fields keep their order; duplicate fields are refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Flag(bool),
    /// A number.
    Number(serde_json::Number),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object.
    Object(IndexMap<String, Value>),
}

impl Value {
    /// Parses a value of at most `max` bytes; adds a fault if it isn't JSON.
    pub(crate) fn parse(path: &str, json: &[u8], max: usize, faults: &mut Faults) -> Option<Self> {
        if json.len() > max {
            let expected = format_args!("at most {max} bytes");
            faults.add(path, format_args!("{} bytes", json.len()), expected);
            return None;
        }
        match serde_json::from_slice(json) {
            Ok(value) => Some(value),
            Err(error) => {
                faults.add(path, error, "a JSON value");
                None
            }
        }
    }

    /// Writes the value as JSON.
    pub fn to_json(&self) -> Bytes {
        // INVARIANT: a `Value` has text keys and finite numbers only, so this can't fail.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) if text.chars().count() > MAX_SHOWN_CHARS => {
                let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
                write!(f, "{start:?}... ({} bytes)", text.len())
            }
            Value::Text(text) => write!(f, "{text:?}"),
            Value::List(list) => write!(f, "a list of {}", list.len()),
            Value::Object(object) => write!(f, "an object of {}", object.len()),
        }
    }
}

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Value::Null => serializer.serialize_unit(),
            Value::Flag(flag) => serializer.serialize_bool(*flag),
            Value::Number(number) => number.serialize(serializer),
            Value::Text(text) => serializer.serialize_str(text),
            Value::List(list) => list.serialize(serializer),
            Value::Object(object) => object.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Flag(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::Number(number.into()))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(Value::Number(number.into()))
    }

    fn visit_f64<E: serde::de::Error>(self, number: f64) -> Result<Value, E> {
        let number = serde_json::Number::from_f64(number);
        number
            .map(Value::Number)
            .ok_or_else(|| E::custom("expected a finite number"))
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut out = Vec::new();
        while let Some(value) = list.next_element()? {
            out.push(value);
        }
        Ok(Value::List(out))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut out = IndexMap::new();
        while let Some((name, value)) = map.next_entry::<String, Value>()? {
            if out.contains_key(&name) {
                return Err(A::Error::custom(format_args!("{name:?} given twice")));
            }
            out.insert(name, value);
        }
        Ok(Value::Object(out))
    }
}
