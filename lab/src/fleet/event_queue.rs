//! The simulation's clock and its events in order of time.

use super::simulated_endpoint::AttemptId;
use edge_gateway::{EndpointId, Millis, Outcome};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Resolution of the clock: events are ordered by whole microseconds, and by their number within one.
const TICKS_PER_MILLISECOND: f64 = 1_000.0;

/// Something that happens at a time.
pub enum ScheduledEvent {
    /// A client sends a request to a gateway.
    ClientRequest { gateway: u32 },
    /// A timer of a gateway fires.
    TimerFired { gateway: u32, incarnation: u32, token: u64 },
    /// An attempt arrives at its endpoint.
    AttemptArrived { attempt: AttemptId },
    /// An endpoint has processed an attempt, if it has not restarted meanwhile.
    AttemptProcessed { attempt: AttemptId, endpoint_incarnation: u32 },
    /// A gateway learns the outcome of an attempt.
    AttemptFinished { attempt: AttemptId, outcome: Outcome },
    /// A gateway receives the changes of the endpoint list up to a version.
    ChangesReceived { gateway: u32, incarnation: u32, version: usize },
    /// A gateway without a watch polls discovery.
    DiscoveryPolled { gateway: u32, incarnation: u32 },
    /// An endpoint's process ends.
    EndpointStopped(EndpointId),
    /// An endpoint's process starts.
    EndpointStarted(EndpointId),
    /// One group of the gateways restarts.
    GatewaysRestarted { group: u32 },
    /// Discovery fails and all watches are lost.
    DiscoveryStopped,
    /// Discovery is available again.
    DiscoveryStarted,
}

/// Pending events, and the time of the last one taken.
#[derive(Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, ScheduledEvent>,
    last_sequence_number: u64,
    now: Millis,
}

impl EventQueue {
    /// The current time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Adds an event at a time; one in the past happens now.
    pub fn schedule(&mut self, at: Millis, event: ScheduledEvent) {
        self.last_sequence_number += 1;
        let tick = (at.max(self.now) * TICKS_PER_MILLISECOND) as u64;
        self.order.push(Reverse((tick, self.last_sequence_number)));
        self.pending.insert(self.last_sequence_number, event);
    }

    /// Advances the clock to the next event and takes it.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        let Reverse((tick, sequence_number)) = self.order.pop()?;
        self.now = tick as f64 / TICKS_PER_MILLISECOND;
        self.pending.remove(&sequence_number)
    }
}
