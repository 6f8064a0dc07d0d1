//! Tests which connections of callers time out.

use super::*;
use crate::call::CallLimits;
use crate::net::pending_reads::PendingReads;
use crate::settings::{build_settings, flatten_json};

const NOW: Micros = 10 * SECOND;

fn call_control() -> CallControl {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    let (settings, names) = build_settings(&flatten_json(&config["settings"])).unwrap();
    let limits = CallLimits {
        max_calls: 100,
        max_description_bytes: 10_000,
        max_caller_timeout: 9 * SECOND,
        circuits_by_class: vec![1.0],
    };
    CallControl::new(settings, names, limits, 7, NOW)
}

/// Guards against a time-out of a caller that has sent all it had to, while the gatekeeper reads others first.
#[test]
fn a_connection_whose_input_waits_to_be_read_does_not_time_out() {
    let event_loop: calloop::EventLoop<'static, Gatekeeper> = calloop::EventLoop::try_new().unwrap();
    let limits = BufferLimits { unsent_per_connection: 1000, total: 1000 };
    let any_port = "127.0.0.1:0".parse().unwrap();
    let mut callers = Callers::listen(event_loop.handle(), any_port, 8, limits, 8).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    for _ in 0..2 {
        callers.add_connection(NOW, TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    }
    let waiting = ConnectionId(1);
    let silent = ConnectionId(2);
    callers.connections.get_mut(&waiting).unwrap().incomplete_since = Some(NOW);
    let mut pending_reads = PendingReads::new(0);
    pending_reads.push(PendingRead::Caller(waiting));
    let later = NOW + RECEIVE_TIMEOUT;
    let timed_out = callers.timed_out_connections(later, &call_control(), &pending_reads);
    assert_eq!(timed_out, [(silent, "no valid message arrived in time")]);
    pending_reads.take();
    let timed_out = callers.timed_out_connections(later, &call_control(), &pending_reads);
    assert_eq!(timed_out.len(), 2);
}
