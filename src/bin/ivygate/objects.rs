//! Cuts a stream of text into JSON objects, however they are laid out: on a line each, or indented over many.

use bytes::{Buf, Bytes, BytesMut};

/// Longest object that is believed; guards the memory against a peer that never ends its own.
pub const LONGEST: usize = 4 << 20;

/// What is no object, or too long for one.
#[derive(Debug, PartialEq, Eq)]
pub struct Unreadable;

/// The text that has come and is not cut yet. Each byte is looked at once.
#[derive(Default)]
pub struct Objects {
    text: BytesMut,
    /// How much of the text has been looked at.
    seen: usize,
    /// Braces and brackets open there.
    depth: usize,
    /// Inside a string there.
    quoted: bool,
    /// Behind a backslash there.
    escaped: bool,
}

impl Objects {
    /// Adds what has come.
    pub fn push(&mut self, data: &[u8]) {
        self.text.extend_from_slice(data);
    }

    /// Whether an object has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.depth > 0
    }

    /// The next whole object, if it is there; only its braces, brackets and strings have been looked at.
    ///
    /// # Errors
    /// If what comes next is no object. Nothing behind it can be trusted.
    pub fn next(&mut self) -> Result<Option<Bytes>, Unreadable> {
        while let Some(byte) = self.text.get(self.seen).copied() {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' if self.depth > 0 => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        let object = self.text.split_to(self.seen).freeze();
                        self.seen = 0;
                        return Ok(Some(object));
                    }
                }
                _ if self.depth > 0 => {}
                _ if byte.is_ascii_whitespace() => {
                    self.text.advance(1);
                    self.seen = 0;
                }
                _ => return Err(Unreadable),
            }
        }
        if self.text.len() > LONGEST {
            return Err(Unreadable);
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All objects of a text that comes in pieces of this length.
    fn cut(text: &str, piece: usize) -> Result<Vec<String>, Unreadable> {
        let (mut objects, mut found) = (Objects::default(), Vec::new());
        for data in text.as_bytes().chunks(piece) {
            objects.push(data);
            while let Some(object) = objects.next()? {
                found.push(String::from_utf8(object.to_vec()).expect("text"));
            }
        }
        assert!(!objects.begun());
        Ok(found)
    }

    #[test]
    fn objects_are_cut_alike_however_they_are_laid_out_and_come() {
        let tricky = r#"{"uid":"a}\"{[\\","targets":[{"n":[1,{"x":"]"}]}]}"#;
        let plain = "{\"rev\":1}";
        let indented = "{\n  \"rev\": 1,\n  \"targets\": [\n    {\n    }\n  ]\n}";
        let text = format!("\n{plain}\n\r\n  {indented}\n\n{tricky}{plain}\n");
        for piece in 1..text.len() {
            assert_eq!(
                cut(&text, piece).as_deref(),
                Ok(&[plain, indented, tricky, plain].map(String::from)[..])
            );
        }
    }

    #[test]
    fn what_is_no_object_or_too_long_for_one_is_unreadable() {
        for text in ["nonsense\n", "[1]\n", "}\n", "{}\n\"{}\"\n", "{} 7\n"] {
            assert_eq!(cut(text, 1), Err(Unreadable), "{text}");
        }
        let mut objects = Objects::default();
        objects.push(b"{\"uid\":\"");
        objects.push(&vec![b'x'; LONGEST]);
        assert_eq!(objects.next(), Err(Unreadable));
    }
}
