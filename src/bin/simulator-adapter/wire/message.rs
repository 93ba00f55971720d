//! Parses a line of the protocol into the name and the fields of a message.
//!
//! This module defines the syntax of lines and of field values, and the errors that name a malformed field.
//! `event` converts messages to events.

use edge_gateway::{ConfigurationError, SettingsError};

/// The field with the settings, a JSON text that may contain spaces and runs to the end of the line.
const SETTINGS_FIELD: &str = "setup";
/// Number of fields that a message has room for without a reallocation.
const TYPICAL_FIELD_COUNT: usize = 10;
/// Maximum number of characters of a malformed text that an error quotes.
const MAX_EXCERPT_LENGTH: usize = 40;

/// Why a line is rejected.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message of this name contains text that is not a `name=value` field; `found` is its beginning.
    #[error("{message}: expected name=value, found '{found}'")]
    Syntax { message: String, found: String },
    /// A field of the message of this name is missing or has an invalid value.
    #[error("{message}: field '{field}': {error}")]
    Field { message: String, field: &'static str, error: FieldError },
    /// An `item` follows no `ledger`, or more items follow than the `ledger` announced.
    #[error("item: no ledger is open that expects it")]
    UnexpectedItem,
    /// A `ledger` is followed by fewer items than it announced; `found` begins the line after the last one.
    #[error("ledger: field 'rowsIn': {missing} more items expected, found '{found}'")]
    MissingItems { missing: u64, found: String },
    /// The first message of a batch has this name.
    #[error("expected 'mark', found '{0}'")]
    ExpectedMark(String),
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// The input ends before the `end` of the last batch.
    #[error("input ends within a batch: 'end' is missing")]
    UnfinishedBatch,
}

/// What is wrong with a field of a message. The texts say what each variant means.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    #[error("missing or empty")]
    Missing,
    #[error("'{0}' is not a finite number")]
    NotANumber(String),
    #[error("'{0}' is not an unsigned 64-bit integer")]
    NotAnInteger(String),
    #[error("{0} does not fit into 32 bits")]
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
    InvalidLoad { name: String, value: String },
    /// No endpoint list with this number was announced.
    #[error("no ledger with the number {0}")]
    UnknownEndpointList(u64),
    /// No node with this number is enlisted.
    #[error("no node {0} is enlisted")]
    UnknownNode(u64),
    /// The settings document cannot be parsed.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The settings are rejected by the gateway.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A message: a name and fields in the order of the line.
pub struct Message<'a> {
    /// Name of the message, the first word of the line.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
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

    /// Returns the error for a missing or invalid field of this message.
    pub fn field_error(&self, field: &'static str, error: impl Into<FieldError>) -> MessageError {
        MessageError::Field { message: self.name.to_owned(), field, error: error.into() }
    }

    /// Returns the value of a field; `None` if the message has no such field.
    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    /// Returns the value of a field that must not be empty.
    pub fn text(&self, field: &'static str) -> Result<&'a str, MessageError> {
        let value = self.get(field).filter(|value| !value.is_empty());
        value.ok_or_else(|| self.field_error(field, FieldError::Missing))
    }

    /// Parses a field as a finite number.
    pub fn parse_f64(&self, field: &'static str) -> Result<f64, MessageError> {
        let text = self.text(field)?;
        parse_finite(text).ok_or_else(|| self.field_error(field, FieldError::NotANumber(excerpt(text))))
    }

    /// Parses a field as a finite number; returns the default if the message has no such field.
    pub fn parse_f64_or(&self, field: &'static str, default: f64) -> Result<f64, MessageError> {
        self.get(field).map_or(Ok(default), |_| self.parse_f64(field))
    }

    /// Parses a field as an unsigned 64-bit integer.
    pub fn parse_u64(&self, field: &'static str) -> Result<u64, MessageError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.field_error(field, FieldError::NotAnInteger(excerpt(text))))
    }

    /// Parses a field as an unsigned 64-bit integer; returns the default if the message has no such field.
    pub fn parse_u64_or(&self, field: &'static str, default: u64) -> Result<u64, MessageError> {
        self.get(field).map_or(Ok(default), |_| self.parse_u64(field))
    }

    /// Parses a field as an unsigned 32-bit integer.
    pub fn parse_u32(&self, field: &'static str) -> Result<u32, MessageError> {
        let value = self.parse_u64(field)?;
        value.try_into().map_err(|_| self.field_error(field, FieldError::TooLarge(value)))
    }

    /// Parses a field as an unsigned 32-bit integer; returns the default if the message has no such field.
    pub fn parse_u32_or(&self, field: &'static str, default: u32) -> Result<u32, MessageError> {
        self.get(field).map_or(Ok(default), |_| self.parse_u32(field))
    }
}

/// Parses a finite number; `None` if the text is not one.
pub fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

/// Returns the beginning of a text, for quoting in an error.
pub fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_LENGTH).collect()
}

#[cfg(test)]
mod tests;
