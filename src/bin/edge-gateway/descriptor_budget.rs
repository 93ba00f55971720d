//! Divides the node's file descriptors between client connections, upstream connections and everything else.

/// A fraction of a whole number, rounded down.
struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    const fn of(&self, total: usize) -> usize {
        total * self.numerator / self.denominator
    }
}

/// Fraction of all descriptors that is reserved for the listener, discovery, the runtime, standard streams
/// and sockets that are being closed.
const RESERVED_FRACTION: Fraction = Fraction { numerator: 1, denominator: 16 };
/// Minimum number of reserved descriptors.
const MIN_RESERVED: usize = 16;
/// Fraction of the other descriptors that is for upstream connections. Client connections get the rest, which
/// is more because many of them are idle.
const UPSTREAM_FRACTION: Fraction = Fraction { numerator: 2, denominator: 5 };
/// Fraction of the upstream connections that may stay pooled: the gateway uses the endpoints of its subset in
/// rotation, and each use may leave an idle connection. The rest is for attempts at other endpoints.
const POOLED_FRACTION: Fraction = Fraction { numerator: 3, denominator: 4 };

/// The maximum number of connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Maximum number of client connections.
    pub client: usize,
    /// Maximum number of upstream connections, in use or idle.
    pub upstream: usize,
    /// Maximum number of upstream connections that may stay pooled in one rotation through the subset.
    pub pooled: usize,
}

impl DescriptorBudget {
    /// Divides `max_descriptors`, which must be at least
    /// [`MIN_DESCRIPTORS`](crate::configuration::MIN_DESCRIPTORS).
    pub fn new(max_descriptors: usize) -> Self {
        let reserved = RESERVED_FRACTION.of(max_descriptors).max(MIN_RESERVED);
        let available = max_descriptors - reserved;
        let upstream = UPSTREAM_FRACTION.of(available);
        Self { client: available - upstream, upstream, pooled: POOLED_FRACTION.of(upstream) }
    }

    /// Lowers the number of client connections to `max_client`, and of upstream connections to
    /// `max_upstream`.
    pub fn limited_to(self, max_client: usize, max_upstream: usize) -> Self {
        let upstream = self.upstream.min(max_upstream);
        let pooled = self.pooled.min(POOLED_FRACTION.of(upstream));
        Self { client: self.client.min(max_client), upstream, pooled }
    }
}
