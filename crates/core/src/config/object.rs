//! Reads the fields of one JSON object and records every fault.
//!
//! An invalid field yields its default or nothing, so that the other fields are checked too and the
//! operator sees all faults of a document at once.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{
    fault::Faults,
    field::{
        Fallback,
        Field,
        Shape, //
    },
    raw::Value, //
};
use crate::{
    ids::Id,
    units::Permille, //
};

/// `Object` is one JSON object that is being read.
pub(crate) struct Object<'a> {
    path: String,
    fields: IndexMap<String, Value>,
    pub(crate) faults: &'a mut Faults,
}

impl<'a> Object<'a> {
    /// Starts to read `value`; adds a fault if it is not an object.
    pub(crate) fn new(path: &str, value: Value, faults: &'a mut Faults) -> Option<Self> {
        let Value::Object(fields) = value else {
            faults.add(path, value, "an object");
            return None;
        };
        Some(Self {
            path: path.to_owned(),
            fields,
            faults,
        })
    }

    /// Gets the path of a field.
    pub(crate) fn path(&self, field: &Field) -> String {
        match self.path.as_str() {
            "" => field.name.to_owned(),
            path => format!("{path}.{}", field.name),
        }
    }

    /// Adds a fault: `found` is not a valid value of `field`.
    pub(crate) fn refuse(&mut self, field: &Field, found: impl std::fmt::Display) {
        let path = self.path(field);
        self.faults.add(path, found, field.expected());
    }

    /// Removes and returns a field; adds a fault if it is required and absent.
    pub(crate) fn take(&mut self, field: &Field) -> Option<Value> {
        let value = self.fields.swap_remove(field.name);
        if value.is_none() && field.fallback == Fallback::Required {
            self.refuse(field, "nothing");
        }
        value
    }

    /// Reads a whole number; `None` if it is absent or invalid.
    pub(crate) fn optional_number(&mut self, field: &Field) -> Option<u64> {
        let value = self.take(field)?;
        let number = match &value {
            Value::Number(number) => number.as_u64(),
            _ => None,
        };
        let Shape::Number { min, max, .. } = field.shape else {
            return number;
        };
        let good = number.filter(|n| (min..=max).contains(n));
        if good.is_none() {
            self.refuse(field, value);
        }
        good
    }

    /// Reads a whole number or its default.
    pub(crate) fn number(&mut self, field: &Field) -> u64 {
        self.optional_number(field)
            .unwrap_or_else(|| field.number_or_least())
    }

    /// Reads a whole number or its default, as 32 bits; the ranges of the fields fit in.
    pub(crate) fn number_u32(&mut self, field: &Field) -> u32 {
        u32::try_from(self.number(field)).unwrap_or(u32::MAX)
    }

    /// Reads a ratio or its default.
    pub(crate) fn ratio(&mut self, field: &Field) -> Permille {
        let fallback = u32::try_from(field.number_or_least()).unwrap_or(u32::MAX);
        let fallback = Permille(fallback);
        let (Some(value), Shape::Ratio { min, max }) = (self.take(field), field.shape) else {
            return fallback;
        };
        let limits = f64::from(min.0) / 1000.0..=f64::from(max.0) / 1000.0;
        let ratio = match &value {
            Value::Number(number) => number.as_f64().filter(|r| limits.contains(r)),
            _ => None,
        };
        if ratio.is_none() {
            self.refuse(field, value);
        }
        ratio.map_or(fallback, Permille::from_ratio)
    }

    /// Reads a flag or its default.
    pub(crate) fn flag(&mut self, field: &Field) -> bool {
        match self.take(field) {
            Some(Value::Flag(flag)) => flag,
            Some(other) => {
                self.refuse(field, other);
                false
            }
            None => field.number_or_least() != 0,
        }
    }

    /// Reads a text or its default; `None` if there is neither.
    pub(crate) fn text(&mut self, field: &Field) -> Option<String> {
        match (self.take(field), field.fallback) {
            (Some(Value::Text(text)), _) => Some(text),
            (Some(other), _) => {
                self.refuse(field, other);
                None
            }
            (None, Fallback::Text(text)) => Some(text.to_owned()),
            (None, _) => None,
        }
    }

    /// Reads a text and parses it with `make`; adds a fault that shows the text if that fails.
    pub(crate) fn parsed<T>(
        &mut self,
        field: &Field,
        make: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(field)?;
        let made = make(&text);
        if made.is_none() {
            self.refuse(field, Value::Text(text));
        }
        made
    }

    /// Reads a name.
    pub(crate) fn id(&mut self, field: &Field) -> Option<Id> {
        self.parsed(field, |text| Id::try_from(text).ok())
    }

    /// Reads an address that others can connect to.
    pub(crate) fn address(&mut self, field: &Field) -> Option<SocketAddr> {
        self.parsed(field, parse_reachable)
    }

    /// Reads a list as the path and value of each entry; empty if it is absent or invalid.
    pub(crate) fn list(&mut self, field: &Field) -> Vec<(String, Value)> {
        let list = match self.take(field) {
            None => return Vec::new(),
            Some(Value::List(list)) => list,
            Some(other) => {
                self.refuse(field, other);
                return Vec::new();
            }
        };
        if let Shape::List { min, max, .. } = field.shape
            && !(min..=max).contains(&list.len())
        {
            self.refuse(field, format_args!("{} entries", list.len()));
            return Vec::new();
        }
        let path = self.path(field);
        let entry = |(i, value)| (format!("{path}[{i}]"), value);
        list.into_iter().enumerate().map(entry).collect()
    }

    /// Reads an object with arbitrary field names; empty if it is absent or invalid.
    pub(crate) fn table(&mut self, field: &Field) -> IndexMap<String, Value> {
        let table = match self.take(field) {
            None => return IndexMap::new(),
            Some(Value::Object(table)) => table,
            Some(other) => {
                self.refuse(field, other);
                return IndexMap::new();
            }
        };
        if let Shape::Table { max, .. } = field.shape
            && table.len() > max
        {
            self.refuse(field, format_args!("{} entries", table.len()));
            return IndexMap::new();
        }
        table
    }

    /// Adds a fault for each field that was not read.
    pub(crate) fn finish(self) {
        for name in self.fields.keys() {
            let shown = Value::Text(name.clone());
            self.faults
                .add(self.path.clone(), shown, "no field of this name");
        }
    }
}

/// Parses an `IP:PORT` to which others can connect.
pub(crate) fn parse_reachable(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let ip = address.ip();
    let good = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
    good.then_some(address)
}

/// Parses 32 bytes in hexadecimal.
pub(crate) fn hash(text: &str) -> Option<[u8; 32]> {
    let bytes = parse_hex(text)?;
    bytes.try_into().ok()
}

/// Parses bytes in hexadecimal.
pub(crate) fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |b: &u8| (*b as char).to_digit(16).and_then(|d| u8::try_from(d).ok());
    let pair = |pair: &[u8]| match pair {
        [high, low] => Some(digit(high)? << 4 | digit(low)?),
        _ => None,
    };
    text.as_bytes().chunks(2).map(pair).collect()
}
