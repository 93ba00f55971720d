//! An incremental parser of endpoint lists, which accepts a stream of JSON objects in chunks of any size.
//!
//! Each entry is parsed as soon as it is complete, so that the text of a long list is never held in memory.

use super::{EndpointList, ListedEndpoint};
use serde::de::IgnoredAny;
use serde::Deserialize;

/// Maximum length in bytes of the text of one entry, and of a list without its entries.
const MAX_TEXT_LENGTH: usize = 64 << 10;
/// Key of the array of entries.
const ENDPOINTS_KEY: &[u8] = b"targets";

/// Why a text is not an acceptable endpoint list. The rest of the stream must not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON, or not an object with the expected keys.
    #[error("not an endpoint list")]
    Malformed,
    /// An entry, or the list without its entries, is too long.
    #[error("an entry of the endpoint list is too long")]
    TextTooLong,
    /// The list has more entries than the parser accepts.
    #[error("too many endpoints on the list")]
    TooManyEndpoints,
}

/// An endpoint list without its entries.
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
    max_endpoints: usize,
    state: State,
    /// Text of the current list so far, without its entries.
    envelope: Vec<u8>,
    /// Text of the current entry so far.
    entry: Vec<u8>,
    /// Entries of the current list that have been parsed.
    endpoints: Vec<ListedEndpoint>,
    /// Number of open braces and brackets; 0 between lists.
    depth: usize,
    in_string: bool,
    /// Whether the last byte was a backslash that escapes the next one.
    escaped: bool,
    /// The last string at the top level of the object: the key, when an array starts there.
    last_string: Vec<u8>,
}

impl EndpointListParser {
    /// Creates a parser that accepts at most `max_endpoints` entries in one list.
    pub fn new(max_endpoints: usize) -> Self {
        Self {
            max_endpoints,
            state: State::default(),
            envelope: Vec::new(),
            entry: Vec::new(),
            endpoints: Vec::new(),
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
            if let Some(list) = self.parse_byte(byte)? {
                on_list(list);
            }
        }
        Ok(())
    }

    fn parse_byte(&mut self, byte: u8) -> Result<Option<EndpointList>, EndpointListError> {
        if self.depth == 0 {
            return self.start_object(byte).map(|()| None);
        }
        if self.in_string {
            self.parse_string(byte);
            return self.append(byte).map(|()| None);
        }
        match self.state {
            State::Envelope => self.parse_envelope(byte),
            State::Entry => self.parse_entry(byte).map(|()| None),
            State::ArrayStart | State::AfterComma | State::AfterEntry => {
                self.parse_between_entries(byte).map(|()| None)
            }
        }
    }

    /// Accepts whitespace between lists, or the start of a list.
    fn start_object(&mut self, byte: u8) -> Result<(), EndpointListError> {
        match byte {
            b'{' => {
                self.depth = 1;
                self.state = State::Envelope;
                self.append(byte)
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(EndpointListError::Malformed),
        }
    }

    fn parse_string(&mut self, byte: u8) {
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

    fn parse_envelope(&mut self, byte: u8) -> Result<Option<EndpointList>, EndpointListError> {
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
    fn parse_between_entries(&mut self, byte: u8) -> Result<(), EndpointListError> {
        match (byte, self.state) {
            (b'{', State::ArrayStart | State::AfterComma) => {
                if self.endpoints.len() >= self.max_endpoints {
                    return Err(EndpointListError::TooManyEndpoints);
                }
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
            _ => Err(EndpointListError::Malformed),
        }
    }

    fn parse_entry(&mut self, byte: u8) -> Result<(), EndpointListError> {
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
            self.endpoints
                .push(serde_json::from_slice(&self.entry).map_err(|_| EndpointListError::Malformed)?);
            self.entry.clear();
            self.state = State::AfterEntry;
        }
        Ok(())
    }

    /// Appends a byte to the text of the current entry or list.
    fn append(&mut self, byte: u8) -> Result<(), EndpointListError> {
        let text = if self.state == State::Entry { &mut self.entry } else { &mut self.envelope };
        text.push(byte);
        if text.len() > MAX_TEXT_LENGTH {
            return Err(EndpointListError::TextTooLong);
        }
        Ok(())
    }

    fn finish_list(&mut self) -> Result<EndpointList, EndpointListError> {
        let envelope: Envelope =
            serde_json::from_slice(&self.envelope).map_err(|_| EndpointListError::Malformed)?;
        self.envelope.clear();
        self.last_string.clear();
        let endpoints = std::mem::take(&mut self.endpoints);
        Ok(EndpointList { version: envelope.version, is_snapshot: envelope.is_snapshot, endpoints })
    }
}

#[cfg(test)]
mod tests;
