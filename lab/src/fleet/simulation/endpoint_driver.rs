//! Events of endpoints: arrival and processing of attempts, and stop and start of endpoint processes.

use super::{Scenario, Simulation, NETWORK_LATENCY};
use crate::deployment::{endpoint_update, CONNECT_TIMEOUT};
use crate::fleet::event_queue::ScheduledEvent;
use crate::fleet::simulated_endpoint::AttemptId;
use edge_gateway::{EndpointId, EndpointStatus, Outcome};

impl Simulation {
    pub(super) fn receive_attempt(&mut self, attempt: AttemptId) {
        let Some(id) = self.attempts.get(&attempt).map(|attempt| attempt.endpoint) else { return };
        let (now, service_time) = (self.now(), self.sizes.service_time_ms);
        let endpoint = self.endpoint(id);
        if !endpoint.running {
            return self.fail_connect(attempt);
        }
        endpoint.count_attempt(now, service_time);
        if let Some(attempt) = endpoint.accept(attempt) {
            self.process_attempt(id, attempt);
        }
    }

    fn fail_connect(&mut self, attempt: AttemptId) {
        // A lost machine sends no reset, so the connection times out.
        let lost = self.scenario == Scenario::ZoneOutage;
        let delay = if lost { CONNECT_TIMEOUT } else { NETWORK_LATENCY };
        self.schedule_after(
            delay,
            ScheduledEvent::AttemptFinished { attempt, outcome: Outcome::ConnectFailed },
        );
    }

    fn process_attempt(&mut self, id: EndpointId, attempt: AttemptId) {
        let now = self.now();
        let endpoint = self.endpoint(id);
        let (endpoint_incarnation, capacity_factor) = (endpoint.incarnation, endpoint.capacity_factor(now));
        let service_time = self.draw_exponential(self.sizes.service_time_ms / capacity_factor);
        self.schedule_after(service_time, ScheduledEvent::AttemptProcessed { attempt, endpoint_incarnation });
    }

    pub(super) fn finish_processing(&mut self, attempt: AttemptId, endpoint_incarnation: u32) {
        let Some(id) = self.attempts.get(&attempt).map(|attempt| attempt.endpoint) else { return };
        if self.endpoint(id).incarnation != endpoint_incarnation {
            return;
        }
        let success = ScheduledEvent::AttemptFinished { attempt, outcome: Outcome::Success };
        self.schedule_after(NETWORK_LATENCY, success);
        if let Some(next) = self.endpoint(id).finish_one() {
            self.process_attempt(id, next);
        }
    }

    pub(super) fn stop_endpoint(&mut self, id: EndpointId) {
        if !self.endpoint(id).running {
            return;
        }
        self.endpoint(id).stop();
        // Connections to a lost machine are not reset; their attempts time out.
        if self.scenario != Scenario::ZoneOutage {
            self.reset_attempts(id);
        }
        self.publish_change(endpoint_update(id, self.sizes.zones, EndpointStatus::Removed, None));
    }

    fn reset_attempts(&mut self, endpoint: EndpointId) {
        let in_flight = self.attempts.iter().filter(|(_, a)| a.endpoint == endpoint && !a.finished);
        let mut in_flight: Vec<AttemptId> = in_flight.map(|(id, _)| *id).collect();
        // Iteration order of the map differs between runs.
        in_flight.sort_unstable();
        for attempt in in_flight {
            let reset = ScheduledEvent::AttemptFinished { attempt, outcome: Outcome::Reset };
            self.schedule_after(NETWORK_LATENCY, reset);
        }
    }

    pub(super) fn start_endpoint(&mut self, id: EndpointId) {
        if self.endpoint(id).running {
            return;
        }
        let now = self.now();
        self.endpoint(id).start(now);
        self.publish_change(endpoint_update(id, self.sizes.zones, EndpointStatus::Ready, Some(now)));
    }
}
