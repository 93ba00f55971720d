//! Strict parsing of a client's request head: what cannot be used is rejected here, before it costs an
//! endpoint work or a customer units.

use edge_gateway::{Idempotency, Millis, RequestClass, RequestId, RequestLimits, Settings};
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::Method;
use std::rc::Rc;
use std::sync::Arc;

/// The request's id.
const ID_HEADER: &str = "req-id";
/// The name of its class.
const CLASS_HEADER: &str = "req-kind";
/// The name of the customer's plan.
const PLAN_HEADER: &str = "api-plan";
/// How long the client will wait.
const DEADLINE_HEADER: &str = "req-deadline";
/// The terms of the customer's quota.
const TERMS_HEADER: &str = "api-terms";
/// The key by which endpoints recognize a retry.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// `1` if the client sends the request again.
const RETRY_HEADER: &str = "req-retry";
/// Beginning of the cookie with the customer's number.
const CUSTOMER_COOKIE_PREFIX: &str = "customer=";

/// Longest request id, in bytes; far more than any client's.
const MAX_ID_LENGTH: usize = 64;
/// Longest idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 128;
/// Customers are numbers below this ...
const MAX_CUSTOMERS: u64 = 1 << 33;
/// ... in so many hexadecimal digits.
const CUSTOMER_DIGITS: usize = 16;

/// Why a request head cannot be used. The messages are those that clients get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestHeadError {
    /// The id is missing or malformed.
    #[error("Req-Id is missing or malformed")]
    InvalidId,
    /// The class is missing.
    #[error("Req-Kind is missing")]
    MissingClass,
    /// The settings name no such class.
    #[error("Req-Kind is unknown")]
    UnknownClass,
    /// The plan is missing.
    #[error("Api-Plan is missing")]
    MissingPlan,
    /// The settings name no such plan.
    #[error("Api-Plan is unknown")]
    UnknownPlan,
    /// The customer is missing or malformed.
    #[error("the cookie 'customer' is missing or malformed")]
    InvalidCustomer,
    /// The deadline is missing, malformed or too long.
    #[error("Req-Deadline is missing, malformed or too long")]
    InvalidDeadline,
    /// The quota terms are missing, malformed or out of range.
    #[error("Api-Terms is missing, malformed or out of range")]
    InvalidTerms,
    /// The method is not that of the class.
    #[error("the method does not fit the class")]
    WrongMethod,
    /// The idempotency key is missing, malformed, or not expected for the class.
    #[error("Idempotency-Key does not fit the class")]
    InvalidIdempotencyKey,
    /// A header that may stand once has two values.
    #[error("a header is repeated with another value")]
    ConflictingHeader,
    /// A header's value is not visible ASCII.
    #[error("a header is no text")]
    HeaderNotText,
}

/// Parses request heads by what the settings allow.
pub struct RequestHeadParser {
    classes: Vec<NamedClass>,
    plans: Vec<Arc<str>>,
    limits: RequestLimits,
    longest_deadline: Millis,
}

/// A class of the settings, with its name as the library's events take it.
struct NamedClass {
    name: Arc<str>,
    class: Rc<RequestClass>,
}

/// A request head, checked.
#[derive(Debug)]
pub struct RequestHead {
    /// The request's id.
    pub id: RequestId,
    /// Its class.
    pub class_name: Arc<str>,
    /// The settings of that class.
    pub class: Rc<RequestClass>,
    /// The customer's plan.
    pub plan: Arc<str>,
    /// The customer.
    pub customer: Arc<str>,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Nodes through which the customer's requests may come.
    pub gateway_spread: u32,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// How long the client will wait.
    pub timeout: Millis,
}

/// The terms of `Api-Terms`.
struct QuotaTerms {
    /// Units that the request takes from the quota.
    units: f64,
    /// Nodes through which the customer's requests may come.
    gateway_spread: u32,
}

impl NamedClass {
    fn new(class: &RequestClass) -> Self {
        Self { name: class.name.as_str().into(), class: Rc::new(class.clone()) }
    }
}

impl RequestHeadParser {
    /// A parser for these settings.
    pub fn new(settings: &Settings, limits: RequestLimits) -> Self {
        Self {
            classes: settings.classes.iter().map(NamedClass::new).collect(),
            plans: settings.plans.iter().map(|plan| plan.name.as_str().into()).collect(),
            limits,
            longest_deadline: settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max),
        }
    }

    /// The longest time that a client of any class waits, by the settings.
    pub fn longest_deadline(&self) -> Millis {
        self.longest_deadline
    }

    /// Parses a head.
    ///
    /// # Errors
    /// If a header is missing, malformed, contradicts another or exceeds a limit.
    pub fn parse(&self, head: &Parts) -> Result<RequestHead, RequestHeadError> {
        let headers = &head.headers;
        let id = parse_id(headers)?;
        let NamedClass { name, class } = self.find_class(headers)?;
        let plan = self.find_plan(headers)?;
        let customer = parse_customer(headers).ok_or(RequestHeadError::InvalidCustomer)?;
        let timeout = self.parse_timeout(headers)?;
        let terms = self.parse_terms(headers)?;
        check_method(&head.method, class)?;
        check_idempotency_key(headers, class)?;
        let is_retry = single_value(headers, RETRY_HEADER)? == Some("1");
        Ok(RequestHead {
            id,
            class_name: name.clone(),
            class: class.clone(),
            plan: plan.clone(),
            customer,
            units: terms.units,
            gateway_spread: terms.gateway_spread,
            is_retry,
            timeout,
        })
    }

    fn find_class(&self, headers: &HeaderMap) -> Result<&NamedClass, RequestHeadError> {
        let name = single_value(headers, CLASS_HEADER)?.ok_or(RequestHeadError::MissingClass)?;
        self.classes.iter().find(|class| *class.name == *name).ok_or(RequestHeadError::UnknownClass)
    }

    fn find_plan(&self, headers: &HeaderMap) -> Result<&Arc<str>, RequestHeadError> {
        let name = single_value(headers, PLAN_HEADER)?.ok_or(RequestHeadError::MissingPlan)?;
        self.plans.iter().find(|plan| ***plan == *name).ok_or(RequestHeadError::UnknownPlan)
    }

    fn parse_timeout(&self, headers: &HeaderMap) -> Result<Millis, RequestHeadError> {
        let timeout = single_value(headers, DEADLINE_HEADER)?.and_then(parse_duration);
        // Guards the timers and the state of open requests against a client that would wait forever.
        let timeout = timeout.filter(|timeout| *timeout <= self.limits.max_deadline);
        timeout.ok_or(RequestHeadError::InvalidDeadline)
    }

    fn parse_terms(&self, headers: &HeaderMap) -> Result<QuotaTerms, RequestHeadError> {
        let terms = single_value(headers, TERMS_HEADER)?.and_then(|text| self.parse_quota_terms(text));
        terms.ok_or(RequestHeadError::InvalidTerms)
    }

    fn parse_quota_terms(&self, text: &str) -> Option<QuotaTerms> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let term = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            // Guards against terms that contradict each other.
            if term.replace(parse_number(value.trim())?).is_some() {
                return None;
            }
        }
        let (units, nodes) = (units?, f64::from(self.limits.nodes));
        let spread = spread.filter(|spread| spread.fract() == 0.0 && (1.0..=nodes).contains(spread))?;
        first.filter(|first| first.fract() == 0.0 && *first < nodes)?;
        let in_range = units > 0.0 && units <= self.limits.max_units;
        in_range.then_some(QuotaTerms { units, gateway_spread: spread as u32 })
    }
}

/// A header's only value.
///
/// # Errors
/// If it is repeated with another value, or is not visible ASCII.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestHeadError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.any(|other| other != value) {
        return Err(RequestHeadError::ConflictingHeader);
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| RequestHeadError::HeaderNotText)
}

fn parse_id(headers: &HeaderMap) -> Result<RequestId, RequestHeadError> {
    let id = single_value(headers, ID_HEADER)?.filter(|id| is_token(id, MAX_ID_LENGTH));
    id.map(RequestId::from).ok_or(RequestHeadError::InvalidId)
}

fn check_method(method: &Method, class: &RequestClass) -> Result<(), RequestHeadError> {
    let expected = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method == expected {
        Ok(())
    } else {
        Err(RequestHeadError::WrongMethod)
    }
}

/// Guards the endpoints' memory of keys: without one they could not drop a duplicate.
fn check_idempotency_key(headers: &HeaderMap, class: &RequestClass) -> Result<(), RequestHeadError> {
    let key = single_value(headers, IDEMPOTENCY_KEY_HEADER)?;
    match (key, matches!(class.idempotency, Idempotency::WithKey(_))) {
        (Some(key), true) if is_token(key, MAX_KEY_LENGTH) => Ok(()),
        (None, false) => Ok(()),
        _ => Err(RequestHeadError::InvalidIdempotencyKey),
    }
}

fn is_token(text: &str, max_length: usize) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'~');
    !text.is_empty() && text.len() <= max_length && text.bytes().all(is_allowed)
}

/// The customer's number, in lower case: another spelling would be another customer to the quotas.
fn parse_customer(headers: &HeaderMap) -> Option<Arc<str>> {
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

/// A plain decimal number, without a sign, exponent or word.
fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain && !text.is_empty())
}

/// A number and a unit, `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Millis> {
    let (value, factor) = match text.strip_suffix('m') {
        Some(value) => (value, 1.0),
        None => (text.strip_suffix('u')?, 0.001),
    };
    parse_number(value).filter(|number| *number > 0.0).map(|number| number * factor)
}
