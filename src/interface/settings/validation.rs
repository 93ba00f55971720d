//! Validation of [`Settings`]: what no gateway can act on is rejected when it is built.

use crate::interface::{Plan, RequestClass, Settings};

/// Why settings cannot be acted on.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("classes: none given")]
    NoClasses,
    /// There is no plan.
    #[error("plans: none given")]
    NoPlans,
    /// The gateway's rank is not below the number of gateways.
    #[error("rank: {rank} is outside the {gateways} gateways")]
    RankOutOfRange {
        /// The rank.
        rank: u32,
        /// The number of gateways.
        gateways: u32,
    },
    /// No attempt is allowed.
    #[error("max_attempts: 0")]
    NoAttempts,
    /// A number of a request class is negative, not finite, or 0 where it must not be.
    #[error("class {0}: a negative or missing figure")]
    InvalidClass(String),
    /// A number of a plan is negative or not finite.
    #[error("plan {0}: a negative or missing figure")]
    InvalidPlan(String),
    /// A number is negative or not finite.
    #[error("{name}: {value} cannot be acted on")]
    InvalidNumber {
        /// Its name.
        name: &'static str,
        /// Its value.
        value: f64,
    },
}

/// Checks settings.
///
/// # Errors
/// The first value that cannot be acted on.
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
    if let Some(class) = settings.classes.iter().find(|class| !class_is_valid(class)) {
        return Err(SettingsError::InvalidClass(class.name.clone()));
    }
    if let Some(plan) = settings.plans.iter().find(|plan| !plan_is_valid(plan)) {
        return Err(SettingsError::InvalidPlan(plan.name.clone()));
    }
    match numbers_by_name(settings).into_iter().find(|(_, value)| !is_valid(*value)) {
        Some((name, value)) => Err(SettingsError::InvalidNumber { name, value }),
        None => Ok(()),
    }
}

fn is_valid(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn class_is_valid(class: &RequestClass) -> bool {
    let numbers = [
        class.latency_objective,
        class.deadline,
        class.priority_weight,
        class.late_weight,
        class.idempotency_window,
    ];
    numbers.into_iter().all(is_valid) && class.latency_objective != 0.0
}

fn plan_is_valid(plan: &Plan) -> bool {
    let numbers = [
        plan.rate,
        plan.burst,
        plan.weight_factor,
        plan.over_quota_weight,
        plan.over_quota_cost,
        plan.ceiling_rate,
        plan.ceiling_burst,
        plan.ceiling_tolerance,
    ];
    numbers.into_iter().all(is_valid)
}

/// The numbers of the settings themselves, each by the name that error messages give it.
fn numbers_by_name(settings: &Settings) -> [(&'static str, f64); 12] {
    [
        ("clock_error", settings.max_clock_error),
        ("cold_from", settings.slow_start_initial_capacity),
        ("warm_after", settings.slow_start_duration),
        ("fall_multiple", settings.overload_threshold),
        ("fall_window", settings.overload_window),
        ("cross_zone_price", settings.cross_zone_cost),
        ("handshake_price", settings.handshake_cost),
        ("connect_timeout", settings.connect_timeout),
        ("connection_rest", settings.connection_quarantine),
        ("keepalive", settings.idle_timeout.unwrap_or(0.0)),
        ("meter_period", settings.usage_report_period.unwrap_or(0.0)),
        ("max_retry_after", settings.max_retry_after.unwrap_or(0.0)),
    ]
}
