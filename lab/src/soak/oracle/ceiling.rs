//! The rule that ceilings hold over all nodes, checked with a token bucket for each customer with a ceiling.

use super::rule::{Rule, Violation};
use crate::soak::settings::Parameters;
use std::collections::HashMap;
use std::time::Instant;

/// Time by whose refill a bucket may be overdrawn, in seconds, for network delays. The configured tolerance
/// comes on top.
const TIMING_TOLERANCE_SECONDS: f64 = 0.15;

struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// The token buckets, by customer.
#[derive(Default)]
pub struct Ceilings {
    buckets: HashMap<String, TokenBucket>,
}

impl Ceilings {
    /// Takes the units of a request that an endpoint has received. An overdrawn bucket is a violation.
    pub fn take(&mut self, customer: &str, units: f64, parameters: &Parameters) -> Option<Violation> {
        let now = Instant::now();
        let full = || TokenBucket { tokens: parameters.ceiling_burst, refilled_at: now };
        let bucket = self.buckets.entry(customer.to_owned()).or_insert_with(full);
        let refill = now.duration_since(bucket.refilled_at).as_secs_f64() * parameters.ceiling_rate;
        bucket.tokens = (bucket.tokens + refill).min(parameters.ceiling_burst) - units;
        bucket.refilled_at = now;
        let min = -parameters.ceiling_tolerance - TIMING_TOLERANCE_SECONDS * parameters.ceiling_rate;
        let detail = || format!("{customer}: token bucket at {:.2} units", bucket.tokens);
        (bucket.tokens < min).then(|| Violation::new(Rule::Ceiling, detail()))
    }
}
