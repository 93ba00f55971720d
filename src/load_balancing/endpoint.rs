//! The record of one endpoint.

use super::concurrency_estimate::ReportedLoad;
use super::connections::ConnectionTracker;
use super::latency_estimate::LatencyEstimate;
use super::outlier_detection::OutlierState;
use super::slow_start::SlowStart;
use crate::interface::{EndpointStatus, EndpointUpdate, Millis, RequestId};
use std::collections::VecDeque;
use std::sync::Arc;

/// An attempt of this gateway in flight at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    /// The request.
    pub(super) request: RequestId,
    /// Index of the attempt.
    pub(super) attempt: u32,
    /// When it was sent.
    pub(super) sent_at: Millis,
}

/// What is known of an endpoint: its entry on the list, and what its attempts have shown.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// Its zone.
    pub(super) zone: Arc<str>,
    /// Its cell.
    pub(super) cell: u32,
    /// Its status on the list.
    pub(super) status: EndpointStatus,
    /// Attempts of this gateway in flight there, the oldest first.
    pub(super) in_flight: VecDeque<InFlightAttempt>,
    /// When it last sent a response of any kind.
    pub(super) last_response_at: Millis,
    /// Its age, and what it may be sent while it is young.
    pub(super) slow_start: SlowStart,
    /// Connections to it.
    pub(super) connections: ConnectionTracker,
    /// Requests of other gateways there.
    pub(super) reported_load: ReportedLoad,
    /// Its latency.
    pub(super) latency: LatencyEstimate,
    /// Its health.
    pub(super) outlier: OutlierState,
}

impl Endpoint {
    /// An endpoint that is first seen now.
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

    /// Takes in its entry on the endpoint list.
    pub(super) fn update(&mut self, update: &EndpointUpdate, now: Millis) {
        self.status = update.status;
        self.cell = update.cell;
        if update.started_at != self.slow_start.started_at() {
            // Nothing that was learned of the old process holds for the new one.
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Self { in_flight, ..Self::new(update, now) };
        }
    }

    /// For how long it has sent nothing while an attempt is in flight there.
    pub(super) fn unresponsive_for(&self, now: Millis) -> Millis {
        self.in_flight.front().map_or(0.0, |oldest| now - oldest.sent_at.max(self.last_response_at))
    }
}
