//! Validation of [`Settings`] when a gateway is built.

use crate::interface::{Plan, RequestClass, Settings};

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("classes: at least one is required")]
    NoClasses,
    /// There is no plan.
    #[error("plans: at least one is required")]
    NoPlans,
    /// The gateway's rank is not below the number of gateways.
    #[error("rank: {rank} is not below the number of gateways, {gateways}")]
    RankOutOfRange {
        /// Rank of the gateway.
        rank: u32,
        /// Number of gateways.
        gateways: u32,
    },
    /// The maximum number of attempts is 0.
    #[error("max_attempts: 0, must be at least 1")]
    NoAttempts,
    /// A number of a request class is negative or not finite, or its latency objective is 0.
    #[error("class {0}: a number is negative or not finite, or the latency objective is 0")]
    InvalidClass(String),
    /// A number of a plan is negative or not finite.
    #[error("plan {0}: a number is negative or not finite")]
    InvalidPlan(String),
    /// Another number of the settings is negative or not finite.
    #[error("{name}: {value} is negative or not finite")]
    InvalidNumber {
        /// Name of the field of [`Settings`].
        name: &'static str,
        /// The invalid value.
        value: f64,
    },
}

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
    if let Some(class) = settings.classes.iter().find(|class| !class_is_valid(class)) {
        return Err(SettingsError::InvalidClass(class.name.clone()));
    }
    if let Some(plan) = settings.plans.iter().find(|plan| !plan_is_valid(plan)) {
        return Err(SettingsError::InvalidPlan(plan.name.clone()));
    }
    match numbers_by_name(settings).into_iter().find(|(_, value)| !is_valid_number(*value)) {
        Some((name, value)) => Err(SettingsError::InvalidNumber { name, value }),
        None => Ok(()),
    }
}

fn is_valid_number(number: f64) -> bool {
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
    numbers.into_iter().all(is_valid_number) && class.latency_objective != 0.0
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
    numbers.into_iter().all(is_valid_number)
}

/// The numbers of the settings other than those of classes and plans, with the names of their fields.
fn numbers_by_name(settings: &Settings) -> [(&'static str, f64); 12] {
    [
        ("max_clock_error", settings.max_clock_error),
        ("slow_start_initial_capacity", settings.slow_start_initial_capacity),
        ("slow_start_duration", settings.slow_start_duration),
        ("overload_threshold", settings.overload_threshold),
        ("overload_window", settings.overload_window),
        ("cross_zone_cost", settings.cross_zone_cost),
        ("handshake_cost", settings.handshake_cost),
        ("connect_timeout", settings.connect_timeout),
        ("connection_quarantine", settings.connection_quarantine),
        ("idle_timeout", settings.idle_timeout.unwrap_or(0.0)),
        ("usage_report_period", settings.usage_report_period.unwrap_or(0.0)),
        ("max_retry_after", settings.max_retry_after.unwrap_or(0.0)),
    ]
}
