//! ivygate makes the decisions of a gateway that holds customers to their quotas before a shared
//! back end. It opens no connection and reads no clock: the caller feeds [`Event`]s to a [`Gateway`]
//! and carries out the [`Action`]s that come back.

pub mod attempt_policy;
mod configuration;
mod count_min_sketch;
mod endpoint_list;
mod gateway;
mod interface;
mod load_balancing;
mod state;
mod time;

pub use configuration::{Asking, Bounds, Links, Setup};
pub use count_min_sketch::CountMinSketch;
pub use endpoint_list::{
    Backoff, Listing, ListingReader, Target, TargetState, Unreadable, ANSWER, LAST, SOON_MOST, TOLD,
};
pub use gateway::Gateway;
pub use interface::*;
pub use time::millis;
