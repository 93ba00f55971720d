//! Load balancing over the endpoints of a fleet: what is known of each, and the selection of one for each
//! attempt.
//!
//! This module owns the endpoints and everything that is learned from their responses. Whether a request is
//! forwarded at all, and when it gets a further attempt, is left to the gateway.

mod candidate;
mod concurrency_estimate;
mod connections;
mod endpoint;
mod feedback;
mod latency_estimate;
mod outlier_detection;
mod selection;
mod service_time;
mod slow_start;
mod subset;
mod zone_statistics;

pub(crate) use candidate::Candidate;
pub(crate) use feedback::FinishedAttempt;

use crate::interface::{EndpointId, EndpointStatus, EndpointUpdate, Millis, RequestId, Settings};
use concurrency_estimate::ConcurrencyEstimate;
use endpoint::{Endpoint, InFlightAttempt};
use service_time::ServiceTimes;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use subset::{Locality, Subset};
use zone_statistics::ZoneStatistics;

/// Selects endpoints, and learns from the results of attempts.
pub(crate) struct LoadBalancer {
    settings: Arc<Settings>,
    /// When this gateway started.
    started_at: Millis,
    /// Shortest latency objective of all classes: the measure of how quickly queues build up and drain.
    shortest_objective: Millis,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    subset: Subset,
    zones: ZoneStatistics,
    service_times: ServiceTimes,
    concurrency: ConcurrencyEstimate,
}

impl LoadBalancer {
    /// A load balancer that knows no endpoint.
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        Self {
            started_at: f64::INFINITY,
            shortest_objective: objectives.fold(f64::INFINITY, f64::min),
            endpoints: BTreeMap::new(),
            subset: Subset::new(&settings),
            zones: ZoneStatistics::default(),
            service_times: ServiceTimes::new(&settings),
            concurrency: ConcurrencyEstimate::default(),
            settings,
        }
    }

    /// Notes when the gateway started.
    pub(crate) fn start(&mut self, now: Millis) {
        self.started_at = now;
    }

    /// Shortest latency objective of all classes.
    pub(crate) fn shortest_objective(&self) -> Millis {
        self.shortest_objective
    }

    /// Number of endpoints known.
    pub(crate) fn known_endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Takes in a complete list: endpoints that it lacks have been removed.
    pub(crate) fn replace_endpoints(&mut self, updates: &[EndpointUpdate], now: Millis) {
        let present: BTreeSet<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        for (id, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| !present.contains(id)) {
            endpoint.status = EndpointStatus::Removed;
            self.subset.remove(*id);
        }
        self.update_endpoints(updates, now);
    }

    /// Takes in changed entries of the list.
    pub(crate) fn update_endpoints(&mut self, updates: &[EndpointUpdate], now: Millis) {
        for update in updates {
            let id = update.endpoint;
            let endpoint = self.endpoints.entry(id).or_insert_with(|| Endpoint::new(update, now));
            endpoint.update(update, now);
            if endpoint.status != EndpointStatus::Ready {
                self.subset.remove(id);
            } else if self.settings.cross_zone_cost == 0.0 || *endpoint.zone == *self.settings.zone {
                self.subset.insert(id, Locality::Local);
            } else {
                self.subset.insert(id, Locality::Remote);
            }
        }
    }

    /// Drops removed endpoints without attempts in flight. Returns how many endpoints are ejected, or on
    /// probation after an ejection, those dropped included: one pass over a long list serves both.
    pub(crate) fn prune(&mut self) -> usize {
        let mut ejected = 0;
        self.endpoints.retain(|_, endpoint| {
            ejected += usize::from(endpoint.outlier.on_probation());
            endpoint.status != EndpointStatus::Removed || !endpoint.in_flight.is_empty()
        });
        ejected
    }

    /// The expected service time of a request at an idle endpoint.
    pub(crate) fn service_time(&self, class: usize, units: f64) -> Millis {
        self.service_times.expected(class, units)
    }

    /// Takes the expected service time of a request into the mean; the first one sets it.
    pub(crate) fn record_request(&mut self, service_time: Millis, is_first: bool) {
        self.service_times.record_request(service_time, is_first);
    }

    /// Counts an attempt as in flight at the endpoint that was selected for it.
    pub(crate) fn record_attempt(
        &mut self,
        candidate: &Candidate,
        request: &RequestId,
        attempt: u32,
        now: Millis,
    ) {
        self.concurrency.attempt_started();
        let Some(endpoint) = self.endpoints.get_mut(&candidate.endpoint) else { return };
        let request = Arc::clone(request);
        endpoint.in_flight.push_back(InFlightAttempt { request, attempt, sent_at: now });
        endpoint.connections.record_attempt(endpoint.in_flight.len(), now);
        if let Some(interval) = candidate.slow_start_interval {
            endpoint.slow_start.record_request(interval);
        }
    }
}
