//! The rules as invariants: every stand-in reports what it sees, and what breaks a rule is kept as a violation.

use super::settings::{Effect, RequestClass, Rules};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What the stand-ins' own tasks may be late by: this is one busy machine.
const LATE: Duration = Duration::from_millis(120);
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// An answer may come so long after its time.
const AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// What the deadline told to a server may exceed the time left by, in milliseconds.
const DEADLINE_SLACK_MS: f64 = 150.0;
/// Two attempts of a request may overlap for so long: a connection that was closed is noticed a little later.
const OVERLAP: Duration = Duration::from_millis(150);
/// A change counts as told so long after discovery had it and could be reached, whether it was written or not.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// Most violations that are kept word for word.
const KEPT: usize = 40;

/// A rule that the nodes must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was read has a whole final answer in time.
    FinalAnswer,
    /// An answer 200 is what a server made for this request.
    OwnAnswer,
    /// No attempt begins after the client has left.
    ClientLeft,
    /// No attempt begins after the final answer.
    AfterAnswer,
    /// An unsafe request runs once.
    UnsafeOnce,
    /// A keyed one stays in its zone and its window.
    KeyedScope,
    /// Attempts of a request do not overlap where that is not allowed.
    OneOut,
    /// The deadline told is at most the time left.
    Deadline,
    /// Nothing new goes to a server that was told to drain or to be gone.
    Drain,
    /// A server in slow start is not pushed over.
    SlowStart,
    /// A ceiling holds over all nodes.
    Ceiling,
    /// A refusal tells when to come back.
    RetryAfter,
    /// No node crashes, and each ends in time after SIGTERM.
    Lifecycle,
    /// A node that starts is ready in time.
    Ready,
    /// A node at rest uses little processor time.
    Processor,
    /// A node counts no broken promise of its own.
    Promise,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
    /// Time since the run began.
    pub at: Duration,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

/// An attempt as a server saw it.
struct Attempt {
    server: String,
    zone: String,
    began: Instant,
    ended: Option<Instant>,
    /// The server turned it away unseen.
    declined: bool,
}

/// A request of a usual client.
struct Request {
    class: RequestClass,
    node: usize,
    sent: Instant,
    left: Option<Instant>,
    answered: Option<Instant>,
    attempts: Vec<Attempt>,
}

/// What a server that has started lately was sent.
struct SlowStart {
    started: Instant,
    /// When each attempt came, and whether from a node that had been told of the start.
    arrivals: VecDeque<(Instant, bool)>,
    broken: bool,
}

#[derive(Default)]
struct State {
    requests: HashMap<String, Request>,
    /// When a node was told of a state of a server: the first time, by node, server and version of the list.
    told_leaving: HashMap<(usize, String), Instant>,
    told_start: HashMap<(usize, String, u64), Instant>,
    slow_starts: HashMap<(String, u64), SlowStart>,
    ceilings: HashMap<String, (f64, Instant)>,
    violations: Vec<Violation>,
    counts: BTreeMap<Rule, u32>,
    /// What happened, for the report.
    tallies: BTreeMap<&'static str, u64>,
}

/// Sees all and judges.
pub struct Oracle {
    rules: Rules,
    begun: Instant,
    state: Mutex<State>,
}

impl Oracle {
    /// One that has seen nothing.
    pub fn new(rules: Rules) -> Self {
        Self { rules, begun: Instant::now(), state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts something for the report.
    pub fn tally(&self, what: &'static str) {
        *self.state().tallies.entry(what).or_default() += 1;
    }

    /// Notes a broken rule.
    pub fn violation(&self, rule: Rule, what: impl Into<String>) {
        self.state().violation(self.begun.elapsed(), rule, what.into());
    }

    /// A client is about to write a request to a node.
    pub fn sending(&self, id: &str, class: RequestClass, node: usize) {
        let request =
            Request { class, node, sent: Instant::now(), left: None, answered: None, attempts: Vec::new() };
        self.state().requests.insert(id.to_owned(), request);
    }

    /// The request's last byte was written.
    pub fn sent(&self, id: &str) {
        if let Some(request) = self.state().requests.get_mut(id) {
            request.sent = Instant::now();
        }
    }

    /// The client has closed its connection.
    pub fn left(&self, id: &str) {
        if let Some(request) = self.state().requests.get_mut(id) {
            request.left = Some(Instant::now());
        }
    }

    /// Whether an attempt of a request has come to a server.
    pub fn has_arrived(&self, id: &str) -> bool {
        self.state().requests.get(id).is_some_and(|request| !request.attempts.is_empty())
    }

    /// A whole answer has come to the client.
    pub fn answered(&self, id: &str, status: u16, body: &[u8], retry_after: bool) {
        let now = Instant::now();
        let mut state = self.state();
        let at = self.begun.elapsed();
        let Some(request) = state.requests.get_mut(id) else { return };
        request.answered = Some(now);
        let late = now.saturating_duration_since(request.sent + request.class.wait);
        let served_by = request.attempts.iter().any(|a| body == format!("{id} by {}", a.server).as_bytes());
        let after = request.sent.elapsed();
        let expected_retry_after = after + Duration::from_millis(200) < request.class.aim;
        if late > AFTER_DEADLINE + LATE {
            state.violation(at, Rule::FinalAnswer, format!("{id} was answered {late:?} late"));
        }
        if status == 200 && !served_by {
            let body = String::from_utf8_lossy(body).into_owned();
            state.violation(at, Rule::OwnAnswer, format!("{id} was served '{body}'"));
        }
        if matches!(status, 429 | 503) && !retry_after && expected_retry_after {
            state.violation(at, Rule::RetryAfter, format!("{id} was refused after {after:?} with no advice"));
        }
        let tally = match status {
            200 => "served",
            429 | 503 => "refused",
            504 => "timed out",
            _ => "failed",
        };
        *state.tallies.entry(tally).or_default() += 1;
    }

    /// A whole request came to a server, whose first byte came at `began`; gives its number among the attempts.
    pub fn arrived(&self, arrival: &Arrival) -> Option<usize> {
        let now = Instant::now();
        let at = self.begun.elapsed();
        let mut state = self.state();
        let Some(request) = state.requests.get_mut(&arrival.id) else {
            state.violation(at, Rule::OwnAnswer, format!("{} was sent by no client", arrival.id));
            return None;
        };
        let mut broken = Vec::new();
        request.check_client(arrival, &mut broken);
        request.check_repeat(arrival, &mut broken);
        let (node, number) = (request.node, request.attempts.len());
        request.attempts.push(Attempt {
            server: arrival.server.clone(),
            zone: arrival.zone.clone(),
            began: arrival.began,
            ended: None,
            declined: false,
        });
        let capped = (number == 0).then(|| arrival.capped_customer.clone()).flatten();
        for (rule, what) in broken {
            state.violation(at, rule, what);
        }
        state.check_drain(at, node, arrival);
        state.check_slow_start(at, node, arrival, &self.rules);
        if let Some(customer) = capped {
            state.check_ceiling(at, customer, arrival.units, now, &self.rules);
        }
        *state.tallies.entry("attempts").or_default() += 1;
        Some(number)
    }

    /// An attempt has ended: its answer was written, or its connection is over.
    pub fn ended(&self, id: &str, number: usize, declined: bool) {
        let now = Instant::now();
        let at = self.begun.elapsed();
        let mut state = self.state();
        let Some(request) = state.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(number) else { return };
        attempt.ended = Some(now);
        attempt.declined = declined;
        // The next one may have begun a little before this one's end was noticed.
        let overlap = request.attempts.get(number + 1).map(|next| now.saturating_duration_since(next.began));
        if let Some(overlap) = overlap.filter(|overlap| *overlap > OVERLAP) {
            state.violation(at, Rule::OneOut, format!("{id}: two attempts out for {overlap:?}"));
        }
    }

    /// Discovery has a change by which a server drains or is gone; `reachable` says since when a node could have
    /// heard of it.
    pub fn leaving(&self, node: usize, server: &str, reachable: Instant) {
        let told = reachable + TOLD_WITHIN;
        let mut state = self.state();
        let earliest = state.told_leaving.entry((node, server.to_owned())).or_insert(told);
        *earliest = (*earliest).min(told);
    }

    /// An agent has written to a node that a server drains or is gone.
    pub fn told_leaving(&self, node: usize, server: &str) {
        let now = Instant::now();
        let mut state = self.state();
        let earliest = state.told_leaving.entry((node, server.to_owned())).or_insert(now);
        *earliest = (*earliest).min(now);
    }

    /// A node's process is new: what its agent has not told it anew it need not know.
    pub fn forget_told(&self, node: usize) {
        let mut state = self.state();
        state.told_leaving.retain(|(told, _), _| *told != node);
        state.told_start.retain(|(told, _, _), _| *told != node);
    }

    /// A server has started.
    pub fn started(&self, server: &str, boot_ms: u64) {
        let start = SlowStart { started: Instant::now(), arrivals: VecDeque::new(), broken: false };
        let mut state = self.state();
        state.slow_starts.insert((server.to_owned(), boot_ms), start);
        state.told_leaving.retain(|(_, told), _| told != server);
    }

    /// An agent has written to a node that a server serves, and since when.
    pub fn told_start(&self, node: usize, server: &str, boot_ms: u64) {
        let key = (node, server.to_owned(), boot_ms);
        self.state().told_start.entry(key).or_insert_with(Instant::now);
    }

    /// All violations by rule, the first ones word for word, and what happened.
    pub fn verdict(&self) -> (BTreeMap<Rule, u32>, Vec<Violation>, BTreeMap<&'static str, u64>) {
        let state = self.state();
        (state.counts.clone(), state.violations.clone(), state.tallies.clone())
    }
}

/// A request as a server read it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// When its first byte came.
    pub began: Instant,
    /// The server, its zone, and when it started (0 for long ago).
    pub server: String,
    /// The server's zone.
    pub zone: String,
    /// When the server started, in Unix time; 0 for long ago.
    pub boot_ms: u64,
    /// The deadline that came along, in milliseconds.
    pub told_ms: f64,
    /// Units that it takes.
    pub units: f64,
    /// The customer, if it has a ceiling.
    pub capped_customer: Option<String>,
}

impl Request {
    fn check_client(&self, arrival: &Arrival, broken: &mut Vec<(Rule, String)>) {
        let id = &arrival.id;
        if let Some(left) = self.left.filter(|left| arrival.began > *left + AFTER_LEAVING + LATE) {
            let after = arrival.began - left;
            broken.push((Rule::ClientLeft, format!("{id}: attempt {after:?} after its client left")));
        }
        if let Some(answered) = self.answered.filter(|answered| arrival.began > *answered + LATE) {
            let after = arrival.began - answered;
            broken.push((Rule::AfterAnswer, format!("{id}: attempt {after:?} after its answer")));
        }
        let passed = arrival.began.saturating_duration_since(self.sent);
        let left = (self.class.wait.as_secs_f64() - passed.as_secs_f64()) * 1_000.0;
        if arrival.told_ms > left + DEADLINE_SLACK_MS {
            let told = arrival.told_ms;
            broken.push((Rule::Deadline, format!("{id}: told {told:.0} ms with {left:.0} ms left")));
        }
    }

    fn check_repeat(&self, arrival: &Arrival, broken: &mut Vec<(Rule, String)>) {
        let id = &arrival.id;
        let Some(first) = self.attempts.iter().find(|attempt| !attempt.declined) else { return };
        match self.class.effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                broken.push((
                    Rule::UnsafeOnce,
                    format!("{id}: came to {} and {}", first.server, arrival.server),
                ));
            }
            Effect::Keyed { window } => {
                let after = arrival.began.saturating_duration_since(first.began);
                if first.zone != arrival.zone || after > window + LATE {
                    let (from, to) = (&first.zone, &arrival.zone);
                    broken
                        .push((Rule::KeyedScope, format!("{id}: from zone {from} to {to} after {after:?}")));
                }
            }
        }
    }
}

impl State {
    fn violation(&mut self, at: Duration, rule: Rule, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.violations.len() < KEPT {
            self.violations.push(Violation { rule, what, at });
        }
    }

    fn check_drain(&mut self, at: Duration, node: usize, arrival: &Arrival) {
        const GRACE: Duration = Duration::from_millis(250);
        let told = self.told_leaving.get(&(node, arrival.server.clone())).copied();
        if let Some(told) = told.filter(|told| arrival.began > *told + GRACE + LATE) {
            let after = arrival.began - told;
            let (id, server) = (&arrival.id, &arrival.server);
            self.violation(
                at,
                Rule::Drain,
                format!("{id}: node {node} sent to {server} {after:?} after told"),
            );
        }
    }

    fn check_slow_start(&mut self, at: Duration, node: usize, arrival: &Arrival, rules: &Rules) {
        let told = self.told_start.get(&(node, arrival.server.clone(), arrival.boot_ms));
        let told = told.is_some_and(|told| arrival.began > *told);
        let Some(start) = self.slow_starts.get_mut(&(arrival.server.clone(), arrival.boot_ms)) else {
            return;
        };
        let age = arrival.began.saturating_duration_since(start.started);
        if age > rules.warm_after || start.broken {
            return;
        }
        start.arrivals.push_back((arrival.began, told));
        while start.arrivals.front().is_some_and(|(came, _)| *came + rules.fall_window < arrival.began) {
            start.arrivals.pop_front();
        }
        let (count, of_told) =
            (start.arrivals.len(), start.arrivals.iter().filter(|(_, told)| *told).count());
        let most = rules.most_while_cold(age);
        if count as f64 > most && of_told * 3 > count * 2 {
            start.broken = true;
            let server = &arrival.server;
            self.violation(at, Rule::SlowStart, format!("{server} at {age:?}: {count} of at most {most:.0}"));
        }
    }

    fn check_ceiling(&mut self, at: Duration, customer: String, units: f64, now: Instant, rules: &Rules) {
        let (left, since) = self.ceilings.entry(customer.clone()).or_insert((rules.ceiling_depth, now));
        let refilled = now.duration_since(*since).as_secs_f64() * rules.ceiling_rate;
        *left = (*left + refilled).min(rules.ceiling_depth) - units;
        *since = now;
        // What the rate yields in 150 ms belongs to the slack.
        let least = -rules.ceiling_slack - 0.15 * rules.ceiling_rate;
        let below = *left;
        if below < least {
            self.violation(at, Rule::Ceiling, format!("{customer}: its store is at {below:.2}"));
        }
    }
}
