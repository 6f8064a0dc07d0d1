//! wheatpier: the call gatekeeper of a mesh of carrier switches.
//!
//! [`control::Controller`] makes the decisions: it takes [`interface::Event`]s and returns
//! [`interface::Action`]s. It does no I/O, reads no clock and shares no state. [`call::CallControl`] is the
//! protocol-independent call control around it, and [`net`] connects that to sockets. [`wire`] runs the
//! controller by itself, as the simulator's adapter.

pub mod call;
pub mod clock;
pub mod control;
pub mod fair_map;
pub mod interface;
pub mod net;
pub mod settings;
pub mod timers;
pub mod wire;

/// Compiles the example in the README as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct ReadmeExample;
