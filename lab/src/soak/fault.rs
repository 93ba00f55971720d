//! The faults of endpoints, the network, discovery agents, nodes and clients that a run may inject.

mod inject;

use super::discovery::AgentFault;
use super::endpoint::EndpointFault;
use super::proxy::NetworkFault;
use fault_injection::{errno, InjectionPoint};
use std::time::Duration;

pub use inject::inject;

/// Maximum number of bytes of a transfer that is made short.
const SHORT_TRANSFER_BYTES: i32 = 9;

/// A disturbance that a run injects. "Some" are drawn at random: at least one, and at most a third of all if
/// there are three or more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Some endpoints respond with a fault.
    Endpoints(EndpointFault),
    /// The network in front of some endpoints has a fault.
    Network(NetworkFault),
    /// Some endpoints refuse connections, and their open ones are reset.
    EndpointsUnreachable,
    /// Some endpoints restart and go through slow start.
    EndpointsRestart,
    /// Some endpoints drain and are replaced by new ones.
    EndpointsReplaced,
    /// Some discovery agents respond with a fault.
    Agents(AgentFault),
    /// Some nodes are shut down and started again.
    NodesRestart,
    /// Some nodes are killed and started again.
    NodesKilled,
    /// Some nodes are switched to their other discovery agent, by one or several signals.
    NodesReload,
    /// Some nodes are paused for a moment.
    NodesPaused,
    /// System calls of some nodes fail at this point. The number is the errno value, or for a short transfer
    /// the maximum number of bytes.
    SystemCalls(InjectionPoint, i32),
    /// The wall clock of some nodes is set this many milliseconds ahead of the true time, or behind it if
    /// negative. It stays so until the next such fault.
    WallClock(i64),
    /// Connections that send nothing use up the file descriptors of some nodes.
    IdleConnections,
    /// Sequential clients often disconnect early.
    ClientsDisconnect,
    /// Sequential clients send requests at several times the usual rate.
    ClientsSurge,
    /// Sequential clients pause within each request.
    ClientsWriteSlowly,
}

/// All faults that may be drawn. Their order is part of the sequence of faults that a seed gives.
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
    Fault::SystemCalls(InjectionPoint::Receive, errno::EINTR),
    Fault::SystemCalls(InjectionPoint::Send, errno::EINTR),
    Fault::SystemCalls(InjectionPoint::ShortReceive, SHORT_TRANSFER_BYTES),
    Fault::SystemCalls(InjectionPoint::ShortSend, SHORT_TRANSFER_BYTES),
    Fault::SystemCalls(InjectionPoint::Accept, errno::ECONNABORTED),
    Fault::SystemCalls(InjectionPoint::Accept, errno::ENFILE),
    Fault::SystemCalls(InjectionPoint::Accept, errno::EINTR),
    Fault::SystemCalls(InjectionPoint::Socket, errno::ENFILE),
    Fault::SystemCalls(InjectionPoint::Socket, errno::ENOBUFS),
    Fault::SystemCalls(InjectionPoint::Connect, errno::EADDRNOTAVAIL),
    Fault::SystemCalls(InjectionPoint::Connect, errno::ENETUNREACH),
    Fault::SystemCalls(InjectionPoint::Connect, errno::ETIMEDOUT),
    Fault::SystemCalls(InjectionPoint::Connect, errno::EHOSTUNREACH),
    Fault::SystemCalls(InjectionPoint::Log, errno::ENOSPC),
    Fault::SystemCalls(InjectionPoint::Open, errno::ENFILE),
    Fault::SystemCalls(InjectionPoint::Read, errno::EIO),
    Fault::WallClock(3_600_000),
    Fault::WallClock(-3_600_000),
    Fault::WallClock(4_000),
    Fault::WallClock(-4_000),
    Fault::IdleConnections,
    Fault::ClientsDisconnect,
    Fault::ClientsSurge,
    Fault::ClientsWriteSlowly,
];
