//! The JSON settings object that a node's configuration file and the simulator's messages contain.
//!
//! [`SettingsDocument`] is the object as it is written. It is converted to the [`Settings`](crate::Settings)
//! of a [`Gateway`](crate::Gateway), and to the settings of connections, polls and request validation.

mod document;

pub use document::SettingsDocument;

use crate::interface::Millis;

/// Timeout for establishing a connection if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000.0;
/// Longest deadline that a request may specify, as a multiple of the longest deadline of all classes.
const MAX_DEADLINE_FACTOR: f64 = 2.0;

/// Why a settings object is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The text is not valid JSON, or a key is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The value of `discovery` is unknown.
    #[error("discovery: unknown value '{0}', expected 'automatic' or 'subscribe'")]
    UnknownDiscovery(String),
    /// The effect of a class is unknown, or it is `keyed` and the key scope is unknown.
    #[error(
        "class {class}: unknown effect '{effect}' with keyScope '{key_scope}', expected 'safe', 'unsafe', \
         or 'keyed' with 'all', 'zone' or 'cell'"
    )]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// Value of `effect`.
        effect: String,
        /// Value of `keyScope`; empty if the key is missing.
        key_scope: String,
    },
}

/// Settings of the connections to endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// Idle time after which endpoints close a connection; `None` if unknown.
    pub idle_timeout: Option<Millis>,
}

/// Settings of the polls of discovery, used by [`PollBackoff`](crate::PollBackoff).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollSettings {
    /// Number of nodes that share one discovery; `None` if calls to it are uncounted, as
    /// [`PollBackoff`](crate::PollBackoff) defines.
    pub fleet_size: Option<u32>,
    /// Time without a poll after which a node counts as notified of all changes, in the sense of
    /// [`PollBackoff`](crate::PollBackoff); `None` if the settings contain none.
    pub notified_after: Option<Millis>,
}

/// Limits on the values that a request may specify.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Number of nodes, which is also the largest gateway spread that a request may specify.
    pub nodes: u32,
    /// Maximum units of quota of a request; infinite if the settings contain no limit.
    pub max_units: f64,
    /// Longest time that a client may specify until its deadline: twice the longest deadline of all classes.
    pub max_deadline: Millis,
}

impl SettingsDocument {
    /// Parses a settings object from JSON.
    ///
    /// # Errors
    /// If the text is not valid JSON, or a key is missing or malformed.
    pub fn parse(text: &str) -> Result<Self, ConfigurationError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Returns the settings of the connections to endpoints.
    pub fn connection_settings(&self) -> ConnectionSettings {
        ConnectionSettings {
            connect_timeout: known_time(self.permissions.connect_timeout).unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: known_time(self.permissions.idle_timeout),
        }
    }

    /// Returns the settings of the polls of discovery.
    pub fn poll_settings(&self) -> PollSettings {
        PollSettings {
            fleet_size: (self.discovery == document::DISCOVERY_SUBSCRIBE).then_some(self.gateways),
            notified_after: known_time(self.rules.poll_interval),
        }
    }

    /// Returns the limits on the values that a request may specify.
    pub fn request_limits(&self) -> RequestLimits {
        let longest_deadline = self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        RequestLimits {
            nodes: self.gateways,
            max_units: if self.usage.max_units > 0.0 { self.usage.max_units } else { f64::INFINITY },
            max_deadline: MAX_DEADLINE_FACTOR * longest_deadline,
        }
    }
}

/// Returns the time if it is finite and positive; any other value means that it is unknown.
fn known_time(time: Millis) -> Option<Millis> {
    Some(time).filter(|time| time.is_finite() && *time > 0.0)
}
