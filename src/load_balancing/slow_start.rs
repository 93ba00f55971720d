//! Turns at a server that has just started, by which a whole fleet keeps it from being pushed over though no
//! gateway knows what the others send.

use crate::interface::{EndpointId, Millis, Settings};

/// Length of a turn, in windows: long enough for a gateway of a large fleet to have something to send in it.
const TURN: f64 = 0.5;
/// Part of the work that fells a server which is used: work varies, and any window touches three turns.
const SAFETY: f64 = 0.75;

/// The turn that is on at a server of this age, counted from its start, and the age at which it began. An age
/// below nothing is that of a server whose clock is ahead of the gateway's.
pub fn turn(settings: &Settings, age: Millis) -> (u64, Millis) {
    let length = TURN * settings.overload_window;
    let turn = (age / length).floor();
    (turn as i64 as u64, turn * length)
}

/// How many requests of this work this gateway may send in a turn, at this part of the capacity of a server
/// that serves one at a time. Gateways take the room by rank, from one that all draw alike.
pub fn requests(settings: &Settings, server: EndpointId, turn: u64, warmth: f64, work: Millis) -> u32 {
    let room = SAFETY * settings.overload_threshold * TURN * settings.overload_window;
    let gateways = f64::from(settings.gateways);
    let first = gateways * fastrand::Rng::with_seed(turn << 32 | u64::from(server)).f64();
    let place = (f64::from(settings.rank) + first) % gateways;
    ((room * warmth / work - place) / gateways).ceil().max(0.0) as u32
}
