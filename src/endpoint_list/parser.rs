//! An incremental parser of endpoint lists, which accepts a stream of JSON objects in chunks of any size.
//!
//! Each entry is parsed as soon as it is complete, so that the text of a long list is never held in memory.

use super::{EndpointList, ListedEndpoint};
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::fmt::Display;

/// Maximum length in bytes of the text of one entry, and of a list without its entries.
const MAX_TEXT_LENGTH: usize = 64 << 10;
/// Key of the array of entries.
const ENDPOINTS_KEY: &[u8] = b"targets";

/// Why a text is not an acceptable endpoint list. The rest of the stream must not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON, or not an object with the expected keys.
    #[error("malformed endpoint list, after {entries} entries: {cause}")]
    Malformed {
        /// Number of entries that were parsed before.
        entries: usize,
        /// What was found: an unexpected byte, or the error of the JSON parser.
        cause: String,
    },
    /// The text of an entry is too long.
    #[error("entry of the endpoint list longer than {MAX_TEXT_LENGTH} bytes, after {entries} entries")]
    EntryTooLong {
        /// Number of entries that were parsed before.
        entries: usize,
    },
    /// The list without its entries is too long.
    #[error("endpoint list without its entries longer than {MAX_TEXT_LENGTH} bytes")]
    EnvelopeTooLong,
    /// The list has more entries than the parser accepts, each counted with its
    /// [weight](ListedEndpoint::weight).
    #[error("endpoint list with more than the maximum of {max_endpoints} entries")]
    TooManyEndpoints {
        /// The maximum that the parser was created with.
        max_endpoints: usize,
    },
}

/// The result of parsing a byte. The error is boxed to keep it small: each byte of a long list returns
/// several.
type ByteResult<T> = Result<T, Box<EndpointListError>>;

/// An endpoint list without its entries: the object that contains the array, which is left empty.
#[derive(Deserialize)]
struct Envelope {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(default, rename = "targets")]
    _endpoints: Vec<IgnoredAny>,
}

/// The position of the parser within a list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// Outside of the array of entries.
    #[default]
    Envelope,
    /// At the start of the array: an entry or the end of the array must follow.
    ArrayStart,
    /// After a comma in the array: an entry must follow.
    AfterComma,
    /// After an entry: a comma or the end of the array must follow.
    AfterEntry,
    /// Within an entry.
    Entry,
}

/// An incremental parser of endpoint lists. It holds the entries parsed so far, and the text of at most one.
pub struct EndpointListParser {
    /// Maximum weight of the entries of one list.
    max_endpoints: usize,
    state: State,
    /// Text of the current list so far, without its entries.
    envelope: Vec<u8>,
    /// Text of the current entry so far.
    entry: Vec<u8>,
    /// Entries of the current list that have been parsed.
    endpoints: Vec<ListedEndpoint>,
    /// Weight of `endpoints`.
    weight: usize,
    /// Number of open braces and brackets; 0 between lists.
    depth: usize,
    /// Whether the last byte was part of a string that has not ended.
    in_string: bool,
    /// Whether the last byte was a backslash that escapes the next one.
    escaped: bool,
    /// The last string at the top level of the object; where an array starts, this is its key.
    last_string: Vec<u8>,
}

impl EndpointListParser {
    /// Creates a parser that accepts at most `max_endpoints` entries in one list. Entries with long texts
    /// count for [several](ListedEndpoint::weight).
    pub fn new(max_endpoints: usize) -> Self {
        Self {
            max_endpoints,
            state: State::default(),
            envelope: Vec::new(),
            entry: Vec::new(),
            endpoints: Vec::new(),
            weight: 0,
            depth: 0,
            in_string: false,
            escaped: false,
            last_string: Vec::new(),
        }
    }

    /// Whether a list has been parsed in part.
    pub fn in_progress(&self) -> bool {
        self.depth > 0
    }

    /// Parses the next chunk of text, and passes each list that it completes to `on_list`.
    ///
    /// # Errors
    /// If the text is not an endpoint list, or if the list is too large. The rest of the stream must not be
    /// parsed then.
    pub fn push(
        &mut self,
        data: &[u8],
        mut on_list: impl FnMut(EndpointList),
    ) -> Result<(), EndpointListError> {
        for &byte in data {
            if let Some(list) = self.parse_byte(byte).map_err(|error| *error)? {
                on_list(list);
            }
        }
        Ok(())
    }

    /// Parses one byte, and returns the list if the byte completes one.
    fn parse_byte(&mut self, byte: u8) -> ByteResult<Option<EndpointList>> {
        if self.depth == 0 {
            return self.parse_byte_between_lists(byte).map(|()| None);
        }
        if self.in_string {
            self.parse_string_byte(byte);
            return self.append(byte).map(|()| None);
        }
        match self.state {
            State::Envelope => self.parse_envelope_byte(byte),
            State::Entry => self.parse_entry_byte(byte).map(|()| None),
            State::ArrayStart | State::AfterComma | State::AfterEntry => {
                self.parse_byte_between_entries(byte).map(|()| None)
            }
        }
    }

    /// Parses a byte outside of a list: whitespace, or the brace that starts a list.
    fn parse_byte_between_lists(&mut self, byte: u8) -> ByteResult<()> {
        match byte {
            b'{' => {
                self.depth = 1;
                self.state = State::Envelope;
                self.append(byte)
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(self.unexpected(byte)),
        }
    }

    /// Parses a byte within a string, or the quote that ends it.
    fn parse_string_byte(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        if self.in_string && self.depth == 1 {
            self.last_string.push(byte);
        }
    }

    /// Parses a byte of a list outside of its array of entries; returns the list if the byte completes it.
    fn parse_envelope_byte(&mut self, byte: u8) -> ByteResult<Option<EndpointList>> {
        self.append(byte)?;
        match byte {
            b'"' => {
                self.in_string = true;
                if self.depth == 1 {
                    self.last_string.clear();
                }
            }
            b'[' if self.depth == 1 && self.last_string == ENDPOINTS_KEY => {
                self.depth += 1;
                self.state = State::ArrayStart;
            }
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth -= 1;
                if self.depth == 0 {
                    return self.finish_list().map(Some);
                }
            }
            _ => {}
        }
        Ok(None)
    }

    /// Parses a byte of the array of entries that is not part of an entry.
    fn parse_byte_between_entries(&mut self, byte: u8) -> ByteResult<()> {
        match (byte, self.state) {
            (b'{', State::ArrayStart | State::AfterComma) => {
                // Each entry has a weight of at least one.
                self.check_weight(self.weight + 1)?;
                self.depth += 1;
                self.state = State::Entry;
                self.append(byte)
            }
            (b',', State::AfterEntry) => {
                self.state = State::AfterComma;
                Ok(())
            }
            (b']', State::ArrayStart | State::AfterEntry) => {
                self.depth -= 1;
                self.state = State::Envelope;
                self.append(byte)
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(self.unexpected(byte)),
        }
    }

    /// Parses a byte of an entry, and the whole entry if the byte completes it.
    fn parse_entry_byte(&mut self, byte: u8) -> ByteResult<()> {
        /// Depth within the array of entries, outside of an entry.
        const ARRAY_DEPTH: usize = 2;
        self.append(byte)?;
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth == ARRAY_DEPTH {
            let entry: ListedEndpoint =
                serde_json::from_slice(&self.entry).map_err(|error| self.malformed(&error))?;
            self.check_weight(self.weight + entry.weight())?;
            self.weight += entry.weight();
            self.endpoints.push(entry);
            self.entry.clear();
            self.state = State::AfterEntry;
        }
        Ok(())
    }

    fn check_weight(&self, weight: usize) -> ByteResult<()> {
        let max_endpoints = self.max_endpoints;
        if weight > max_endpoints {
            return Err(Box::new(EndpointListError::TooManyEndpoints { max_endpoints }));
        }
        Ok(())
    }

    /// Appends a byte to the text of the current entry or list.
    fn append(&mut self, byte: u8) -> ByteResult<()> {
        let text = if self.state == State::Entry { &mut self.entry } else { &mut self.envelope };
        text.push(byte);
        if text.len() <= MAX_TEXT_LENGTH {
            Ok(())
        } else if self.state == State::Entry {
            Err(Box::new(EndpointListError::EntryTooLong { entries: self.endpoints.len() }))
        } else {
            Err(Box::new(EndpointListError::EnvelopeTooLong))
        }
    }

    #[cold]
    fn unexpected(&self, byte: u8) -> Box<EndpointListError> {
        self.malformed(&format_args!("unexpected byte '{}'", byte.escape_ascii()))
    }

    #[cold]
    fn malformed(&self, cause: &dyn Display) -> Box<EndpointListError> {
        Box::new(EndpointListError::Malformed { entries: self.endpoints.len(), cause: cause.to_string() })
    }

    /// Returns the list whose last byte has been parsed, and prepares for the next one.
    fn finish_list(&mut self) -> ByteResult<EndpointList> {
        let envelope: Envelope =
            serde_json::from_slice(&self.envelope).map_err(|error| self.malformed(&error))?;
        self.envelope.clear();
        self.last_string.clear();
        self.weight = 0;
        let endpoints = std::mem::take(&mut self.endpoints);
        Ok(EndpointList { version: envelope.version, is_snapshot: envelope.is_snapshot, endpoints })
    }
}

#[cfg(test)]
mod tests;
