//! wheatpier: the call gatekeeper of a mesh of carrier switches.
//!
//! [`control::Controller`] takes [`interface::Event`]s and answers with [`interface::Action`]s. It does no
//! I/O, reads no clock and shares nothing. [`call::CallControl`] is the call control round it, which knows no
//! protocol; [`net`] puts it on sockets, and [`wire`] puts the module on the simulator's wire instead.

pub mod call;
pub mod clock;
pub mod control;
pub mod interface;
pub mod net;
pub mod settings;
pub mod timers;
pub mod wire;

/// The README's example compiles.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct ReadmeExample;
