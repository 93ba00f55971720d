//! The rules on what may be sent, repeated and refused, in one place. Decisions ask here when a server is
//! chosen; a node asks again just before the first byte of an attempt is written, when some of it may have
//! changed.

use crate::interface::{Class, Effect, KeyScope, Millis};
use std::fmt;

/// Kept before the end of a key's window, in milliseconds.
const WINDOW_MARGIN: Millis = 2.0;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No outcome yet.
    Out,
    /// It surely never ran.
    NeverRan,
    /// It ran, or may have, or may yet.
    MayHaveRun,
}

/// Why an attempt must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Denied {
    /// The client has its final answer or has left.
    NothingOwed,
    /// The server drains, is gone or is another by now.
    ServerLeft,
    /// No time is left.
    TimeUp,
    /// Another attempt is out, and two may not be.
    CopyOut,
    /// An earlier attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// An earlier attempt may have run, and this server does not share its keys.
    OtherGroup,
    /// An earlier attempt may have run, and its key is forgotten by now.
    WindowOver,
}

impl Denied {
    /// A word for it, for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Denied::NothingOwed => "nothing_owed",
            Denied::ServerLeft => "server_left",
            Denied::TimeUp => "time_up",
            Denied::CopyOut => "copy_out",
            Denied::MayHaveRun => "may_have_run",
            Denied::OtherGroup => "other_group",
            Denied::WindowOver => "window_over",
        }
    }
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The first attempt of a request that may have run, against a server that may be sent a further one.
#[derive(Clone, Copy, Debug)]
pub struct FirstRun {
    /// When it was sent.
    pub sent_at: Millis,
    /// Both servers stand in one zone.
    pub same_zone: bool,
    /// Both servers stand in one cell.
    pub same_cell: bool,
}

/// Whether a request of which an attempt may have run may run again at a server, beginning by a time.
///
/// # Errors
/// Why it may not.
pub fn may_repeat(class: &Class, first: FirstRun, begins_by: Millis) -> Result<(), Denied> {
    let scope = match class.effect {
        Effect::Safe => return Ok(()),
        Effect::Unsafe => return Err(Denied::MayHaveRun),
        Effect::Keyed(scope) => scope,
    };
    let same = match scope {
        KeyScope::All => true,
        KeyScope::Zone => first.same_zone,
        KeyScope::Cell => first.same_cell,
    };
    if !same {
        return Err(Denied::OtherGroup);
    }
    // The window counts from the first one's start.
    if begins_by >= first.sent_at + class.key_window - WINDOW_MARGIN {
        return Err(Denied::WindowOver);
    }
    Ok(())
}

/// Whether a client may be told that trying again is harmless; `never_ran` says that no attempt can have run.
pub fn may_refuse(effect: Effect, never_ran: bool) -> bool {
    never_ran || matches!(effect, Effect::Safe | Effect::Keyed(KeyScope::All))
}

/// All that decides whether an attempt may begin now.
#[derive(Clone, Debug)]
pub struct Beginning<'a> {
    /// The client waits and has no answer.
    pub owed: bool,
    /// The server that was chosen still serves, where it did.
    pub serves: bool,
    /// Time left for the attempt.
    pub left: Millis,
    /// The request's class.
    pub class: &'a Class,
    /// Two attempts may be out at once.
    pub copies: bool,
    /// The request's other attempts.
    pub others: &'a [AttemptState],
    /// The first of them that may have run.
    pub first: Option<FirstRun>,
    /// The time now.
    pub now: Millis,
}

/// Whether the first byte of an attempt may be written; gives the time to tell its server.
///
/// # Errors
/// Why it may not.
pub fn may_begin(beginning: &Beginning) -> Result<Millis, Denied> {
    if !beginning.owed {
        return Err(Denied::NothingOwed);
    }
    if !beginning.serves {
        return Err(Denied::ServerLeft);
    }
    if beginning.left <= 0.0 {
        return Err(Denied::TimeUp);
    }
    if !beginning.copies && beginning.others.contains(&AttemptState::Out) {
        return Err(Denied::CopyOut);
    }
    if let Some(first) = beginning.first {
        may_repeat(beginning.class, first, beginning.now)?;
    }
    Ok(beginning.left)
}

#[cfg(test)]
mod tests;
