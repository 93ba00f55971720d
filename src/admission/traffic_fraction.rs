//! This gateway's fraction of a customer's traffic: the units that it forwards, divided by those that usage
//! reports show for all gateways. An even slice of the traffic is 1 divided by the customer's gateway spread.

use crate::interface::Plan;

/// Lower bound of the initial fraction, in even slices of the traffic. Within its bounds, the initial
/// fraction is one slice divided by the over-quota cost. With a higher cost, a gateway is thus more cautious
/// at first.
const MIN_INITIAL_SLICES: f64 = 0.8;
/// Upper bound of the initial fraction, in even slices of the traffic; see [`MIN_INITIAL_SLICES`].
const MAX_INITIAL_SLICES: f64 = 1.6;
/// Lower bound of the fraction, in even slices of the traffic: few requests in some periods do not prove that
/// no more will come.
const MIN_SLICES: f64 = 0.5;
/// Weight of the latest metered period in the fraction, which thus averages over several periods.
const PERIOD_WEIGHT: f64 = 0.25;
/// Minimum number of forwarded units that the initial fraction counts as when it is averaged with measured
/// ones: one request says little about the fraction.
const MIN_PRIOR_UNITS: f64 = 0.3;

/// An estimate of this gateway's fraction of a customer's traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficFraction {
    fraction: f64,
    /// Units forwarded since the last usage report.
    unreported_units: f64,
    /// Decaying sum of the units that this gateway forwarded in the last periods.
    forwarded_units: f64,
    /// Decaying sum of the units metered at all gateways in the last periods.
    metered_units: f64,
}

impl TrafficFraction {
    /// The fraction that is assumed before the first usage report. `spread` is the customer's gateway spread.
    pub(super) fn new(plan: &Plan, spread: f64) -> Self {
        let slices = (1.0 / plan.over_quota_cost).clamp(MIN_INITIAL_SLICES, MAX_INITIAL_SLICES);
        let fraction = (slices / spread).min(1.0);
        let prior = MIN_PRIOR_UNITS.max(fraction * plan.rate);
        Self { fraction, unreported_units: 0.0, forwarded_units: prior, metered_units: prior / fraction }
    }

    /// The current estimate, above 0 and at most 1.
    pub(super) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Counts units that this gateway has forwarded.
    pub(super) fn record_units(&mut self, units: f64) {
        self.unreported_units += units;
    }

    /// Updates the estimate with the units metered at all gateways since the last report.
    pub(super) fn record_metered_units(&mut self, units: f64, spread: f64) {
        let decay = 1.0 - PERIOD_WEIGHT;
        self.forwarded_units = decay * self.forwarded_units + self.unreported_units;
        self.metered_units = decay * self.metered_units + units;
        self.unreported_units = 0.0;
        let fraction = self.forwarded_units / self.metered_units.max(f64::MIN_POSITIVE);
        self.fraction = fraction.clamp(MIN_SLICES / spread, 1.0);
    }
}
