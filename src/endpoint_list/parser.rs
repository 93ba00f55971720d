//! Reads listings from a stream of text, however it is cut into pieces and laid out. Each entry is parsed as
//! soon as it is whole, so that the text of a long list is never held.

use super::{Listing, Target};
use serde::de::IgnoredAny;
use serde::Deserialize;

/// Longest text of one entry, and of all of an object but its entries, in bytes.
const TEXT_MOST: usize = 64 << 10;
/// The key of the array of entries.
const TARGETS: &[u8] = b"targets";

/// What is no listing, or has more entries or longer ones than are believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// A listing without its entries.
#[derive(Deserialize)]
struct Envelope {
    rev: u64,
    all: bool,
    #[serde(default, rename = "targets")]
    _targets: Vec<IgnoredAny>,
}

/// Which part of an object comes next.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Part {
    /// Whatever is no entry.
    #[default]
    Envelope,
    /// An entry, or the end of an array that has none.
    FirstEntry,
    /// An entry, behind a comma.
    NextEntry,
    /// A comma or the end of the array.
    Comma,
    /// The rest of an entry.
    Entry,
}

/// An incremental reader of listings. Its memory is that of the entries read so far and some text.
pub struct ListingReader {
    most_targets: usize,
    part: Part,
    /// Text of the present object without its entries.
    envelope: Vec<u8>,
    /// Text of the present entry.
    entry: Vec<u8>,
    targets: Vec<Target>,
    /// Braces and brackets that are open.
    depth: usize,
    quoted: bool,
    /// Behind a backslash in a string.
    escaped: bool,
    /// The string last begun at the object's own level.
    key: Vec<u8>,
}

impl ListingReader {
    /// A reader that takes at most `most_targets` entries in one listing.
    pub fn new(most_targets: usize) -> Self {
        Self {
            most_targets,
            part: Part::default(),
            envelope: Vec::new(),
            entry: Vec::new(),
            targets: Vec::new(),
            depth: 0,
            quoted: false,
            escaped: false,
            key: Vec::new(),
        }
    }

    /// Whether a listing has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.depth > 0
    }

    /// Reads on, and gives each listing that has become whole to `take`.
    ///
    /// # Errors
    /// If the text is no listing, or one that is too large. Nothing behind it can be trusted.
    pub fn push(&mut self, data: &[u8], mut take: impl FnMut(Listing)) -> Result<(), Unreadable> {
        for &byte in data {
            if let Some(listing) = self.read(byte)? {
                take(listing);
            }
        }
        Ok(())
    }

    fn read(&mut self, byte: u8) -> Result<Option<Listing>, Unreadable> {
        if self.depth == 0 {
            return self.begin(byte).map(|()| None);
        }
        if self.quoted {
            self.read_quoted(byte);
            return self.keep(byte).map(|()| None);
        }
        match self.part {
            Part::Envelope => self.read_envelope(byte),
            Part::Entry => self.read_entry(byte).map(|()| None),
            Part::FirstEntry | Part::NextEntry | Part::Comma => self.read_between(byte).map(|()| None),
        }
    }

    /// Between two objects.
    fn begin(&mut self, byte: u8) -> Result<(), Unreadable> {
        match byte {
            b'{' => {
                self.depth = 1;
                self.part = Part::Envelope;
                self.keep(byte)
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(Unreadable),
        }
    }

    fn read_quoted(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.quoted = false,
            _ => {}
        }
        if self.quoted && self.depth == 1 {
            self.key.push(byte);
        }
    }

    fn read_envelope(&mut self, byte: u8) -> Result<Option<Listing>, Unreadable> {
        self.keep(byte)?;
        match byte {
            b'"' => {
                self.quoted = true;
                if self.depth == 1 {
                    self.key.clear();
                }
            }
            b'[' if self.depth == 1 && self.key == TARGETS => {
                self.depth += 1;
                self.part = Part::FirstEntry;
            }
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth -= 1;
                if self.depth == 0 {
                    return self.finish().map(Some);
                }
            }
            _ => {}
        }
        Ok(None)
    }

    /// In the array of entries, outside of them.
    fn read_between(&mut self, byte: u8) -> Result<(), Unreadable> {
        match (byte, self.part) {
            (b'{', Part::FirstEntry | Part::NextEntry) => {
                if self.targets.len() >= self.most_targets {
                    return Err(Unreadable);
                }
                self.depth += 1;
                self.part = Part::Entry;
                self.keep(byte)
            }
            (b',', Part::Comma) => {
                self.part = Part::NextEntry;
                Ok(())
            }
            (b']', Part::FirstEntry | Part::Comma) => {
                self.depth -= 1;
                self.part = Part::Envelope;
                self.keep(byte)
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(Unreadable),
        }
    }

    fn read_entry(&mut self, byte: u8) -> Result<(), Unreadable> {
        const IN_ARRAY: usize = 2;
        self.keep(byte)?;
        match byte {
            b'"' => self.quoted = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth == IN_ARRAY {
            self.targets.push(serde_json::from_slice(&self.entry).map_err(|_| Unreadable)?);
            self.entry.clear();
            self.part = Part::Comma;
        }
        Ok(())
    }

    /// Adds a byte to the text that it belongs to.
    fn keep(&mut self, byte: u8) -> Result<(), Unreadable> {
        let text = if self.part == Part::Entry { &mut self.entry } else { &mut self.envelope };
        text.push(byte);
        if text.len() > TEXT_MOST {
            return Err(Unreadable);
        }
        Ok(())
    }

    fn finish(&mut self) -> Result<Listing, Unreadable> {
        let envelope: Envelope = serde_json::from_slice(&self.envelope).map_err(|_| Unreadable)?;
        self.envelope.clear();
        self.key.clear();
        let targets = std::mem::take(&mut self.targets);
        Ok(Listing { rev: envelope.rev, all: envelope.all, targets })
    }
}

#[cfg(test)]
mod tests;
