//! The gatekeeper.
fn main() {}
