//! The settings object of a configuration, as the simulator's wire and a node's configuration file both
//! contain it, and what each part of the program takes from it.
//!
//! [`Settings`](crate::Settings) is what a [`Gateway`](crate::Gateway) acts on; this module is how it is
//! written down.

mod document;

pub use document::SettingsDocument;

use crate::interface::Millis;

/// Time for a connection to be established where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000.0;
/// The longest deadline that a request may name, in longest deadlines of all classes.
const MAX_DEADLINE_FACTOR: f64 = 2.0;

/// Why a settings object cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// A key is missing or malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The kind of discovery is unknown.
    #[error("unknown discovery '{0}'")]
    UnknownDiscovery(String),
    /// The effect of a class, or the scope of its keys, is unknown.
    #[error("classes: unknown effect '{effect}' with keyScope '{key_scope}'")]
    UnknownEffect {
        /// The effect.
        effect: String,
        /// The scope of keys.
        key_scope: String,
    },
}

/// The settings of connections to endpoints; no decision needs them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// A connection that is not established by then has failed.
    pub connect_timeout: Millis,
    /// Endpoints close a connection that has been idle for this long; `None` where that is not known.
    pub idle_timeout: Option<Millis>,
}

/// The settings of polls of discovery; no decision needs them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollSettings {
    /// Number of nodes that poll the same discovery; `None` where changes are pushed and polls are free.
    pub fleet_size: Option<u32>,
    /// A node that has not polled for this long counts as notified; `None` where the settings do not say.
    pub notified_after: Option<Millis>,
}

/// Limits on what a request may say of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Number of nodes, and so of those through which a customer's requests may come.
    pub nodes: u32,
    /// Most units of one request; infinite where the settings do not say.
    pub max_units: f64,
    /// Longest time that a client may say it waits: twice the longest deadline of all classes.
    pub max_deadline: Millis,
}

impl SettingsDocument {
    /// Parses a settings object.
    ///
    /// # Errors
    /// Names the key that is missing or malformed.
    pub fn parse(text: &str) -> Result<Self, ConfigurationError> {
        Ok(serde_json::from_str(text)?)
    }

    /// The settings of connections to endpoints.
    pub fn connection_settings(&self) -> ConnectionSettings {
        ConnectionSettings {
            connect_timeout: positive(self.permissions.connect_timeout).unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: positive(self.permissions.idle_timeout),
        }
    }

    /// The settings of polls of discovery.
    pub fn poll_settings(&self) -> PollSettings {
        PollSettings {
            fleet_size: (self.discovery == document::DISCOVERY_SUBSCRIBE).then_some(self.gateways),
            notified_after: positive(self.rules.poll_interval),
        }
    }

    /// The limits on what a request may say of itself.
    pub fn request_limits(&self) -> RequestLimits {
        let longest_deadline = self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        RequestLimits {
            nodes: self.gateways,
            max_units: if self.usage.max_units > 0.0 { self.usage.max_units } else { f64::INFINITY },
            max_deadline: MAX_DEADLINE_FACTOR * longest_deadline,
        }
    }
}

/// A time, unless it is 0 or not a usable number: then it is not known.
fn positive(time: Millis) -> Option<Millis> {
    Some(time).filter(|time| time.is_finite() && *time > 0.0)
}
