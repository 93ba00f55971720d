//! Slow start: the capacity of an endpoint after its start, and how many requests a gateway may send to it.
//!
//! Time is divided into intervals, in each of which a gateway may send a limited number of requests. All
//! gateways together thus stay below the load at which an endpoint in slow start fails, although none knows
//! what the others send.

use crate::interface::{EndpointId, Millis, Settings};

/// Length of an interval as a fraction of [`Settings::overload_window`]: long enough for the gateways of a
/// large fleet to be allowed requests.
const INTERVAL_FRACTION: f64 = 0.5;
/// Maximum load from all gateways together, as a fraction of the load at which an endpoint fails. Below 1
/// because service times vary and an overload window may overlap three intervals.
const SAFETY_FRACTION: f64 = 0.75;

/// One of the equal intervals into which the time since an endpoint's start is divided.
#[derive(Clone, Copy, Debug)]
struct Interval {
    index: u64,
    /// Age of the endpoint when the interval begins.
    starts_at_age: Millis,
}

/// Number of requests that were sent to an endpoint in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct IntervalCount {
    index: u64,
    requests: u32,
}

/// Slow-start state of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStart {
    /// When the process started, by its own clock; `None` if that was long ago.
    started_at: Option<Millis>,
    /// When this gateway first saw that process on the endpoint list.
    first_seen_at: Millis,
    /// The last interval in which this gateway sent the endpoint a request that slow start limits.
    last_interval: IntervalCount,
}

impl SlowStart {
    /// Creates the state of an endpoint that is first seen now.
    pub(super) fn new(started_at: Option<Millis>, now: Millis) -> Self {
        Self { started_at, first_seen_at: now, last_interval: IntervalCount::default() }
    }

    /// When this gateway first saw the process on the endpoint list.
    pub(super) fn first_seen_at(&self) -> Millis {
        self.first_seen_at
    }

    pub(super) fn started_at(&self) -> Option<Millis> {
        self.started_at
    }

    /// Returns the capacity that the endpoint has at least, as a fraction of its full capacity. It may have
    /// more, because its clock may be wrong.
    pub(super) fn min_capacity_fraction(&self, settings: &Settings, now: Millis) -> f64 {
        let age = self.min_age(settings, now);
        if age >= settings.slow_start_duration {
            return 1.0;
        }
        let initial = settings.slow_start_initial_capacity;
        initial + (1.0 - initial) * age / settings.slow_start_duration
    }

    /// Returns the index of the current interval if a request with this service time may be sent in it.
    ///
    /// Returns `None` if this gateway has reached its limit, or if the interval began before this gateway
    /// started: the gateway's previous process may have sent requests in it. Intervals are counted from the
    /// endpoint's reported start time, even if it is wrong, so that they are the same at all gateways.
    pub(super) fn interval_for_request(
        &self,
        id: EndpointId,
        settings: &Settings,
        service_time: Millis,
        gateway_started_at: Millis,
        now: Millis,
    ) -> Option<u64> {
        let started_at = self.started_at.unwrap_or(now);
        let interval = interval_at(settings, now - started_at);
        if gateway_started_at > started_at + interval.starts_at_age {
            return None;
        }
        let min_capacity_fraction = self.min_capacity_fraction(settings, now);
        let limit = interval_limit(settings, id, interval.index, min_capacity_fraction, service_time);
        let sent = if self.last_interval.index == interval.index { self.last_interval.requests } else { 0 };
        (sent < limit).then_some(interval.index)
    }

    /// Records that a request is sent in the interval with this index.
    pub(super) fn record_request(&mut self, interval: u64) {
        if self.last_interval.index != interval {
            self.last_interval = IntervalCount { index: interval, requests: 0 };
        }
        self.last_interval.requests += 1;
    }

    /// Returns the age that the process has at least; infinite without a start time. The reported age when it
    /// was first seen is reduced by the largest clock error, to no less than 0, and the time since is added.
    fn min_age(&self, settings: &Settings, now: Millis) -> Millis {
        let Some(started_at) = self.started_at else { return f64::INFINITY };
        let age_when_first_seen = (self.first_seen_at - started_at - settings.max_clock_error).max(0.0);
        age_when_first_seen + now - self.first_seen_at
    }
}

/// Whether slow start limits the requests to an endpoint that has at least `min_capacity_fraction` of its
/// full capacity. It never does if the settings have an overload threshold or overload window of 0.
pub(super) fn limits_requests(settings: &Settings, min_capacity_fraction: f64) -> bool {
    min_capacity_fraction < 1.0 && settings.overload_threshold > 0.0 && settings.overload_window > 0.0
}

/// Returns the interval at an age. The age is negative if the endpoint's clock is ahead of the gateway's.
fn interval_at(settings: &Settings, age: Millis) -> Interval {
    let length = INTERVAL_FRACTION * settings.overload_window;
    let index = (age / length).floor();
    Interval { index: index as i64 as u64, starts_at_age: index * length }
}

/// Returns how many requests of this service time this gateway may send to an endpoint in an interval.
///
/// The endpoint is assumed to serve one request at a time, at `min_capacity_fraction` of its full capacity.
/// Gateways take turns by rank; which one is first is random, from a seed that is the same at all gateways.
fn interval_limit(
    settings: &Settings,
    endpoint: EndpointId,
    interval: u64,
    min_capacity_fraction: f64,
    service_time: Millis,
) -> u32 {
    let busy_time =
        SAFETY_FRACTION * settings.overload_threshold * INTERVAL_FRACTION * settings.overload_window;
    let gateways = f64::from(settings.gateways);
    let turn_offset = gateways * fastrand::Rng::with_seed(interval << 32 | u64::from(endpoint)).f64();
    let turn = (f64::from(settings.rank) + turn_offset) % gateways;
    ((busy_time * min_capacity_fraction / service_time - turn) / gateways).ceil().max(0.0) as u32
}
