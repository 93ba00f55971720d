//! The settings of a gateway.

pub mod validation;
