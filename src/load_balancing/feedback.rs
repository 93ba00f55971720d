//! What is known and learned of servers: the list, warmth, work, load and health.

use super::selection::{CROWDING, REPORT_LIFE};
use crate::gateway::{Gateway, SWEEP};
use crate::interface::*;
use crate::load_balancing::slow_start as cold;
use crate::request::{Attempt, Server};
use std::collections::BTreeSet;

/// Part of an aim that an unmeasured request is taken to need on an idle server.
const FIRST_WORK: f64 = 0.1;
/// How many answers that guess is worth: one unusually long request must not close a gateway.
const FIRST_ANSWERS: f64 = 4.0;
/// Weight of one answer in a class's learned work; some seconds of traffic.
const WORK_WEIGHT: f64 = 0.04;
/// Weight of one answer in a server's learned pace; a slow server shows within some twenty answers.
const PACE_WEIGHT: f64 = 0.05;
/// Bounds on what is believed of a server's pace.
const PACE_BOUNDS: (f64, f64) = (0.3, 10.0);
/// Weight of one report in what other gateways keep on a server; reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Weight of one answer in the waiting seen at a server: some answers.
const WAITED_WEIGHT: f64 = 0.2;
/// Weight of one attempt in the part of those to a zone that fail. It fades in the longest ejection.
const ZONE_WEIGHT: f64 = 0.3;
/// Failures in a row that eject a server which was answering until now.
const FAILURES: u32 = 2;
/// First time for which a server is left alone after failing, in shortest aims; doubles up to the last.
const BLOCK_FIRST: f64 = 0.4;
pub(crate) const BLOCK_LAST: f64 = 3.0;
/// How long a server that turned a request away is left alone, in shortest aims: some services.
const BLOCK_FULL: f64 = 0.12;

#[derive(Clone, Copy, Default)]
pub(crate) struct ClassWork {
    /// Work of one unit on an idle server, by this many answers.
    unit_work: Millis,
    answers: f64,
}

impl Gateway {
    pub(crate) fn list(
        &mut self,
        kind: EndpointListKind,
        members: &[EndpointUpdate],
        actions: &mut Vec<Action>,
    ) {
        if kind == EndpointListKind::Failed {
            if self.settings.list_subscription {
                actions.push(Action::SetTimer { token: 1, at: self.now + SWEEP });
            }
            return;
        }
        if kind == EndpointListKind::Snapshot {
            let named: BTreeSet<EndpointId> = members.iter().map(|m| m.endpoint).collect();
            for (id, server) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                server.state = EndpointStatus::Removed;
                self.subset.set(*id, false, false);
            }
        }
        for member in members {
            let now = self.now;
            let server = self.servers.entry(member.endpoint).or_insert_with(|| Server::new(member, now));
            server.state = member.status;
            server.cell = member.cell;
            if member.started_at != server.started {
                // A restarted process is a new server: nothing learned of the old one holds.
                let out = std::mem::take(&mut server.out);
                *server = Server { out, ..Server::new(member, now) };
            }
            let near = self.settings.cross_zone_cost == 0.0 || *server.zone == *self.settings.zone;
            self.subset.set(member.endpoint, near, server.state == EndpointStatus::Ready);
        }
    }

    /// How long ago a server started, at the least: since this gateway was told of it, and for as long before
    /// as its clock may be believed.
    fn least_age(&self, server: &Server) -> Millis {
        let Some(started) = server.started else { return f64::INFINITY };
        let age_when_told = (server.told_at - started - self.settings.max_clock_error).max(0.0);
        age_when_told + self.now - server.told_at
    }

    /// Present part of a server's capacity, at the least.
    pub(crate) fn warmth(&self, server: &Server) -> f64 {
        let age = self.least_age(server);
        if age >= self.settings.slow_start_duration {
            return 1.0;
        }
        let from = self.settings.slow_start_initial_capacity;
        from + (1.0 - from) * age / self.settings.slow_start_duration
    }

    /// The turn that is on at a cold server, and how many requests of this work this gateway may send in it:
    /// none in one that began before it did, since an earlier life may have sent some. Turns are counted from
    /// the start that the server tells, be it right or not, so that all gateways have them in step.
    pub(crate) fn cold_turn(&self, id: EndpointId, server: &Server, work: Millis) -> (u64, u32) {
        let started = server.started.unwrap_or(self.now);
        let (turn, begun) = cold::turn(&self.settings, self.now - started);
        let whole = self.born.is_some_and(|born| born <= started + begun);
        let work = work.max(self.mean_work);
        let room = || cold::requests(&self.settings, id, turn, self.warmth(server), work);
        (turn, if whole { room() } else { 0 })
    }

    /// Expected work of a request on an idle server of the fleet.
    pub(crate) fn work(&self, class: usize, units: f64) -> Millis {
        let (view, first) =
            (&self.classes[class], FIRST_WORK * self.settings.classes[class].latency_objective);
        let learned = view.unit_work * units;
        let guess = (FIRST_ANSWERS * first + view.answers * learned) / (FIRST_ANSWERS + view.answers);
        guess.min(if view.answers > 0.0 { learned } else { guess })
    }

    /// Requests thought to be on a server. Until it tells, all gateways are taken to send alike.
    pub(crate) fn crowd(&self, server: &Server, warmth: f64) -> f64 {
        let others = self.usual_out * f64::from(self.settings.gateways - 1);
        let unreported = warmth * others / self.subset.ready().max(1) as f64;
        let told = (-(self.now - server.reported_at) / (REPORT_LIFE * self.shortest_aim)).exp();
        let others = unreported + told * (server.others - unreported);
        server.out.len() as f64 + others
    }

    pub(crate) fn learn(&mut self, class: usize, units: f64, attempt: &Attempt, done: &AttemptResult) {
        let now = self.now;
        let work = self.work(class, units);
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        let view = &mut self.classes[class];
        let alone = done.elapsed / (1.0 + CROWDING * attempt.crowd);
        // Guards against queues that neither own attempts nor reports show, also if all servers slow at once.
        if matches!(done.outcome, Outcome::Success | Outcome::Timeout) {
            let waited = done.elapsed - work * server.pace;
            server.waited = (server.waited + WAITED_WEIGHT * (waited - server.waited)).max(0.0);
        }
        // The more a server held, the more of the time was waiting, and the less it tells.
        let learned = 1.0 / (1.0 + attempt.crowd);
        if done.outcome == Outcome::Success {
            view.answers += learned;
            let part = (learned / view.answers).max(WORK_WEIGHT * learned);
            view.unit_work += part * (alone / units - view.unit_work);
        }
        // Against what was learned: by the first guess all who have answered would look quick, or all slow.
        let pace = alone / if view.answers > 0.0 { view.unit_work * units } else { work };
        let weight = match done.outcome {
            Outcome::Success => learned,
            Outcome::Timeout if pace > server.pace => 1.0,
            _ => 0.0,
        };
        server.answers += weight;
        let part = (weight / (FIRST_ANSWERS + server.answers)).max(PACE_WEIGHT * weight);
        server.pace = (server.pace + part * (pace - server.pace)).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let failed = f64::from(u8::from(done.outcome != Outcome::Success));
        if matches!(done.outcome, Outcome::Success | Outcome::ConnectFailed | Outcome::Reset) {
            let (failing, at) = self.zones.entry(server.zone.clone()).or_insert((0.0, now));
            (*failing, *at) = (*failing + ZONE_WEIGHT * (failed - *failing), now);
            // One failure close behind another: the rotation goes back to those who answered of late.
            if *failing > ZONE_WEIGHT && !server.on_trial {
                self.subset.lap_ends = now;
            }
        }
        server.resting.retain(|until| now < *until);
        // Whatever else ended an attempt has closed its connection too.
        if !matches!(done.outcome, Outcome::Success | Outcome::Overloaded | Outcome::Error) {
            server.connections = server.connections.saturating_sub(1);
        } else if self.settings.connection_quarantine > 0.0 {
            server.resting.push_back(now + self.settings.connection_quarantine);
        }
        note_outcome(server, now, done.outcome, attempt.sent_at, self.shortest_aim);
        // Only a count is believed: busy processors are told as a mean over a time that has passed.
        if let Some(held) = done.load.in_flight.or(done.load.queued) {
            let others = (held - server.out.len() as f64).max(0.0);
            server.others += REPORT_WEIGHT * (others - server.others);
            server.reported_at = now;
        }
    }
}

/// Judges a server by an outcome: each kind of symptom ejects it for its own time, measured in shortest aims.
fn note_outcome(server: &mut Server, now: Millis, outcome: Outcome, sent_at: Millis, aim: Millis) {
    let mut block = 0.0;
    match outcome {
        Outcome::Success => (server.failures_in_row, server.on_trial) = (0, false),
        Outcome::Overloaded => block = BLOCK_FULL,
        // An attempt sent before the last good answer says nothing new.
        Outcome::Timeout | Outcome::Error if sent_at < server.answered_at => {}
        Outcome::Timeout | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
            server.failures_in_row += 1;
            // One connection that breaks is no sign of an end, which breaks all and takes no new one.
            server.on_trial |= outcome == Outcome::ConnectFailed || server.failures_in_row >= FAILURES;
            if server.on_trial {
                let doubled = 1u32 << server.failures_in_row.min(6).saturating_sub(1);
                block = (BLOCK_FIRST * f64::from(doubled)).min(BLOCK_LAST);
            }
        }
        // All servers alike send answers that can't be read, and turn away what a client got wrong.
        Outcome::InvalidResponse | Outcome::Cancelled | Outcome::NotSent => {}
    }
    if block > 0.0 {
        server.blocked_until = server.blocked_until.max(now + block * aim);
    }
    if matches!(outcome, Outcome::Success | Outcome::Overloaded | Outcome::Error | Outcome::InvalidResponse) {
        server.answered_at = now;
    }
}
