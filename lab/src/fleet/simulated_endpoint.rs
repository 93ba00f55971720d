//! A plain model of a booking server: some cores, one queue, slow at first, and able to die.

use crate::deployment::{
    OVERLOAD_THRESHOLD, OVERLOAD_WINDOW, SLOW_START_DURATION, SLOW_START_INITIAL_CAPACITY,
};
use edge_gateway::Millis;
use std::collections::VecDeque;

/// A request at a server: which attempt of which gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The gateway.
    pub gateway: u32,
    /// The attempt, by its number in the run.
    pub attempt: u64,
}

/// A booking server.
pub struct Server {
    /// Whether its process runs and can be reached.
    pub up: bool,
    /// When it last started; `None` for long ago.
    pub started: Option<Millis>,
    /// Counts its lives, so that what a former one worked on is known.
    pub life: u32,
    /// Requests that were sent to it.
    pub sent: u64,
    /// Requests beyond what a cold server bears.
    pub over_budget: u64,
    cores: u32,
    busy: u32,
    queue: VecDeque<Job>,
    /// Sends of the last window, while it is cold.
    window: VecDeque<Millis>,
}

impl Server {
    /// One that runs since long ago.
    pub fn new(cores: u32) -> Self {
        Self {
            up: true,
            started: None,
            life: 0,
            sent: 0,
            over_budget: 0,
            cores,
            busy: 0,
            queue: VecDeque::new(),
            window: VecDeque::new(),
        }
    }

    /// Part of its capacity that it has at a time.
    pub fn warmth(&self, now: Millis) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |started| now - started);
        SLOW_START_INITIAL_CAPACITY
            + (1.0 - SLOW_START_INITIAL_CAPACITY) * (age / SLOW_START_DURATION).min(1.0)
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.busy as usize + self.queue.len()
    }

    /// It dies: what it held is gone.
    pub fn die(&mut self) {
        self.up = false;
        self.life += 1;
        self.busy = 0;
        self.queue.clear();
        self.window.clear();
    }

    /// It starts, cold.
    pub fn start(&mut self, now: Millis) {
        self.up = true;
        self.started = Some(now);
    }

    /// Counts a send against what a cold server bears: `N + 2 root N + 2` requests of mean work in a window, N being
    /// what its present capacity and the settings allow, for a server that works on one at a time.
    pub fn count_send(&mut self, now: Millis, work: Millis) {
        self.sent += 1;
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return;
        }
        while self.window.front().is_some_and(|at| *at <= now - OVERLOAD_WINDOW) {
            self.window.pop_front();
        }
        self.window.push_back(now);
        let allowed = OVERLOAD_THRESHOLD * warmth * OVERLOAD_WINDOW / work;
        if self.window.len() as f64 > allowed + 2.0 * allowed.sqrt() + 2.0 {
            self.over_budget += 1;
        }
    }

    /// Takes a request; gives it back if it is worked on at once.
    pub fn take(&mut self, job: Job) -> Option<Job> {
        if self.busy < self.cores {
            self.busy += 1;
            return Some(job);
        }
        self.queue.push_back(job);
        None
    }

    /// One request is done; gives the next to be worked on.
    pub fn next(&mut self) -> Option<Job> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_wait_for_a_core_in_order_and_are_gone_with_the_process() {
        let job = |attempt| Job { gateway: 0, attempt };
        let mut server = Server::new(1);
        assert_eq!(server.take(job(1)), Some(job(1)));
        assert_eq!((server.take(job(2)), server.take(job(3)), server.held()), (None, None, 3));
        assert_eq!((server.next(), server.next(), server.next()), (Some(job(2)), Some(job(3)), None));
        server.take(job(4));
        server.die();
        assert_eq!((server.held(), server.up), (0, false));
    }

    #[test]
    fn sends_over_a_cold_servers_budget_are_counted() {
        let mut server = Server::new(1);
        server.start(0.0);
        // Twice a fifth of a second's work of 100 ms: 4, and 4 and 2 for chance.
        (0..10).for_each(|_| server.count_send(0.0, 100.0));
        assert_eq!(server.over_budget, 0);
        server.count_send(1.0, 100.0);
        assert_eq!(server.over_budget, 1);
        (0..100).for_each(|_| server.count_send(2.0 * SLOW_START_DURATION, 100.0));
        assert_eq!((server.over_budget, server.sent), (1, 111));
    }
}
