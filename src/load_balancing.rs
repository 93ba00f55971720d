//! Load balancing: keeps the state of every endpoint of the fleet, and selects one for each attempt.
//!
//! This module owns the endpoints and everything that is learned from the results of attempts. Whether a
//! request is forwarded at all, and when it gets a further attempt, is decided in [`crate::gateway`].

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
use crate::request::EndpointLocation;
use concurrency_estimate::ConcurrencyEstimate;
use endpoint::{Endpoint, InFlightAttempt};
use service_time::ServiceTimes;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use subset::{Locality, Subset};
use zone_statistics::ZoneStatistics;

/// Selects an endpoint for each attempt, and learns from the results of attempts.
pub(crate) struct LoadBalancer {
    settings: Arc<Settings>,
    /// When this gateway started; infinite until [`LoadBalancer::set_started_at`] is called.
    started_at: Millis,
    /// Shortest latency objective of all classes: the time scale at which queues build up and drain.
    shortest_objective: Millis,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    subset: Subset,
    zones: ZoneStatistics,
    service_times: ServiceTimes,
    concurrency: ConcurrencyEstimate,
}

impl LoadBalancer {
    /// Creates a load balancer that knows no endpoints.
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

    pub(crate) fn set_started_at(&mut self, now: Millis) {
        self.started_at = now;
    }

    /// Shortest latency objective of all classes: the time scale of ejections and of the decay of estimates.
    pub(crate) fn shortest_objective(&self) -> Millis {
        self.shortest_objective
    }

    /// Number of endpoints that are tracked, including removed ones until they are pruned.
    pub(crate) fn tracked_endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Applies a snapshot of the endpoint list: endpoints that are not on it have been removed.
    pub(crate) fn replace_endpoints(&mut self, updates: &[EndpointUpdate], now: Millis) {
        let present: BTreeSet<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        for (id, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| !present.contains(id)) {
            endpoint.status = EndpointStatus::Removed;
            self.subset.remove(*id);
        }
        self.update_endpoints(updates, now);
    }

    /// Applies added and changed entries of the endpoint list.
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

    /// Drops removed endpoints without attempts in flight. Returns how many endpoints are on probation, those
    /// dropped included: a single pass over a long list serves both.
    pub(crate) fn prune_endpoints(&mut self) -> usize {
        let mut on_probation = 0;
        self.endpoints.retain(|_, endpoint| {
            on_probation += usize::from(endpoint.outlier.on_probation());
            endpoint.status != EndpointStatus::Removed || !endpoint.in_flight.is_empty()
        });
        on_probation
    }

    /// Returns the expected service time of a request at an endpoint of average speed without other requests.
    pub(crate) fn service_time(&self, class_index: usize, units: f64) -> Millis {
        self.service_times.expected(class_index, units)
    }

    /// Updates the mean of the expected service times with that of a request; `is_first` sets the mean to it.
    pub(crate) fn record_service_time(&mut self, service_time: Millis, is_first: bool) {
        self.service_times.record_service_time(service_time, is_first);
    }

    /// Records an attempt as in flight at the endpoint that was selected for it; `attempt` is its index.
    /// Returns where the endpoint is; `None` if it is not known.
    pub(crate) fn record_attempt(
        &mut self,
        candidate: &Candidate,
        request: &RequestId,
        attempt: u32,
        now: Millis,
    ) -> Option<EndpointLocation> {
        self.concurrency.attempt_started();
        let endpoint = self.endpoints.get_mut(&candidate.endpoint)?;
        let request = Arc::clone(request);
        endpoint.in_flight.push_back(InFlightAttempt { request, attempt, forwarded_at: now });
        endpoint.connections.record_attempt(endpoint.in_flight.len(), now);
        if let Some(interval) = candidate.slow_start_interval {
            endpoint.slow_start.record_request(interval);
        }
        Some(EndpointLocation { zone: Arc::clone(&endpoint.zone), cell: endpoint.cell })
    }
}
