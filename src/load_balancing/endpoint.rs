//! The state of one endpoint.

use super::concurrency_estimate::ReportedLoad;
use super::connections::ConnectionTracker;
use super::latency_estimate::LatencyEstimate;
use super::outlier_detection::OutlierState;
use super::slow_start::SlowStart;
use crate::interface::{EndpointStatus, EndpointUpdate, Millis, RequestId};
use std::collections::VecDeque;
use std::sync::Arc;

/// An attempt of this gateway that is in flight at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    /// Index of the attempt among those of the request.
    pub(super) attempt: u32,
    /// When the attempt was forwarded.
    pub(super) forwarded_at: Millis,
}

/// State of an endpoint: its entry on the endpoint list, and what was learned from attempts.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Zone of the endpoint, which is local if it is also the gateway's.
    pub(super) zone: Arc<str>,
    /// Cell of the endpoint; see [`KeyScope::Cell`](crate::KeyScope::Cell).
    pub(super) cell: u32,
    /// Status on the endpoint list; removed if a snapshot lacks the endpoint.
    pub(super) status: EndpointStatus,
    /// Attempts of this gateway in flight at the endpoint, oldest first.
    pub(super) in_flight: VecDeque<InFlightAttempt>,
    /// When the last response of any kind was received; initially when the endpoint was first seen.
    pub(super) last_response_at: Millis,
    /// Age of the endpoint's process, and the limit on requests while it is in slow start.
    pub(super) slow_start: SlowStart,
    /// Connections of this gateway to the endpoint.
    pub(super) connections: ConnectionTracker,
    /// Requests of other gateways in flight at the endpoint, according to its load reports.
    pub(super) reported_load: ReportedLoad,
    /// Service time and queueing at the endpoint, from which latency is estimated.
    pub(super) latency: LatencyEstimate,
    /// Ejection and probation of the endpoint.
    pub(super) outlier: OutlierState,
}

impl Endpoint {
    /// Creates the state of an endpoint that is first seen now.
    pub(super) fn new(update: &EndpointUpdate, now: Millis) -> Self {
        Self {
            zone: Arc::clone(&update.zone),
            cell: update.cell,
            status: update.status,
            in_flight: VecDeque::new(),
            last_response_at: now,
            slow_start: SlowStart::new(update.started_at, now),
            connections: ConnectionTracker::default(),
            reported_load: ReportedLoad::default(),
            latency: LatencyEstimate::default(),
            outlier: OutlierState::default(),
        }
    }

    /// Applies a new entry of the endpoint list. Another start time shows that the process was replaced.
    pub(super) fn update(&mut self, update: &EndpointUpdate, now: Millis) {
        self.status = update.status;
        self.cell = update.cell;
        if update.started_at != self.slow_start.started_at() {
            // What was learned about the old process does not apply to the new one.
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Self { in_flight, ..Self::new(update, now) };
        }
    }

    /// Whether an attempt that was forwarded at `forwarded_at` went to an earlier process of the endpoint,
    /// whose results say nothing about the present one.
    pub(super) fn was_replaced_after(&self, forwarded_at: Millis) -> bool {
        forwarded_at < self.slow_start.first_seen_at()
    }

    /// Returns how long the endpoint has sent no response although attempts are in flight; 0 if none is.
    pub(super) fn unresponsive_for(&self, now: Millis) -> Millis {
        self.in_flight.front().map_or(0.0, |oldest| now - oldest.forwarded_at.max(self.last_response_at))
    }
}
