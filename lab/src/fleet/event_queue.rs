//! The simulated clock and the queue of events, in order of time.

use super::simulated_endpoint::AttemptId;
use edge_gateway::{EndpointId, Millis, Outcome};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Resolution of the clock. Events of the same microsecond are taken in the order of scheduling.
const TICKS_PER_MILLISECOND: f64 = 1_000.0;

/// Something that happens at a scheduled time. `gateway` is a rank. An event with an incarnation is ignored
/// if the process that it was scheduled for has restarted.
pub enum ScheduledEvent {
    /// A client sends a request to a gateway.
    ClientRequest { gateway: u32 },
    /// A timer of a gateway fires.
    TimerFired { gateway: u32, incarnation: u32, token: u64 },
    /// An attempt arrives at its endpoint.
    AttemptArrived { attempt: AttemptId },
    /// An endpoint finishes the processing of an attempt.
    AttemptProcessed { attempt: AttemptId, endpoint_incarnation: u32 },
    /// A gateway learns the outcome of an attempt.
    AttemptFinished { attempt: AttemptId, outcome: Outcome },
    /// A gateway receives the changes of the endpoint list up to `version`.
    ChangesReceived { gateway: u32, incarnation: u32, version: usize },
    /// A gateway without a watch polls discovery.
    DiscoveryPolled { gateway: u32, incarnation: u32 },
    /// The process of an endpoint stops.
    EndpointStopped(EndpointId),
    /// The process of an endpoint starts.
    EndpointStarted(EndpointId),
    /// All gateways of one group restart.
    GatewaysRestarted { group: u32 },
    /// Discovery becomes unavailable, and all watches are lost.
    DiscoveryStopped,
    /// Discovery becomes available again.
    DiscoveryStarted,
}

/// Pending events, and the current time, which is that of the last event taken.
#[derive(Default)]
pub struct EventQueue {
    /// Time in ticks and sequence number of each event in `pending`.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, ScheduledEvent>,
    last_sequence_number: u64,
    now: Millis,
}

impl EventQueue {
    /// The current simulated time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Schedules an event. If `at` is in the past, it happens at the current time.
    pub fn schedule(&mut self, at: Millis, event: ScheduledEvent) {
        self.last_sequence_number += 1;
        let tick = (at.max(self.now) * TICKS_PER_MILLISECOND) as u64;
        self.order.push(Reverse((tick, self.last_sequence_number)));
        self.pending.insert(self.last_sequence_number, event);
    }

    /// Takes the next event and advances the clock to its time. Returns `None` if no event is pending.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        let Reverse((tick, sequence_number)) = self.order.pop()?;
        self.now = tick as f64 / TICKS_PER_MILLISECOND;
        self.pending.remove(&sequence_number)
    }
}
