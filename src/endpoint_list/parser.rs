//! Parses endpoint lists from a stream of text, however it is split into pieces and formatted. Each entry is
//! parsed as soon as it is complete, so that the text of a long list is never held in memory.

use super::{EndpointList, ListedEndpoint};
use serde::de::IgnoredAny;
use serde::Deserialize;

/// Longest text of one entry, and of all of an object but its entries, in bytes.
const MAX_TEXT_LENGTH: usize = 64 << 10;
/// The key of the array of entries.
const ENDPOINTS_KEY: &[u8] = b"targets";

/// Why a text is not an endpoint list. Nothing behind it can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// It is not a JSON object, or not one of the expected form.
    #[error("not an endpoint list")]
    Malformed,
    /// One entry, or all of an object but its entries, is longer than accepted.
    #[error("an entry of the endpoint list is too long")]
    TextTooLong,
    /// It has more entries than accepted.
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

/// What the parser expects next within an object.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// Anything but an entry.
    #[default]
    Envelope,
    /// An entry, or the end of an empty array.
    ArrayStart,
    /// An entry, after a comma.
    AfterComma,
    /// A comma or the end of the array.
    AfterEntry,
    /// The rest of an entry.
    Entry,
}

/// An incremental parser of endpoint lists. Its memory is that of the entries parsed so far and of the text
/// of one.
pub struct EndpointListParser {
    max_endpoints: usize,
    state: State,
    /// Text of the present object without its entries.
    envelope: Vec<u8>,
    /// Text of the present entry.
    entry: Vec<u8>,
    endpoints: Vec<ListedEndpoint>,
    /// Number of open braces and brackets.
    depth: usize,
    in_string: bool,
    /// Whether the last byte was a backslash in a string.
    escaped: bool,
    /// The last string at the object's own level.
    last_string: Vec<u8>,
}

impl EndpointListParser {
    /// A parser that accepts at most `max_endpoints` entries in one list.
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

    /// Whether a list has begun and is not complete.
    pub fn in_progress(&self) -> bool {
        self.depth > 0
    }

    /// Parses the next piece of text, and passes each list that it completes to `on_list`.
    ///
    /// # Errors
    /// If the text is not an endpoint list, or one that is too large. Nothing behind it can be trusted.
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

    /// Outside of an object: whitespace, or the start of one.
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

    /// Within the array of entries, outside of an entry.
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

    /// Appends a byte to the text that it belongs to.
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
