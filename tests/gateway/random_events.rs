//! Invariants that hold for any sequence of events, checked with random events.

use crate::harness::*;
use edge_gateway::*;
use std::collections::BTreeMap;

const ENDPOINTS: u32 = 6;
const CELLS: u32 = 2;
const STEPS: u32 = 1_500;
/// Number of steps, from the first one on, in which new requests may arrive.
const ARRIVAL_STEPS: u32 = 1_000;
const MAX_EVENT_INTERVAL: Millis = 8.0;
const HOUSEKEEPING_INTERVAL: Millis = 20.0;

/// Every request gets exactly one final answer, no request is executed more often than its class allows, and
/// equal seeds and events lead to equal actions.
#[test]
fn invariants_hold_for_random_events() {
    for seed in 0..30 {
        assert_eq!(Simulation::run(seed), Simulation::run(seed), "seed {seed}");
    }
}

struct Attempt {
    endpoint: EndpointId,
    timeout_at: Millis,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_been_executed(&self) -> bool {
        !self.outcome.is_some_and(Outcome::not_executed)
    }
}

struct Request {
    class: &'static str,
    deadline: Millis,
    is_answered: bool,
    attempts: Vec<Attempt>,
}

struct Simulation {
    rng: fastrand::Rng,
    hedging: bool,
    harness: Harness,
    statuses: [EndpointStatus; ENDPOINTS as usize],
    requests: BTreeMap<RequestId, Request>,
    now: Millis,
    next_housekeeping_at: Millis,
}

impl Simulation {
    /// Handles random events, checks each action, and returns all actions.
    fn run(seed: u64) -> Vec<Action> {
        let mut simulation = Self::start(seed);
        let mut log = Vec::new();
        for step in 0..STEPS {
            let actions = simulation.step(step);
            actions.iter().for_each(|action| simulation.check(action));
            log.extend(actions);
        }
        for (id, request) in &simulation.requests {
            let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
            assert!(request.is_answered || is_in_flight, "{id} has no answer and no attempt in flight");
        }
        log
    }

    fn start(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let hedging = rng.bool();
        let settings = Settings { hedging, ..settings_with_quota(500.0, 500.0) };
        let endpoints =
            (0..ENDPOINTS).map(|id| EndpointUpdate { cell: id % CELLS, ..endpoint(id) }).collect();
        Self {
            rng,
            hedging,
            harness: Harness::new(settings, endpoints),
            statuses: [EndpointStatus::Ready; ENDPOINTS as usize],
            requests: BTreeMap::new(),
            now: 0.0,
            next_housekeeping_at: HOUSEKEEPING_INTERVAL,
        }
    }

    /// Handles one random event.
    fn step(&mut self, step: u32) -> Vec<Action> {
        self.now += self.rng.f64() * MAX_EVENT_INTERVAL;
        if self.now >= self.next_housekeeping_at {
            self.next_housekeeping_at = self.now + HOUSEKEEPING_INTERVAL;
            self.harness.tick(self.now)
        } else if step < ARRIVAL_STEPS && self.rng.u8(..4) == 0 {
            self.receive_request()
        } else if self.rng.u8(..40) == 0 {
            self.change_endpoint();
            Vec::new()
        } else {
            self.finish_attempt()
        }
    }

    fn receive_request(&mut self) -> Vec<Action> {
        let class = ["read", "edit", "pay"][self.rng.usize(..3)];
        let (id, actions) = self.harness.receive(self.now, class, "a");
        let deadline = self.now + CLIENT_TIMEOUT;
        self.requests.insert(id, Request { class, deadline, is_answered: false, attempts: Vec::new() });
        actions
    }

    fn change_endpoint(&mut self) {
        let id = self.rng.u32(..ENDPOINTS);
        let status = if self.rng.bool() { EndpointStatus::Ready } else { EndpointStatus::Draining };
        self.statuses[id as usize] = status;
        let update = EndpointUpdate { cell: id % CELLS, status, ..endpoint(id) };
        self.harness.update_endpoints(self.now, EndpointListKind::Delta, vec![update]);
    }

    /// Finishes a random attempt in flight.
    fn finish_attempt(&mut self) -> Vec<Action> {
        const OUTCOMES: [Outcome; 5] =
            [Outcome::Success, Outcome::Error, Outcome::Overloaded, Outcome::ConnectFailed, Outcome::Reset];
        let mut in_flight: Vec<(RequestId, usize)> = Vec::new();
        for (id, request) in &self.requests {
            let attempts = request.attempts.iter().enumerate();
            in_flight.extend(attempts.filter(|(_, a)| a.outcome.is_none()).map(|(n, _)| (id.clone(), n)));
        }
        let Some((id, number)) = in_flight.get(self.rng.usize(..in_flight.len().max(1))).cloned() else {
            return Vec::new();
        };
        let request = self.requests.get_mut(&id).expect("a known request");
        let attempt = &mut request.attempts[number];
        let is_late = self.now >= attempt.timeout_at;
        let outcome = if is_late { Outcome::Timeout } else { OUTCOMES[self.rng.usize(..OUTCOMES.len())] };
        attempt.outcome = Some(outcome);
        request.is_answered |= outcome == Outcome::Success;
        let result = AttemptResult {
            attempt: number as u32,
            endpoint: 0,
            outcome,
            elapsed: 50.0,
            request_closed: request.is_answered,
            ..success_with_report(&id, 80.0)
        };
        self.harness.finish_attempt(self.now, result)
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Forward { request, endpoint, timeout_at } => {
                self.check_forwarded(request, *endpoint, *timeout_at);
            }
            Action::Reject { request: id, .. } => {
                let request = self.answer(id);
                let not_executed = !request.attempts.iter().any(Attempt::may_have_been_executed);
                assert!(
                    request.class == "read" || not_executed,
                    "{id} is rejected, but a retry may execute it twice"
                );
            }
            Action::Fail { request } => {
                self.answer(request);
            }
            _ => {}
        }
    }

    fn check_forwarded(&mut self, id: &RequestId, endpoint: EndpointId, timeout_at: Millis) {
        let status = self.statuses[endpoint as usize];
        let request = self.requests.get_mut(id).expect("a known request");
        assert!(!request.is_answered, "{id} is forwarded after its final answer");
        assert_eq!(status, EndpointStatus::Ready, "{id} is forwarded to endpoint {endpoint}, which drains");
        assert!(
            timeout_at <= request.deadline,
            "{id}: timeout at {timeout_at}, after the deadline at {}",
            request.deadline
        );
        let executed: Vec<_> = request.attempts.iter().filter(|a| a.may_have_been_executed()).collect();
        match request.class {
            "pay" => assert!(executed.is_empty(), "{id} is retried but not idempotent"),
            "edit" => {
                let is_in_cell = |attempt: &&Attempt| attempt.endpoint % CELLS == endpoint % CELLS;
                assert!(
                    executed.iter().all(is_in_cell),
                    "{id} has an idempotency key and is retried outside its cell at endpoint {endpoint}"
                );
            }
            _ => {}
        }
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(self.hedging || !is_in_flight, "{id} has two attempts in flight without hedging");
        request.attempts.push(Attempt { endpoint, timeout_at, outcome: None });
    }

    /// Records the final answer of a request, and checks that it is the only one.
    fn answer(&mut self, id: &RequestId) -> &Request {
        let request = self.requests.get_mut(id).expect("a known request");
        assert!(!request.is_answered, "{id} gets two final answers");
        request.is_answered = true;
        request
    }
}
