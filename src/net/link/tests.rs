//! Tests connections over sockets.

use super::*;
use std::net::TcpListener;

/// Guards against messages that are lost, or cut, when another connection takes over while the socket accepts
/// no more bytes.
#[test]
fn messages_are_taken_back_only_if_nothing_of_them_was_sent() {
    let event_loop: calloop::EventLoop<'static, Gatekeeper> = calloop::EventLoop::try_new().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let mut connection = Connection::new(&event_loop.handle(), stream, usize::MAX, |_| {}).unwrap();
    assert_eq!(connection.take_unsent_messages(b'\n'), b"");
    let lines: Vec<u8> = (0..2_000_000).flat_map(|number| format!("line {number}\n").into_bytes()).collect();
    connection.output_buffer().extend(&lines);
    connection.flush().unwrap();
    assert!(!connection.is_flushed(), "the socket accepts all of the output");
    let unsent = connection.take_unsent_messages(b'\n');
    assert!(unsent.starts_with(b"line ") && unsent.ends_with(b"\n"));
    let reader = std::thread::spawn(move || {
        let mut received = Vec::new();
        peer.read_to_end(&mut received).map(|_| received)
    });
    while !connection.is_flushed() {
        connection.flush().unwrap();
    }
    connection.close(&event_loop.handle());
    let received = reader.join().unwrap().unwrap();
    assert!([received, unsent].concat() == lines);
}
