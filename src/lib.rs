//! wheatpier: the decisions of a call control for a mesh of switches.
//!
//! [`control::Controller`] takes [`interface::Event`]s and answers with [`interface::Action`]s. It does no
//! I/O, reads no clock and shares nothing, so a call agent can embed it as it is. The README has an example.

pub mod control;
pub mod interface;
pub mod wire;

/// The README's example compiles.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct ReadmeExample;
