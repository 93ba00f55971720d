//! Slow start: the capacity of an endpoint that has just started, and how many requests this gateway may send
//! it. In each interval of time all gateways together stay below the load at which such an endpoint fails,
//! although none knows what the others send.

use crate::interface::{EndpointId, Millis, Settings};

/// Length of an interval in overload windows: long enough for a gateway of a large fleet to have something to
/// send.
const INTERVAL_FRACTION: f64 = 0.5;
/// Fraction of the load at which an endpoint fails that is used: service times vary, and any window touches
/// three intervals.
const SAFETY_FRACTION: f64 = 0.75;

/// An interval, counted from an endpoint's start.
#[derive(Clone, Copy, Debug)]
struct Interval {
    index: u64,
    /// Age of the endpoint at which it began.
    starts_at_age: Millis,
}

/// Requests that were sent in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct IntervalCount {
    index: u64,
    requests: u32,
}

/// What slow start needs to know of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStart {
    /// When its process started, by its own clock; `None` for long ago.
    started_at: Option<Millis>,
    /// When this gateway first knew of that process.
    first_seen_at: Millis,
    /// The last interval in which this gateway sent to it.
    last_interval: IntervalCount,
}

impl SlowStart {
    /// The slow start of an endpoint that is first seen now.
    pub(super) fn new(started_at: Option<Millis>, now: Millis) -> Self {
        Self { started_at, first_seen_at: now, last_interval: IntervalCount::default() }
    }

    /// When the process started, by its own clock.
    pub(super) fn started_at(&self) -> Option<Millis> {
        self.started_at
    }

    /// The least fraction of its full capacity that the endpoint has now.
    pub(super) fn capacity(&self, settings: &Settings, now: Millis) -> f64 {
        let age = self.min_age(settings, now);
        if age >= settings.slow_start_duration {
            return 1.0;
        }
        let initial = settings.slow_start_initial_capacity;
        initial + (1.0 - initial) * age / settings.slow_start_duration
    }

    /// The interval in which a request with this service time may be sent now; `None` if this gateway's quota
    /// of it is used up. There is none in an interval that began before this gateway did, since an earlier
    /// incarnation may have used it. Intervals are counted from the start that the endpoint reports, be it
    /// right or not, so that all gateways have them in step.
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
        let limit = interval_limit(settings, id, interval.index, self.capacity(settings, now), service_time);
        let sent = if self.last_interval.index == interval.index { self.last_interval.requests } else { 0 };
        (sent < limit).then_some(interval.index)
    }

    /// Counts a request that is sent in an interval.
    pub(super) fn record_request(&mut self, interval: u64) {
        if self.last_interval.index != interval {
            self.last_interval = IntervalCount { index: interval, requests: 0 };
        }
        self.last_interval.requests += 1;
    }

    /// The least age of the process: the time since this gateway first knew of it, and before that as much as
    /// its clock can be trusted.
    fn min_age(&self, settings: &Settings, now: Millis) -> Millis {
        let Some(started_at) = self.started_at else { return f64::INFINITY };
        let age_when_first_seen = (self.first_seen_at - started_at - settings.max_clock_error).max(0.0);
        age_when_first_seen + now - self.first_seen_at
    }
}

/// Whether requests to an endpoint of this capacity are limited.
pub(super) fn limits_requests(settings: &Settings, capacity: f64) -> bool {
    capacity < 1.0 && settings.overload_threshold > 0.0 && settings.overload_window > 0.0
}

/// The interval at an age. A negative age is that of an endpoint whose clock is ahead of the gateway's.
fn interval_at(settings: &Settings, age: Millis) -> Interval {
    let length = INTERVAL_FRACTION * settings.overload_window;
    let index = (age / length).floor();
    Interval { index: index as i64 as u64, starts_at_age: index * length }
}

/// How many requests of this service time this gateway may send in an interval to an endpoint that serves one
/// at a time at this fraction of its capacity. Gateways take turns by rank; all draw the first one from
/// the same seed.
fn interval_limit(
    settings: &Settings,
    endpoint: EndpointId,
    interval: u64,
    capacity: f64,
    service_time: Millis,
) -> u32 {
    let busy_time =
        SAFETY_FRACTION * settings.overload_threshold * INTERVAL_FRACTION * settings.overload_window;
    let gateways = f64::from(settings.gateways);
    let turn_offset = gateways * fastrand::Rng::with_seed(interval << 32 | u64::from(endpoint)).f64();
    let turn = (f64::from(settings.rank) + turn_offset) % gateways;
    ((busy_time * capacity / service_time - turn) / gateways).ceil().max(0.0) as u32
}
