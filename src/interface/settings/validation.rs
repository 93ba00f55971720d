//! Validation of [`Settings`] when a gateway is built.

use crate::interface::{Plan, RequestClass, Settings};

/// Why settings are invalid. A message names the field of [`Settings`], [`RequestClass`] or [`Plan`] and, in
/// parentheses, its key of the settings object if the two differ.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("classes: at least one is required")]
    NoClasses,
    /// There is no plan.
    #[error("plans (contracts): at least one is required")]
    NoPlans,
    /// The gateway's rank is not below the number of gateways.
    #[error("rank: {rank} is not below the number of gateways (balancers), {gateways}")]
    RankOutOfRange {
        /// Rank of the gateway.
        rank: u32,
        /// Number of gateways.
        gateways: u32,
    },
    /// The maximum number of attempts is 0.
    #[error("max_attempts (allowed.mostTries): 0, must be at least 1")]
    NoAttempts,
    /// A number of a request class is negative or not finite.
    #[error("class {class}: {name} is {value}, must be finite and not negative")]
    InvalidClass {
        /// Name of the class.
        class: String,
        /// Name of the field of [`RequestClass`], with its JSON key in parentheses if that differs.
        name: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// The latency objective of the request class of this name is 0.
    #[error("class {0}: latency_objective (aimMs; without it, deadlineMs) is 0, must be positive")]
    NoLatencyObjective(String),
    /// A number of a plan is negative or not finite.
    #[error("plan {plan}: {name} is {value}, must be finite and not negative")]
    InvalidPlan {
        /// Name of the plan.
        plan: String,
        /// Name of the field of [`Plan`], with its JSON key in parentheses if that differs.
        name: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// Another number of the settings is negative or not finite.
    #[error("{name} is {value}, must be finite and not negative")]
    InvalidNumber {
        /// Name of the field of [`Settings`], with its JSON key in parentheses if that differs.
        name: &'static str,
        /// The invalid value.
        value: f64,
    },
}

/// The name of a field, with its JSON key in parentheses if that differs, and its value.
type NamedNumber = (&'static str, f64);

/// Checks that a gateway can be built with the settings.
///
/// # Errors
/// Reports the first value that is invalid.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.plans.is_empty() {
        return Err(SettingsError::NoPlans);
    }
    if settings.gateways == 0 || settings.rank >= settings.gateways {
        return Err(SettingsError::RankOutOfRange { rank: settings.rank, gateways: settings.gateways });
    }
    if settings.max_attempts == 0 {
        return Err(SettingsError::NoAttempts);
    }
    settings.classes.iter().try_for_each(validate_class)?;
    settings.plans.iter().try_for_each(validate_plan)?;
    match first_invalid(numbers_of_settings(settings)) {
        Some((name, value)) => Err(SettingsError::InvalidNumber { name, value }),
        None => Ok(()),
    }
}

/// Returns the first number that is negative or not finite, or `None` if all are valid.
fn first_invalid(numbers: impl IntoIterator<Item = NamedNumber>) -> Option<NamedNumber> {
    numbers.into_iter().find(|(_, value)| !(value.is_finite() && *value >= 0.0))
}

fn validate_class(class: &RequestClass) -> Result<(), SettingsError> {
    let numbers = [
        ("latency_objective (aimMs)", class.latency_objective),
        ("deadline (deadlineMs)", class.deadline),
        ("priority_weight (worth)", class.priority_weight),
        ("late_weight (lateWorth)", class.late_weight),
        ("idempotency_window (windowMs)", class.idempotency_window),
    ];
    match first_invalid(numbers) {
        Some((name, value)) => Err(SettingsError::InvalidClass { class: class.name.clone(), name, value }),
        None if class.latency_objective == 0.0 => Err(SettingsError::NoLatencyObjective(class.name.clone())),
        None => Ok(()),
    }
}

fn validate_plan(plan: &Plan) -> Result<(), SettingsError> {
    let numbers = [
        ("rate (refill)", plan.rate),
        ("burst (mostAtOnce)", plan.burst),
        ("weight_factor (worthFactor)", plan.weight_factor),
        ("over_quota_weight (extraWorth)", plan.over_quota_weight),
        ("over_quota_cost (excessCost)", plan.over_quota_cost),
        ("ceiling_rate (capRate)", plan.ceiling_rate),
        ("ceiling_burst (capDepth)", plan.ceiling_burst),
        ("ceiling_tolerance (tolerance)", plan.ceiling_tolerance),
    ];
    match first_invalid(numbers) {
        Some((name, value)) => Err(SettingsError::InvalidPlan { plan: plan.name.clone(), name, value }),
        None => Ok(()),
    }
}

/// The numbers of the settings other than those of classes and plans.
fn numbers_of_settings(settings: &Settings) -> [NamedNumber; 12] {
    [
        ("max_clock_error", settings.max_clock_error),
        ("slow_start_initial_capacity (rules.coldFrom)", settings.slow_start_initial_capacity),
        ("slow_start_duration (rules.warmAfterMs)", settings.slow_start_duration),
        ("overload_threshold (rules.fallMultiple)", settings.overload_threshold),
        ("overload_window (rules.overloadForMs)", settings.overload_window),
        ("cross_zone_cost (prices.crossZone)", settings.cross_zone_cost),
        ("handshake_cost (prices.handshake)", settings.handshake_cost),
        ("connect_timeout (allowed.connectTimeoutMs)", settings.connect_timeout),
        ("connection_quarantine", settings.connection_quarantine),
        ("idle_timeout (allowed.keepaliveMs)", settings.idle_timeout.unwrap_or(0.0)),
        ("usage_report_period (domain.usePeriodMs)", settings.usage_report_period.unwrap_or(0.0)),
        ("max_retry_after (allowed.maxRetryAfterMs)", settings.max_retry_after.unwrap_or(0.0)),
    ]
}
