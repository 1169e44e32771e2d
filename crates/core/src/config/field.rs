//! Describes fields of documents: type, unit, range and default. The checks use these descriptions,
//! and a test compares them with the reference page (docs/CONFIGURATION.md).

use crate::units::Permille;

/// `Shape` is the type and range of a field's values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A whole number of some unit.
    Number {
        /// The unit.
        unit: &'static str,
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A ratio, written as a decimal number and held in thousandths.
    Ratio {
        /// The least.
        min: Permille,
        /// The greatest.
        max: Permille,
    },
    /// `true` or `false`.
    Flag,
    /// A text in the described form.
    Text(&'static str),
    /// A list.
    List {
        /// Description of the entries.
        of: &'static str,
        /// The fewest.
        min: usize,
        /// The most.
        max: usize,
    },
    /// An object with fields of its own.
    Object,
    /// An object with arbitrary field names.
    Table {
        /// Description of the mapping.
        of: &'static str,
        /// The most.
        max: usize,
    },
}

/// `Fallback` is what applies when a field is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// The field must be present.
    Required,
    /// No value, such as an empty list or no limit; the text describes it.
    Absent(&'static str),
    /// A number in the unit of the field; thousandths for a ratio, 0 and 1 for a flag.
    Number(u64),
    /// A text.
    Text(&'static str),
}

/// `Field` is one field of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name in JSON.
    pub name: &'static str,
    /// Type and range of its values.
    pub shape: Shape,
    /// What applies when it is absent.
    pub fallback: Fallback,
}

/// `Section` is the group of fields of one object.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Heading in the reference page.
    pub name: &'static str,
    /// The fields.
    pub fields: &'static [Field],
}

impl Field {
    const fn new(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            fallback: Fallback::Required,
        }
    }

    /// Makes a required whole number.
    pub const fn number(name: &'static str, unit: &'static str, min: u64, max: u64) -> Self {
        Self::new(name, Shape::Number { unit, min, max })
    }

    /// Makes a required ratio.
    pub const fn ratio(name: &'static str, min: Permille, max: Permille) -> Self {
        Self::new(name, Shape::Ratio { min, max })
    }

    /// Makes a flag that is false when absent.
    pub const fn flag(name: &'static str) -> Self {
        Self::new(name, Shape::Flag).or(0)
    }

    /// Makes a required text.
    pub const fn text(name: &'static str, form: &'static str) -> Self {
        Self::new(name, Shape::Text(form))
    }

    /// Makes a required list.
    pub const fn list(name: &'static str, of: &'static str, min: usize, max: usize) -> Self {
        Self::new(name, Shape::List { of, min, max })
    }

    /// Makes a table that is empty when absent.
    pub const fn table(name: &'static str, of: &'static str, max: usize) -> Self {
        Self::new(name, Shape::Table { of, max }).or_absent("none")
    }

    /// Makes an object whose fields all have defaults.
    pub const fn object(name: &'static str) -> Self {
        Self::new(name, Shape::Object).or_absent("all defaults")
    }

    /// Gives the field a default number.
    pub const fn or(mut self, number: u64) -> Self {
        self.fallback = Fallback::Number(number);
        self
    }

    /// Gives the field a default text.
    pub const fn or_text(mut self, text: &'static str) -> Self {
        self.fallback = Fallback::Text(text);
        self
    }

    /// Lets the field be absent; the text describes what applies then.
    pub const fn or_absent(mut self, words: &'static str) -> Self {
        self.fallback = Fallback::Absent(words);
        self
    }

    /// Gets the default number; without a default the least valid one, or zero for other types.
    pub const fn number_or_least(&self) -> u64 {
        match (self.fallback, self.shape) {
            (Fallback::Number(number), _) => number,
            (_, Shape::Number { min, .. }) => min,
            (_, Shape::Ratio { min, .. }) => min.0 as u64,
            _ => 0,
        }
    }

    /// Gets the unit or kind of the values, in words.
    pub fn unit(&self) -> String {
        match self.shape {
            Shape::Number { unit, .. } => unit.to_owned(),
            Shape::Ratio { .. } => "ratio".to_owned(),
            Shape::Flag => "true or false".to_owned(),
            Shape::Object => "object".to_owned(),
            Shape::Text(form) => form.to_owned(),
            Shape::List { of, .. } => format!("list of {of}"),
            Shape::Table { of, .. } => of.to_owned(),
        }
    }

    /// Gets the range of the values, in words.
    pub fn range(&self) -> String {
        match self.shape {
            Shape::Number { min, max, .. } => format!("{min} to {max}"),
            Shape::Ratio { min, max } => format!("{} to {}", decimal(min), decimal(max)),
            Shape::Flag | Shape::Text(_) | Shape::Object => "-".to_owned(),
            Shape::List { min, max, .. } => format!("{min} to {max} entries"),
            Shape::Table { max, .. } => format!("0 to {max} entries"),
        }
    }

    /// Gets what is expected, in words, for a fault.
    pub fn expected(&self) -> String {
        match self.shape {
            Shape::Number { unit, .. } => format!("a whole number ({unit}), {}", self.range()),
            Shape::Ratio { .. } => format!("a number, {}", self.range()),
            Shape::Table { .. } => format!("an object ({})", self.unit()),
            Shape::List { .. } => format!("a {}, {}", self.unit(), self.range()),
            Shape::Flag | Shape::Text(_) | Shape::Object => self.unit(),
        }
    }

    /// Gets the default, in words.
    pub fn default_words(&self) -> String {
        match (self.fallback, self.shape) {
            (Fallback::Required, _) => "required".to_owned(),
            (Fallback::Absent(words), _) => words.to_owned(),
            (Fallback::Text(text), _) => format!("`{text}`"),
            (Fallback::Number(number), Shape::Flag) => (number != 0).to_string(),
            (Fallback::Number(number), Shape::Ratio { .. }) => {
                decimal(Permille(u32::try_from(number).unwrap_or(u32::MAX)))
            }
            (Fallback::Number(number), _) => number.to_string(),
        }
    }

    /// Gets the first columns of the field's row in the reference page, without the description.
    pub fn row(&self) -> String {
        let (unit, default, range) = (self.unit(), self.default_words(), self.range());
        format!("| `{}` | {unit} | {default} | {range} |", self.name)
    }
}

fn decimal(ratio: Permille) -> String {
    (f64::from(ratio.0) / 1000.0).to_string()
}
