//! Parses single header values of a request head: numbers, durations, tokens and the customer's cookie.
//!
//! [`RequestHeadParser`](super::RequestHeadParser) decides which headers a request needs.

use super::RequestHeadError;
use edge_gateway::Millis;
use hyper::header::{self, HeaderMap};
use std::sync::Arc;

/// Start of the cookie with the customer's number, which follows in hexadecimal digits.
const CUSTOMER_COOKIE_PREFIX: &str = "customer=";
/// Exclusive upper bound of the customer's number.
const MAX_CUSTOMERS: u64 = 1 << 33;
/// Number of hexadecimal digits of the customer's number.
const CUSTOMER_DIGITS: usize = 16;

/// Returns the value of a header, without surrounding whitespace; `None` if the header is missing.
///
/// # Errors
/// If the header is repeated with another value, or the value is not visible ASCII.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestHeadError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.any(|other| other != value) {
        return Err(RequestHeadError::ConflictingHeader);
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| RequestHeadError::HeaderNotText)
}

/// Whether a text has 1 to `max_length` bytes, all of them ASCII letters, digits or one of `-_.:~`.
pub fn is_token(text: &str, max_length: usize) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'~');
    !text.is_empty() && text.len() <= max_length && text.bytes().all(is_allowed)
}

/// Returns the customer's number in lower case: quotas would treat another spelling as another customer.
pub fn parse_customer(headers: &HeaderMap) -> Option<Arc<str>> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut values = cookies
        .flat_map(|cookies| cookies.split(';'))
        .filter_map(|cookie| cookie.trim().strip_prefix(CUSTOMER_COOKIE_PREFIX));
    let value = values.next()?;
    if values.any(|other| other != value) {
        return None;
    }
    if value.len() != CUSTOMER_DIGITS || !value.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let number = u64::from_str_radix(value, 16).ok().filter(|number| *number < MAX_CUSTOMERS)?;
    Some(format!("{number:0CUSTOMER_DIGITS$x}").into())
}

/// Parses a decimal number without a sign or an exponent; rejects words such as `inf`.
pub fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain && !text.is_empty())
}

/// Parses a positive number followed by a unit, `m` for milliseconds or `u` for microseconds.
pub fn parse_duration(text: &str) -> Option<Millis> {
    let (value, factor) = match text.strip_suffix('m') {
        Some(value) => (value, 1.0),
        None => (text.strip_suffix('u')?, 0.001),
    };
    parse_number(value).filter(|number| *number > 0.0).map(|number| number * factor)
}
