//! A model of an endpoint: several cores with one queue, slow start, and a process that can stop.

use crate::deployment::{
    OVERLOAD_THRESHOLD, OVERLOAD_WINDOW, SLOW_START_DURATION, SLOW_START_INITIAL_CAPACITY,
};
use edge_gateway::Millis;
use std::collections::VecDeque;

/// Identifies an attempt within a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An endpoint whose cores process attempts in the order of their arrival.
pub struct SimulatedEndpoint {
    /// Whether the process runs.
    pub running: bool,
    /// When the process last started. `None` if it started before the simulation.
    pub started_at: Option<Millis>,
    /// How often the process has stopped. Events of an earlier process are ignored.
    pub incarnation: u32,
    /// Attempts received.
    pub attempts: u64,
    /// Attempts that exceeded the limit during slow start.
    pub slow_start_excess_attempts: u64,
    cores: u32,
    busy_cores: u32,
    /// Attempts that wait for a core.
    queue: VecDeque<AttemptId>,
    /// Arrival times of the attempts within the overload window. Recorded only in slow start.
    recent_attempts: VecDeque<Millis>,
}

impl SimulatedEndpoint {
    /// Creates a running endpoint at its full capacity.
    pub fn new(cores: u32) -> Self {
        Self {
            running: true,
            started_at: None,
            incarnation: 0,
            attempts: 0,
            slow_start_excess_attempts: 0,
            cores,
            busy_cores: 0,
            queue: VecDeque::new(),
            recent_attempts: VecDeque::new(),
        }
    }

    /// Capacity at a given time, as a fraction of the full capacity.
    pub fn capacity_factor(&self, now: Millis) -> f64 {
        let age = self.started_at.map_or(f64::INFINITY, |started_at| now - started_at);
        let progress = (age / SLOW_START_DURATION).min(1.0);
        SLOW_START_INITIAL_CAPACITY + (1.0 - SLOW_START_INITIAL_CAPACITY) * progress
    }

    /// Number of attempts that are queued or being processed.
    pub fn in_flight(&self) -> usize {
        self.busy_cores as usize + self.queue.len()
    }

    /// Stops the process; attempts in flight are lost.
    pub fn stop(&mut self) {
        self.running = false;
        self.incarnation += 1;
        self.busy_cores = 0;
        self.queue.clear();
        self.recent_attempts.clear();
    }

    /// Starts the process, in slow start.
    pub fn start(&mut self, now: Millis) {
        self.running = true;
        self.started_at = Some(now);
    }

    /// Counts an arrival, and whether it exceeds the limit in slow start. The limit on the arrivals in an
    /// overload window is `n + 2 * sqrt(n) + 2`. `n` is the overload threshold times the number of requests
    /// of `service_time` that one core processes in a window at its current capacity; the rest allows for
    /// random variation.
    pub fn count_attempt(&mut self, now: Millis, service_time: Millis) {
        self.attempts += 1;
        let capacity_factor = self.capacity_factor(now);
        if capacity_factor >= 1.0 {
            return;
        }
        while self.recent_attempts.front().is_some_and(|at| *at <= now - OVERLOAD_WINDOW) {
            self.recent_attempts.pop_front();
        }
        self.recent_attempts.push_back(now);
        let limit = OVERLOAD_THRESHOLD * capacity_factor * OVERLOAD_WINDOW / service_time;
        if self.recent_attempts.len() as f64 > limit + 2.0 * limit.sqrt() + 2.0 {
            self.slow_start_excess_attempts += 1;
        }
    }

    /// Accepts an attempt. Returns it if a core is free to process it immediately, and queues it otherwise.
    pub fn accept(&mut self, attempt: AttemptId) -> Option<AttemptId> {
        if self.busy_cores < self.cores {
            self.busy_cores += 1;
            return Some(attempt);
        }
        self.queue.push_back(attempt);
        None
    }

    /// Finishes one attempt. Returns the queued attempt that the core processes next, if any.
    pub fn finish_one(&mut self) -> Option<AttemptId> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy_cores -= 1;
        }
        next
    }
}

#[cfg(test)]
mod tests;
