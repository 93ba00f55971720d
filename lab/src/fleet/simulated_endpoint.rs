//! A simple model of an endpoint: some cores, one queue, slow start, and a process that can stop.

use crate::deployment::{
    OVERLOAD_THRESHOLD, OVERLOAD_WINDOW, SLOW_START_DURATION, SLOW_START_INITIAL_CAPACITY,
};
use edge_gateway::Millis;
use std::collections::VecDeque;

/// An attempt's number in the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An endpoint.
pub struct SimulatedEndpoint {
    /// Whether its process runs and can be reached.
    pub running: bool,
    /// When it last started; `None` before the run.
    pub started_at: Option<Millis>,
    /// Number of its process, so that the work of an earlier one is ignored.
    pub incarnation: u32,
    /// Attempts that have arrived at it.
    pub attempts: u64,
    /// Attempts beyond what it can take in slow start.
    pub slow_start_excess_attempts: u64,
    cores: u32,
    busy_cores: u32,
    queue: VecDeque<AttemptId>,
    /// Arrivals within the overload window, in slow start.
    recent_attempts: VecDeque<Millis>,
}

impl SimulatedEndpoint {
    /// One that has its full capacity.
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

    /// Fraction of its capacity that it has at a time.
    pub fn capacity_factor(&self, now: Millis) -> f64 {
        let age = self.started_at.map_or(f64::INFINITY, |started_at| now - started_at);
        let progress = (age / SLOW_START_DURATION).min(1.0);
        SLOW_START_INITIAL_CAPACITY + (1.0 - SLOW_START_INITIAL_CAPACITY) * progress
    }

    /// Attempts that it processes or queues.
    pub fn in_flight(&self) -> usize {
        self.busy_cores as usize + self.queue.len()
    }

    /// Ends its process: attempts in flight are lost.
    pub fn stop(&mut self) {
        self.running = false;
        self.incarnation += 1;
        self.busy_cores = 0;
        self.queue.clear();
        self.recent_attempts.clear();
    }

    /// Starts its process, in slow start.
    pub fn start(&mut self, now: Millis) {
        self.running = true;
        self.started_at = Some(now);
    }

    /// Counts an arrival against what an endpoint can take in slow start: `N + 2 root N + 2` requests of mean
    /// service time in a window, N being the limit by its present capacity and the settings for an endpoint
    /// that processes one at a time.
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

    /// Accepts an attempt, and returns it if a core is free to process it at once.
    pub fn accept(&mut self, attempt: AttemptId) -> Option<AttemptId> {
        if self.busy_cores < self.cores {
            self.busy_cores += 1;
            return Some(attempt);
        }
        self.queue.push_back(attempt);
        None
    }

    /// Finishes one attempt, and returns the queued one that its core processes next.
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
