//! Selection of an endpoint: evaluates the endpoints that may be used for a request, and selects the one with
//! the lowest cost.

use super::candidate::{Candidate, SelectionContext};
use super::endpoint::Endpoint;
use super::subset::MAX_FULL_SCAN;
use super::LoadBalancer;
use crate::interface::{EndpointId, EndpointStatus, Millis};
use crate::request::Request;

/// Largest random addition to a cost, as a fraction of it. Keeps gateways with the same information from all
/// selecting the same endpoint.
const COST_JITTER: f64 = 0.15;
/// Maximum number of windows of a large fleet's rotation, see [`super::subset`], evaluated for one request.
const MAX_WINDOWS: usize = 64;
/// Factor by which the cost of an endpoint of a large fleet must be lower than that of an earlier one of the
/// rotation for it to be preferred. Small differences in cost must not change the order of the rotation.
const MIN_IMPROVEMENT: f64 = 1.5;
/// Factor on the cost of an endpoint that has failed since its last success, in a large fleet. Twice the
/// minimum improvement is more than enough for the other endpoints of the window to be preferred.
const FAILURE_PENALTY: f64 = 2.0 * MIN_IMPROVEMENT;

/// The best candidate so far that is no [last resort](Candidate::last_resort), and the best last resort.
struct Ranking {
    best: Option<Candidate>,
    last_resort: Option<Candidate>,
    /// Whether any healthy endpoint may be used for the request, whether it has capacity or not.
    any_healthy: bool,
    /// Factor by which the cost of a candidate must be lower than that of the best one to replace it.
    min_improvement: f64,
    /// Factor on the cost of an endpoint that has failed since its last success.
    failure_penalty: f64,
}

impl Ranking {
    fn new(min_improvement: f64, failure_penalty: f64) -> Self {
        Self { best: None, last_resort: None, any_healthy: false, min_improvement, failure_penalty }
    }

    /// Keeps a candidate if it is the best one, or the best last resort, so far.
    fn offer(&mut self, candidate: Candidate) {
        let (best, min_improvement) = if candidate.last_resort {
            (&mut self.last_resort, 1.0)
        } else {
            (&mut self.best, self.min_improvement)
        };
        if best.is_none_or(|best| candidate.cost * min_improvement < best.cost) {
            *best = Some(candidate);
        }
    }
}

impl LoadBalancer {
    /// Selects the endpoint with the lowest expected cost; `None` if none can be used.
    ///
    /// In a large fleet, only the next endpoints of the rotation are compared, unless the request may have
    /// been executed. `penalize_failures` raises the cost of those that have failed since their last success;
    /// it has no effect where all endpoints are compared.
    pub(crate) fn select(
        &mut self,
        request: &Request,
        penalize_failures: bool,
        now: Millis,
        rng: &mut fastrand::Rng,
    ) -> Option<Candidate> {
        self.concurrency.sample();
        let service_time = self.service_times.expected(request.class_index, request.incoming.units);
        let context = SelectionContext { request, service_time, now };
        let is_small_fleet = self.endpoints.len() <= MAX_FULL_SCAN;
        let ranking = if is_small_fleet || request.first_possibly_executed().is_some() {
            self.rank_all(&context, rng)
        } else {
            let failure_penalty = if penalize_failures { FAILURE_PENALTY } else { 1.0 };
            self.rank_subset(&context, failure_penalty, rng)
        };
        ranking.best.or(ranking.last_resort.filter(|candidate| {
            // If no endpoint is healthy, ejected ones are used. If the healthy ones only lack capacity,
            // requests are rejected instead.
            !ranking.any_healthy || !self.is_ejected(candidate.endpoint, now)
        }))
    }

    /// Ranks all endpoints of the fleet.
    fn rank_all(&self, context: &SelectionContext<'_>, rng: &mut fastrand::Rng) -> Ranking {
        let mut ranking = Ranking::new(1.0, 1.0);
        for (id, endpoint) in &self.endpoints {
            self.rank(context, *id, endpoint, rng, &mut ranking);
        }
        ranking
    }

    /// Ranks windows of the rotation until one contains a candidate that is not a last resort.
    fn rank_subset(
        &mut self,
        context: &SelectionContext<'_>,
        failure_penalty: f64,
        rng: &mut fastrand::Rng,
    ) -> Ranking {
        let mut ranking = Ranking::new(MIN_IMPROVEMENT, failure_penalty);
        for _ in 0..MAX_WINDOWS {
            for id in self.subset.next_window(context.now) {
                if let Some(endpoint) = self.endpoints.get(&id) {
                    self.rank(context, id, endpoint, rng, &mut ranking);
                }
            }
            if let Some(best) = ranking.best {
                self.subset.advance_past(best.endpoint);
                break;
            }
        }
        ranking
    }

    /// Evaluates one endpoint, and adds it to the ranking if it can be used for the request.
    fn rank(
        &self,
        context: &SelectionContext<'_>,
        id: EndpointId,
        endpoint: &Endpoint,
        rng: &mut fastrand::Rng,
        ranking: &mut Ranking,
    ) {
        if endpoint.status != EndpointStatus::Ready || !self.may_retry(context, endpoint) {
            return;
        }
        ranking.any_healthy |= endpoint.outlier.is_healthy(context.now);
        let Some(mut candidate) = self.evaluate(context, id, endpoint) else { return };
        if !candidate.last_resort {
            candidate.cost *= 1.0 + COST_JITTER * rng.f64();
        }
        if endpoint.outlier.has_failed() {
            candidate.cost *= ranking.failure_penalty;
        }
        ranking.offer(candidate);
    }

    fn is_ejected(&self, id: EndpointId, now: Millis) -> bool {
        self.endpoints.get(&id).is_some_and(|endpoint| endpoint.outlier.is_ejected(now))
    }
}
