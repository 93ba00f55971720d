//! The text of errors of HTTP connections.

use std::error::Error;

/// Returns the text of an error of hyper and that of its source, which the first does not include.
pub fn with_source(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
