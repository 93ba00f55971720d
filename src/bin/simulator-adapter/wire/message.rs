//! One line of the wire, parsed into a name and its fields.
//!
//! Owns the syntax of lines and of single values, and the errors that name a malformed field. What a message
//! means is left to the modules beside this one.

use edge_gateway::{ConfigurationError, SettingsError};

/// A field whose value is text that runs to the end of the line.
const SETTINGS_FIELD: &str = "setup";
/// Number of fields for which memory is reserved.
const TYPICAL_FIELD_COUNT: usize = 10;
/// Most characters of a malformed text that an error repeats.
const MAX_EXCERPT_LENGTH: usize = 40;

/// Why a message cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not made of fields.
    #[error("{message}: expected name=value, found '{found}'")]
    Syntax {
        /// The name of the message.
        message: String,
        /// What stands in place of a field.
        found: String,
    },
    /// A field is missing, or its value cannot be used.
    #[error("{message}: field '{field}': {error}")]
    Field {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: &'static str,
        /// What is wrong with it.
        error: FieldError,
    },
    /// An `item` outside a ledger.
    #[error("item: no ledger is open")]
    UnexpectedItem,
    /// A `ledger` is followed by fewer items than it announced.
    #[error("ledger: field 'rowsIn': {missing} more items expected, found '{found}'")]
    MissingItems {
        /// Number of items that are missing.
        missing: u64,
        /// The beginning of the line that was found instead of an item.
        found: String,
    },
    /// A batch that does not begin with a `mark`.
    #[error("expected 'mark', found '{0}'")]
    ExpectedMark(String),
    /// A message of an unknown name.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// The last batch has no end.
    #[error("input ends within a batch: 'end' is missing")]
    UnfinishedBatch,
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// It is missing or empty.
    #[error("is missing or empty")]
    Missing,
    /// It is not a finite number.
    #[error("'{0}' is not a finite number")]
    NotANumber(String),
    /// It is not an unsigned integer.
    #[error("'{0}' is not an unsigned 64-bit integer")]
    NotAnInteger(String),
    /// The integer does not fit into 32 bits.
    #[error("is too large for 32 bits: {0}")]
    TooLarge(u64),
    /// The text is none of those that the field may have.
    #[error("unknown value '{0}'")]
    UnknownValue(String),
    /// The integer is none of the codes that the field may have.
    #[error("unknown code {0}")]
    UnknownCode(u64),
    /// An entry of a load report is not a pair.
    #[error("expected name:value, found '{0}'")]
    NotAPair(String),
    /// The value of a load report's entry is not a finite number.
    #[error("entry '{name}': '{value}' is not a finite number")]
    InvalidLoad {
        /// The name of the entry.
        name: String,
        /// The value of the entry.
        value: String,
    },
    /// No endpoint list with this number was announced.
    #[error("no ledger with the number {0}")]
    UnknownEndpointList(u64),
    /// No node with this number is enlisted.
    #[error("not enlisted: {0}")]
    UnknownNode(u64),
    /// The settings cannot be parsed.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A message: its name and its fields.
pub struct Message<'a> {
    /// Its name.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    /// Parses a line.
    pub fn parse(line: &'a str) -> Result<Self, MessageError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(TYPICAL_FIELD_COUNT);
        while !rest.is_empty() {
            let (field, after_field) = rest
                .split_once('=')
                .ok_or_else(|| MessageError::Syntax { message: name.to_owned(), found: excerpt(rest) })?;
            let (value, next) = if field == SETTINGS_FIELD {
                (after_field, "")
            } else {
                after_field.split_once(' ').unwrap_or((after_field, ""))
            };
            fields.push((field, value));
            rest = next;
        }
        Ok(Self { name, fields })
    }

    /// The error that a field of this message is malformed.
    pub fn field_error(&self, field: &'static str, error: impl Into<FieldError>) -> MessageError {
        MessageError::Field { message: self.name.to_owned(), field, error: error.into() }
    }

    /// A field's value, if there is such a field.
    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    /// A text that must not be empty.
    pub fn text(&self, field: &'static str) -> Result<&'a str, MessageError> {
        let value = self.get(field).filter(|value| !value.is_empty());
        value.ok_or_else(|| self.field_error(field, FieldError::Missing))
    }

    /// A finite number.
    pub fn parse_f64(&self, field: &'static str) -> Result<f64, MessageError> {
        let text = self.text(field)?;
        parse_finite(text).ok_or_else(|| self.field_error(field, FieldError::NotANumber(excerpt(text))))
    }

    /// A finite number, or a default where there is no such field.
    pub fn parse_f64_or(&self, field: &'static str, default: f64) -> Result<f64, MessageError> {
        self.get(field).map_or(Ok(default), |_| self.parse_f64(field))
    }

    /// An unsigned integer.
    pub fn parse_u64(&self, field: &'static str) -> Result<u64, MessageError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.field_error(field, FieldError::NotAnInteger(excerpt(text))))
    }

    /// An unsigned integer, or a default where there is no such field.
    pub fn parse_u64_or(&self, field: &'static str, default: u64) -> Result<u64, MessageError> {
        self.get(field).map_or(Ok(default), |_| self.parse_u64(field))
    }

    /// An unsigned integer of 32 bits.
    pub fn parse_u32(&self, field: &'static str) -> Result<u32, MessageError> {
        let value = self.parse_u64(field)?;
        value.try_into().map_err(|_| self.field_error(field, FieldError::TooLarge(value)))
    }

    /// An unsigned integer of 32 bits, or a default where there is no such field.
    pub fn parse_u32_or(&self, field: &'static str, default: u32) -> Result<u32, MessageError> {
        self.get(field).map_or(Ok(default), |_| self.parse_u32(field))
    }
}

/// A number that is neither infinite nor undefined.
pub fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

/// The beginning of a text, to be quoted in an error.
pub fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_LENGTH).collect()
}

#[cfg(test)]
mod tests;
