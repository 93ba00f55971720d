//! Deserialization of the settings object, and its conversion to [`Settings`].
//!
//! Fields are named like those of [`Settings`]; a key that differs is in the field's `rename` attribute.
//! Times are in milliseconds.

use super::{ConfigurationError, ConnectionSettings};
use crate::interface::{Idempotency, KeyScope, Plan, RequestClass, Settings};
use serde::Deserialize;

/// Value of `discovery` if updates of the endpoint list are pushed without a subscription.
const DISCOVERY_AUTOMATIC: &str = "automatic";
/// Value of `discovery` if updates of the endpoint list require a subscription.
pub(super) const DISCOVERY_SUBSCRIBE: &str = "subscribe";

/// The settings object as it is written in JSON; [`SettingsDocument::settings`] converts it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsDocument {
    #[serde(default, rename = "allowed")]
    pub(super) permissions: Permissions,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(rename = "balancers")]
    pub(super) gateways: u32,
    #[serde(default, rename = "callers")]
    clients: ClientRules,
    pub(super) classes: Vec<ClassDocument>,
    #[serde(rename = "contracts")]
    plans: Vec<PlanDocument>,
    pub(super) discovery: String,
    #[serde(default, rename = "domain")]
    pub(super) usage: UsageRules,
    #[serde(default, rename = "prices")]
    costs: Costs,
    rank: u32,
    #[serde(default)]
    pub(super) rules: Rules,
}

/// What gateways may do, and timeouts of connections. What has no key is not allowed; a timeout without a key
/// is unknown.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Permissions {
    #[serde(rename = "cancel")]
    cancellation: bool,
    #[serde(rename = "connectTimeoutMs")]
    pub(super) connect_timeout: f64,
    #[serde(rename = "keepaliveMs")]
    pub(super) idle_timeout: f64,
    #[serde(rename = "maxRetryAfterMs")]
    max_retry_after: f64,
    #[serde(rename = "mostTries")]
    max_attempts: u32,
    retry_after: bool,
    #[serde(rename = "secondCopies")]
    hedging: bool,
}

/// What clients do of their own accord; they do nothing that has no key.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct ClientRules {
    #[serde(rename = "marksRetry")]
    mark_retries: bool,
}

/// A request class of the settings object.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClassDocument {
    name: String,
    #[serde(default, rename = "aimMs")]
    latency_objective: f64,
    #[serde(rename = "deadlineMs")]
    pub(super) deadline: f64,
    #[serde(default = "default_weight", rename = "worth")]
    priority_weight: f64,
    #[serde(default, rename = "lateWorth")]
    late_weight: f64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default, rename = "windowMs")]
    idempotency_window: f64,
}

/// A customer plan of the settings object.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PlanDocument {
    name: String,
    #[serde(default, rename = "refill")]
    rate: f64,
    #[serde(default, rename = "mostAtOnce")]
    burst: f64,
    #[serde(default, rename = "parallel")]
    max_concurrency: u32,
    #[serde(default = "default_weight", rename = "worthFactor")]
    weight_factor: f64,
    #[serde(default, rename = "extraWorth")]
    over_quota_weight: f64,
    #[serde(default, rename = "excessCost")]
    over_quota_cost: f64,
    #[serde(default, rename = "capRate")]
    ceiling_rate: f64,
    #[serde(default, rename = "capDepth")]
    ceiling_burst: f64,
    #[serde(default, rename = "tolerance")]
    ceiling_tolerance: f64,
}

/// The period of usage reports, 0 if there are none, and the maximum units of a request, 0 for no limit.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct UsageRules {
    #[serde(rename = "usePeriodMs")]
    usage_report_period: f64,
    #[serde(rename = "unitsTop")]
    pub(super) max_units: f64,
}

/// Costs of an attempt, as fractions of its request's priority weight.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Costs {
    cross_zone: f64,
    handshake: f64,
}

/// Rules of slow start and polls. A rule does not apply if its key is missing.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct Rules {
    #[serde(rename = "coldFrom")]
    slow_start_initial_capacity: f64,
    #[serde(rename = "warmAfterMs")]
    slow_start_duration: f64,
    #[serde(rename = "fallMultiple")]
    overload_threshold: f64,
    #[serde(rename = "overloadForMs")]
    overload_window: f64,
    #[serde(rename = "askEveryMs")]
    pub(super) poll_interval: f64,
}

/// Priority weight of a class, or weight factor of a plan, if the key is missing.
fn default_weight() -> f64 {
    1.0
}

impl SettingsDocument {
    /// Converts the document to the settings of a gateway.
    ///
    /// # Errors
    /// If the value of `discovery`, or `effect` or `keyScope` of a class, is unknown; the error contains it.
    pub fn settings(self) -> Result<Settings, ConfigurationError> {
        let ConnectionSettings { connect_timeout, idle_timeout } = self.connection_settings();
        Ok(Settings {
            gateways: self.gateways,
            rank: self.rank,
            zone: self.zone,
            classes: self.classes.into_iter().map(ClassDocument::into_class).collect::<Result<_, _>>()?,
            plans: self.plans.into_iter().map(Plan::from).collect(),
            max_attempts: self.permissions.max_attempts.max(1),
            hedging: self.permissions.hedging,
            cancellation: self.permissions.cancellation,
            requires_subscription: match self.discovery.as_str() {
                DISCOVERY_AUTOMATIC => false,
                DISCOVERY_SUBSCRIBE => true,
                other => return Err(ConfigurationError::UnknownDiscovery(other.to_owned())),
            },
            clients_mark_retries: self.clients.mark_retries,
            max_retry_after: self.permissions.retry_after.then_some(self.permissions.max_retry_after),
            usage_report_period: (self.usage.usage_report_period > 0.0)
                .then_some(self.usage.usage_report_period),
            cross_zone_cost: self.costs.cross_zone,
            handshake_cost: self.costs.handshake,
            connect_timeout,
            idle_timeout,
            slow_start_initial_capacity: self.rules.slow_start_initial_capacity,
            slow_start_duration: self.rules.slow_start_duration,
            overload_threshold: self.rules.overload_threshold,
            overload_window: self.rules.overload_window,
            ..Settings::default()
        })
    }
}

impl ClassDocument {
    fn into_class(self) -> Result<RequestClass, ConfigurationError> {
        Ok(RequestClass {
            idempotency: self.idempotency()?,
            name: self.name,
            // Without a latency objective, any response within the deadline earns the full weight.
            latency_objective: if self.latency_objective == 0.0 {
                self.deadline
            } else {
                self.latency_objective
            },
            deadline: self.deadline,
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            idempotency_window: self.idempotency_window,
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
                class: self.name.clone(),
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
            rate: document.rate,
            burst: document.burst,
            max_concurrency: document.max_concurrency,
            weight_factor: document.weight_factor,
            over_quota_weight: document.over_quota_weight,
            over_quota_cost: document.over_quota_cost,
            ceiling_rate: document.ceiling_rate,
            ceiling_burst: document.ceiling_burst,
            ceiling_tolerance: document.ceiling_tolerance,
        }
    }
}
