//! Faults of endpoints, the network, discovery, nodes and clients, drawn so that several overlap.

mod inject;

use super::discovery::AgentFault;
use super::endpoint::EndpointFault;
use super::proxy::NetworkFault;
use fault_injection::{errno, Point};
use std::time::Duration;

pub use inject::inject;

/// Most bytes of a transfer that is made short.
const SHORT_TRANSFER_BYTES: i32 = 9;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Some endpoints respond with a fault.
    Endpoints(EndpointFault),
    /// The network before some endpoints is faulty.
    Network(NetworkFault),
    /// Some endpoints cannot be reached, and their connections are reset.
    EndpointsUnreachable,
    /// Some endpoints restart and are in slow start.
    EndpointsRestart,
    /// Some endpoints drain and are replaced by new ones.
    EndpointsReplaced,
    /// Some discovery agents respond with a fault.
    Agents(AgentFault),
    /// Some nodes are shut down and started again.
    NodesRestart,
    /// Some nodes are killed and started again.
    NodesKilled,
    /// Some nodes are moved to another agent, by one signal or several.
    NodesReload,
    /// Some nodes are paused.
    NodesPaused,
    /// System calls of some nodes fail at a point, with an error or as a short transfer of some bytes.
    SystemCalls(Point, i32),
    /// The wall clock of some nodes steps by so many milliseconds.
    WallClock(i64),
    /// Clients that send nothing take the descriptors of some nodes.
    IdleConnections,
    /// Clients disconnect early.
    ClientsDisconnect,
    /// Clients send requests at several times the rate.
    ClientsSurge,
    /// Clients write slowly.
    ClientsWriteSlowly,
}

/// All faults that may be drawn. Their order belongs to the sequence that a seed gives.
pub const FAULTS: &[Fault] = &[
    Fault::Endpoints(EndpointFault::Hang),
    Fault::Endpoints(EndpointFault::Fail),
    Fault::Endpoints(EndpointFault::InvalidResponse),
    Fault::Endpoints(EndpointFault::NoContentLength),
    Fault::Network(NetworkFault::ResetRequests),
    Fault::Network(NetworkFault::ResetResponses),
    Fault::Network(NetworkFault::TruncateResponses),
    Fault::Network(NetworkFault::Delay(Duration::from_millis(400))),
    Fault::Network(NetworkFault::BlackHole),
    Fault::Network(NetworkFault::CloseIdle(Duration::from_millis(40))),
    Fault::EndpointsUnreachable,
    Fault::EndpointsRestart,
    Fault::EndpointsReplaced,
    Fault::Agents(AgentFault::Silent),
    Fault::Agents(AgentFault::Slow(Duration::from_millis(300))),
    Fault::Agents(AgentFault::Slow(Duration::from_millis(700))),
    Fault::Agents(AgentFault::ResetWatches),
    Fault::Agents(AgentFault::Reject),
    Fault::NodesRestart,
    Fault::NodesKilled,
    Fault::NodesReload,
    Fault::NodesPaused,
    Fault::SystemCalls(Point::Receive, errno::EINTR),
    Fault::SystemCalls(Point::Send, errno::EINTR),
    Fault::SystemCalls(Point::ShortReceive, SHORT_TRANSFER_BYTES),
    Fault::SystemCalls(Point::ShortSend, SHORT_TRANSFER_BYTES),
    Fault::SystemCalls(Point::Accept, errno::ECONNABORTED),
    Fault::SystemCalls(Point::Accept, errno::ENFILE),
    Fault::SystemCalls(Point::Accept, errno::EINTR),
    Fault::SystemCalls(Point::Socket, errno::ENFILE),
    Fault::SystemCalls(Point::Socket, errno::ENOBUFS),
    Fault::SystemCalls(Point::Connect, errno::EADDRNOTAVAIL),
    Fault::SystemCalls(Point::Connect, errno::ENETUNREACH),
    Fault::SystemCalls(Point::Connect, errno::ETIMEDOUT),
    Fault::SystemCalls(Point::Connect, errno::EHOSTUNREACH),
    Fault::SystemCalls(Point::Log, errno::ENOSPC),
    Fault::SystemCalls(Point::Open, errno::ENFILE),
    Fault::SystemCalls(Point::Read, errno::EIO),
    Fault::WallClock(3_600_000),
    Fault::WallClock(-3_600_000),
    Fault::WallClock(4_000),
    Fault::WallClock(-4_000),
    Fault::IdleConnections,
    Fault::ClientsDisconnect,
    Fault::ClientsSurge,
    Fault::ClientsWriteSlowly,
];
