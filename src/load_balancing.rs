//! Load balancing over the endpoints of a fleet: slow start and subsetting.

pub mod feedback;
pub mod selection;
pub mod slow_start;
pub mod subset;
