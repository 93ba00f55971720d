//! The settings object as it is written, with the keys of the wire, and its conversion to [`Settings`].

use super::{ConfigurationError, ConnectionSettings};
use crate::interface::{Idempotency, KeyScope, Plan, RequestClass, Settings};
use serde::Deserialize;

/// Value of `discovery` where changes of the endpoint list are pushed unasked.
const PUSHED: &str = "automatic";
/// Value of `discovery` where they must be subscribed to.
pub(super) const SUBSCRIBED: &str = "subscribe";

/// The settings object as it is written; [`SettingsDocument::settings`] converts it to what a gateway acts
/// on.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsDocument {
    #[serde(default)]
    pub(super) allowed: Allowed,
    #[serde(default)]
    az: String,
    pub(super) balancers: u32,
    #[serde(default)]
    callers: Callers,
    pub(super) classes: Vec<ClassDocument>,
    contracts: Vec<PlanDocument>,
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) domain: Domain,
    #[serde(default)]
    prices: Prices,
    rank: u32,
    #[serde(default)]
    pub(super) rules: Rules,
}

/// What gateways may do; a missing key means that it is not allowed.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Allowed {
    cancel: bool,
    pub(super) connect_timeout_ms: f64,
    pub(super) keepalive_ms: f64,
    max_retry_after_ms: f64,
    most_tries: u32,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Callers {
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClassDocument {
    name: String,
    #[serde(default)]
    aim_ms: f64,
    pub(super) deadline_ms: f64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PlanDocument {
    name: String,
    #[serde(default)]
    refill: f64,
    #[serde(default)]
    most_at_once: f64,
    #[serde(default)]
    parallel: u32,
    #[serde(default = "one")]
    worth_factor: f64,
    #[serde(default)]
    extra_worth: f64,
    #[serde(default)]
    excess_cost: f64,
    #[serde(default)]
    cap_rate: f64,
    #[serde(default)]
    cap_depth: f64,
    #[serde(default)]
    tolerance: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Domain {
    use_period_ms: f64,
    pub(super) units_top: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    cross_zone: f64,
    handshake: f64,
}

/// Rules of slow start and polls; a missing key means that there is no rule.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Rules {
    cold_from: f64,
    warm_after_ms: f64,
    fall_multiple: f64,
    overload_for_ms: f64,
    pub(super) ask_every_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl SettingsDocument {
    /// Converts the document to what a gateway acts on.
    ///
    /// # Errors
    /// Names the key whose value is unknown.
    pub fn settings(self) -> Result<Settings, ConfigurationError> {
        let ConnectionSettings { connect_timeout, idle_timeout } = self.connection_settings();
        Ok(Settings {
            gateways: self.balancers,
            rank: self.rank,
            zone: self.az,
            classes: self.classes.into_iter().map(ClassDocument::into_class).collect::<Result<_, _>>()?,
            plans: self.contracts.into_iter().map(Plan::from).collect(),
            max_attempts: self.allowed.most_tries.max(1),
            hedging: self.allowed.second_copies,
            cancellation: self.allowed.cancel,
            list_subscription: match self.discovery.as_str() {
                PUSHED => false,
                SUBSCRIBED => true,
                other => return Err(ConfigurationError::UnknownDiscovery(other.to_owned())),
            },
            retries_marked: self.callers.marks_retry,
            max_retry_after: self.allowed.retry_after.then_some(self.allowed.max_retry_after_ms),
            usage_report_period: (self.domain.use_period_ms > 0.0).then_some(self.domain.use_period_ms),
            cross_zone_cost: self.prices.cross_zone,
            handshake_cost: self.prices.handshake,
            connect_timeout,
            idle_timeout,
            slow_start_initial_capacity: self.rules.cold_from,
            slow_start_duration: self.rules.warm_after_ms,
            overload_threshold: self.rules.fall_multiple,
            overload_window: self.rules.overload_for_ms,
            ..Settings::default()
        })
    }
}

impl ClassDocument {
    fn into_class(self) -> Result<RequestClass, ConfigurationError> {
        Ok(RequestClass {
            idempotency: self.idempotency()?,
            name: self.name,
            // Without a latency objective any response within the deadline earns the full weight.
            latency_objective: if self.aim_ms == 0.0 { self.deadline_ms } else { self.aim_ms },
            deadline: self.deadline_ms,
            priority_weight: self.worth,
            late_weight: self.late_worth,
            idempotency_window: self.window_ms,
        })
    }

    fn idempotency(&self) -> Result<Idempotency, ConfigurationError> {
        match (self.effect.as_str(), self.key_scope.as_str()) {
            ("safe", _) => Ok(Idempotency::Idempotent),
            ("unsafe", _) => Ok(Idempotency::NotIdempotent),
            ("keyed", "all") => Ok(Idempotency::WithKey(KeyScope::All)),
            ("keyed", "zone") => Ok(Idempotency::WithKey(KeyScope::Zone)),
            ("keyed", "cell") => Ok(Idempotency::WithKey(KeyScope::Cell)),
            (effect, key_scope) => Err(ConfigurationError::UnknownEffect {
                effect: effect.to_owned(),
                key_scope: key_scope.to_owned(),
            }),
        }
    }
}

impl From<PlanDocument> for Plan {
    fn from(document: PlanDocument) -> Self {
        Plan {
            name: document.name,
            rate: document.refill,
            burst: document.most_at_once,
            max_concurrency: document.parallel,
            weight_factor: document.worth_factor,
            over_quota_weight: document.extra_worth,
            over_quota_cost: document.excess_cost,
            ceiling_rate: document.cap_rate,
            ceiling_burst: document.cap_depth,
            ceiling_tolerance: document.tolerance,
        }
    }
}
