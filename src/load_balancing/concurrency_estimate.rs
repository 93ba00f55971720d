//! Estimates how many requests are in flight at an endpoint.
//!
//! Attempts of this gateway are counted. Requests of other gateways come from the endpoint's load reports;
//! without a report, each other gateway is assumed to have as many attempts in flight as this one.

use crate::interface::{LoadReport, Millis};

/// Weight of one sample in the moving mean of this gateway's attempts in flight.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one load report in the moving mean of requests from other gateways. Reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Time constant with which the weight of load reports decays, in shortest latency objectives. It decays
/// because an endpoint that is avoided sends no new reports.
const REPORT_DECAY: f64 = 0.8;

/// Number of attempts of this gateway in flight at all endpoints, and its moving mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConcurrencyEstimate {
    in_flight: u32,
    /// Moving mean of `in_flight`, sampled at each selection.
    mean_in_flight: f64,
}

impl ConcurrencyEstimate {
    /// Records that an attempt is in flight.
    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt is no longer in flight.
    pub(super) fn attempt_finished(&mut self) {
        self.in_flight -= 1;
    }

    /// Updates the mean with the number of attempts in flight now.
    pub(super) fn sample(&mut self) {
        self.mean_in_flight += MEAN_WEIGHT * (f64::from(self.in_flight) - self.mean_in_flight);
    }

    /// Returns the attempts in flight of all other gateways, assuming that each has as many as this one. The
    /// number of `gateways` includes this one.
    pub(super) fn other_gateways_in_flight(&self, gateways: u32) -> f64 {
        self.mean_in_flight * f64::from(gateways - 1)
    }
}

/// Requests of other gateways in flight at one endpoint, according to its load reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    /// Moving mean of the reported numbers, less this gateway's own attempts.
    from_other_gateways: f64,
    /// When the last report was received; negative infinity if none was.
    reported_at: Millis,
}

impl Default for ReportedLoad {
    fn default() -> Self {
        Self { from_other_gateways: 0.0, reported_at: f64::NEG_INFINITY }
    }
}

impl ReportedLoad {
    /// Records a load report; `own_in_flight` is the number of this gateway's attempts at the endpoint. Only
    /// the counts of a report are used: its utilization is a mean over past time.
    pub(super) fn record(&mut self, report: &LoadReport, own_in_flight: usize, now: Millis) {
        let Some(in_flight) = report.in_flight.or(report.queued) else { return };
        let from_other_gateways = (in_flight - own_in_flight as f64).max(0.0);
        self.from_other_gateways += REPORT_WEIGHT * (from_other_gateways - self.from_other_gateways);
        self.reported_at = now;
    }

    /// Returns the estimated number of requests of other gateways: the reported number, which with time moves
    /// towards the number that is `assumed` without a report.
    pub(super) fn estimate(&self, assumed: f64, shortest_objective: Millis, now: Millis) -> f64 {
        let weight = (-(now - self.reported_at) / (REPORT_DECAY * shortest_objective)).exp();
        assumed + weight * (self.from_other_gateways - assumed)
    }
}
