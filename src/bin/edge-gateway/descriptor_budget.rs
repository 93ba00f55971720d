//! How the node's file descriptors are divided between client connections, upstream connections and
//! everything else.

/// Part of a number, rounded down.
struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    const fn of(&self, total: usize) -> usize {
        total * self.numerator / self.denominator
    }
}

/// Part reserved for the listener, discovery, the runtime, standard streams and sockets that are being
/// closed.
const RESERVED_FRACTION: Fraction = Fraction { numerator: 1, denominator: 16 };
/// Least number reserved for them.
const MIN_RESERVED: usize = 16;
/// Part of the others that is for upstream connections. Clients get the rest: many of their connections are
/// idle.
const UPSTREAM_FRACTION: Fraction = Fraction { numerator: 2, denominator: 5 };
/// Part of the upstream connections that one rotation through the endpoints may pool: the rest is for
/// attempts beside it.
const POOLED_FRACTION: Fraction = Fraction { numerator: 3, denominator: 4 };

/// The number of descriptors for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Client connections.
    pub client: usize,
    /// Upstream connections, in use and pooled.
    pub upstream: usize,
    /// Pooled connections among them.
    pub pooled: usize,
}

impl DescriptorBudget {
    /// Divides so many descriptors; there must be at least
    /// [`MIN_DESCRIPTORS`](crate::configuration::MIN_DESCRIPTORS).
    pub fn new(max_descriptors: usize) -> Self {
        let reserved = RESERVED_FRACTION.of(max_descriptors).max(MIN_RESERVED);
        let available = max_descriptors - reserved;
        let upstream = UPSTREAM_FRACTION.of(available);
        Self { client: available - upstream, upstream, pooled: POOLED_FRACTION.of(upstream) }
    }
}
