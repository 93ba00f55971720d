//! Strict parsing of a client's request head. Invalid requests are rejected here, before they use an
//! endpoint's time or a customer's units.

mod header_values;

use edge_gateway::{Idempotency, Millis, RequestClass, RequestId, RequestLimits, Settings};
use header_values::{is_token, parse_customer, parse_duration, parse_number, single_value};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::Method;
use std::rc::Rc;
use std::sync::Arc;

/// Header with the request's id.
const ID_HEADER: &str = "req-id";
/// Header with the name of the request's class.
const CLASS_HEADER: &str = "req-kind";
/// Header with the name of the customer's plan.
const PLAN_HEADER: &str = "api-plan";
/// Header with the time that the client waits for its answer, as a number and a unit.
const DEADLINE_HEADER: &str = "req-deadline";
/// Header with the quota terms: `name=value` pairs separated by commas.
const TERMS_HEADER: &str = "api-terms";
/// Header with the key by which endpoints recognize a retry.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that is `1` if the request is a retry by the client.
const RETRY_HEADER: &str = "req-retry";

/// Minimum units of a request. What is learned per unit would be far off after a request of fewer.
const MIN_UNITS: f64 = 1.0;
/// Maximum length of a request id, in bytes; far more than clients use.
const MAX_ID_LENGTH: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 128;

/// The reason why a request head is invalid. The message is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestHeadError {
    /// The id is missing, longer than [`MAX_ID_LENGTH`] or contains a character that is not allowed.
    #[error("Req-Id is missing or malformed")]
    InvalidId,
    /// The class is missing.
    #[error("Req-Kind is missing")]
    MissingClass,
    /// The class is not in the settings.
    #[error("Req-Kind is unknown")]
    UnknownClass,
    /// The plan is missing.
    #[error("Api-Plan is missing")]
    MissingPlan,
    /// The plan is not in the settings.
    #[error("Api-Plan is unknown")]
    UnknownPlan,
    /// The customer's number is missing, malformed, out of range or given with two values.
    #[error("the cookie 'customer' is missing or malformed")]
    InvalidCustomer,
    /// The deadline is missing, malformed or beyond the limit in the settings.
    #[error("Req-Deadline is missing, malformed or too long")]
    InvalidDeadline,
    /// The quota terms are missing, malformed or out of range.
    #[error("Api-Terms is missing, malformed or out of range")]
    InvalidTerms,
    /// The method is not the one that requests of this class use.
    #[error("the method does not fit the class")]
    WrongMethod,
    /// The idempotency key is missing or malformed, or the class does not use one.
    #[error("Idempotency-Key does not fit the class")]
    InvalidIdempotencyKey,
    /// A header that must have one value is repeated with another.
    #[error("a header is repeated with another value")]
    ConflictingHeader,
    /// The value of a header contains a character other than visible ASCII.
    #[error("a header is no text")]
    HeaderNotText,
}

/// Parses request heads and checks them against the settings.
pub struct RequestHeadParser {
    classes: Vec<NamedClass>,
    plans: Vec<Arc<str>>,
    limits: RequestLimits,
    longest_deadline: Millis,
    max_retry_after: Millis,
}

/// A class of the settings, with its name in the type that the library's events use.
struct NamedClass {
    name: Arc<str>,
    class: Rc<RequestClass>,
}

/// What a valid request head says about the request, for the node and the gateway.
#[derive(Debug)]
pub struct RequestHead {
    /// The id that the client has given the request; no two open requests may share one.
    pub id: RequestId,
    /// The name of the request's class, for the gateway.
    pub class_name: Arc<str>,
    /// The settings of that class, which decide how its requests may be attempted.
    pub class: Rc<RequestClass>,
    /// The name of the customer's plan, which decides the quota.
    pub plan_name: Arc<str>,
    /// The customer's number, in lower-case hexadecimal digits.
    pub customer: Arc<str>,
    /// Units that the request takes from the customer's quota; at least [`MIN_UNITS`].
    pub units: f64,
    /// Number of nodes that the customer's requests may use.
    pub gateway_spread: u32,
    /// Whether the client marks the request as a retry of an earlier one.
    pub is_retry: bool,
    /// Time from the arrival of the head for which the client waits for its answer.
    pub timeout: Millis,
}

/// The terms in the `Api-Terms` header that the gateway uses.
struct QuotaTerms {
    /// See [`RequestHead::units`].
    units: f64,
    /// See [`RequestHead::gateway_spread`].
    gateway_spread: u32,
}

impl NamedClass {
    fn new(class: &RequestClass) -> Self {
        Self { name: class.name.as_str().into(), class: Rc::new(class.clone()) }
    }
}

impl RequestHeadParser {
    /// Creates a parser for the classes and plans in `settings`.
    pub fn new(settings: &Settings, limits: RequestLimits) -> Self {
        Self {
            classes: settings.classes.iter().map(NamedClass::new).collect(),
            plans: settings.plans.iter().map(|plan| plan.name.as_str().into()).collect(),
            limits,
            longest_deadline: settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max),
            max_retry_after: settings.max_retry_after.unwrap_or(0.0),
        }
    }

    /// Returns the longest deadline of all classes in the settings.
    pub fn longest_deadline(&self) -> Millis {
        self.longest_deadline
    }

    /// Returns the longest time after which a client may be told to retry; 0 if it may not be told.
    pub fn max_retry_after(&self) -> Millis {
        self.max_retry_after
    }

    /// Parses a request head and checks it against the settings and the limits.
    ///
    /// # Errors
    /// If a header is missing, malformed, contradicts another or exceeds a limit.
    pub fn parse(&self, head: &Parts) -> Result<RequestHead, RequestHeadError> {
        let headers = &head.headers;
        let id = parse_id(headers)?;
        let NamedClass { name, class } = self.find_class(headers)?;
        let plan_name = self.find_plan(headers)?;
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
            plan_name: plan_name.clone(),
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
        // Without this limit a client could hold timers and the state of an open request forever.
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
            // A repeated term is rejected, as its values could contradict each other.
            if term.replace(parse_number(value.trim())?).is_some() {
                return None;
            }
        }
        let (units, nodes) = (units?, f64::from(self.limits.nodes));
        let spread = spread.filter(|spread| spread.fract() == 0.0 && (1.0..=nodes).contains(spread))?;
        // `first` is checked, but not used.
        first.filter(|first| first.fract() == 0.0 && *first < nodes)?;
        let in_range = (MIN_UNITS..=self.limits.max_units.max(MIN_UNITS)).contains(&units);
        in_range.then_some(QuotaTerms { units, gateway_spread: spread as u32 })
    }
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

/// Checks that an idempotency key is present if and only if the class uses one. Without it endpoints could
/// not recognize a duplicate.
fn check_idempotency_key(headers: &HeaderMap, class: &RequestClass) -> Result<(), RequestHeadError> {
    let key = single_value(headers, IDEMPOTENCY_KEY_HEADER)?;
    match (key, matches!(class.idempotency, Idempotency::WithKey(_))) {
        (Some(key), true) if is_token(key, MAX_KEY_LENGTH) => Ok(()),
        (None, false) => Ok(()),
        _ => Err(RequestHeadError::InvalidIdempotencyKey),
    }
}
