//! How many requests are in flight at an endpoint: those of this gateway are known, those of other gateways
//! come from the endpoint's load reports or, without one, are assumed to be as many as this gateway's.

use crate::interface::{LoadReport, Millis};

/// Weight of one request in the mean number of attempts in flight.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one load report in the number of requests from other gateways; reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Time in which a load report loses most of its weight, in shortest latency objectives: an endpoint that is
/// avoided sends no further ones.
const REPORT_DECAY: f64 = 0.8;

/// Attempts of this gateway in flight at all endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConcurrencyEstimate {
    in_flight: u32,
    /// Mean as recent requests found it.
    mean_in_flight: f64,
}

impl ConcurrencyEstimate {
    /// Counts an attempt as in flight.
    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt is no longer in flight.
    pub(super) fn attempt_finished(&mut self) {
        self.in_flight -= 1;
    }

    /// Takes the present number into the mean, once for each request.
    pub(super) fn sample(&mut self) {
        self.mean_in_flight += MEAN_WEIGHT * (f64::from(self.in_flight) - self.mean_in_flight);
    }

    /// Attempts of all other gateways, if each has as many in flight as this one.
    pub(super) fn other_gateways_in_flight(&self, gateways: u32) -> f64 {
        self.mean_in_flight * f64::from(gateways - 1)
    }
}

/// Requests of other gateways at one endpoint, by its load reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    from_other_gateways: f64,
    reported_at: Millis,
}

impl Default for ReportedLoad {
    fn default() -> Self {
        Self { from_other_gateways: 0.0, reported_at: f64::NEG_INFINITY }
    }
}

impl ReportedLoad {
    /// Takes in a load report; `own_in_flight` are the attempts of this gateway in flight at the endpoint.
    /// Only a count is used: a utilization is a mean over a time that has passed.
    pub(super) fn record(&mut self, report: &LoadReport, own_in_flight: usize, now: Millis) {
        let Some(in_flight) = report.in_flight.or(report.queued) else { return };
        let from_other_gateways = (in_flight - own_in_flight as f64).max(0.0);
        self.from_other_gateways += REPORT_WEIGHT * (from_other_gateways - self.from_other_gateways);
        self.reported_at = now;
    }

    /// Requests of other gateways: what was reported fades into what is assumed without a report.
    pub(super) fn estimate(&self, assumed: f64, shortest_objective: Millis, now: Millis) -> f64 {
        let weight = (-(now - self.reported_at) / (REPORT_DECAY * shortest_objective)).exp();
        assumed + weight * (self.from_other_gateways - assumed)
    }
}
