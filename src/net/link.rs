//! A TCP connection: its non-blocking socket, its registration with the event loop and its buffers.

use super::Gatekeeper;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, SockAddr, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum number of bytes per read, so that a busy connection does not keep the others waiting.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Linux error number of a non-blocking connect in progress.
const EINPROGRESS: i32 = 115;

/// The time-out of a poll that does not wait.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Outcome of [`Connection::read`].
#[derive(Debug, PartialEq)]
pub enum ReadStatus {
    /// Bytes were read, and more may be available.
    MorePossible,
    /// No more bytes are available for now.
    WouldBlock,
    /// The peer has finished sending.
    EndOfStream,
    /// The connection has failed.
    Failed,
}

/// A TCP connection that is registered with the event loop. The loop holds a second reference to the socket
/// for as long as the connection is registered; only [`Connection::close`] releases both.
pub struct Connection {
    stream: Rc<TcpStream>,
    registration: RegistrationToken,
    /// Bytes received and not yet decoded.
    pub input_buffer: Vec<u8>,
    output_buffer: Vec<u8>,
    /// The last byte that the socket has accepted.
    last_sent_byte: Option<u8>,
    /// The system has reported an error of the socket.
    has_failed: bool,
    /// Limit on the output buffer, for a peer that does not read.
    max_unsent_bytes: usize,
}

impl Connection {
    /// Registers a socket with the event loop. The callback runs when there is something to read or room to
    /// write.
    pub fn new(
        loop_handle: &LoopHandle<'static, Gatekeeper>, stream: TcpStream, max_unsent_bytes: usize,
        callback: impl Fn(&mut Gatekeeper) + 'static,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        // Edge-triggered, so that the registered interests never have to change and a peer that has finished
        // sending causes a single wake-up.
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let registration = loop_handle
            .insert_source(source, move |_, _, gatekeeper| {
                callback(gatekeeper);
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Connection {
            stream,
            registration,
            input_buffer: vec![],
            output_buffer: vec![],
            last_sent_byte: None,
            has_failed: false,
            max_unsent_bytes,
        })
    }

    /// Starts to connect without blocking; [`Connection::check_connected`] gives the result.
    pub fn connect(
        loop_handle: &LoopHandle<'static, Gatekeeper>, address: SocketAddr, max_unsent_bytes: usize,
        callback: impl Fn(&mut Gatekeeper) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&SockAddr::from(address)) {
            Err(error) if !is_in_progress(&error) => return Err(error),
            _ => {}
        }
        Connection::new(loop_handle, socket.into(), max_unsent_bytes, callback)
    }

    /// Returns true once the connection is established, and false while it is being established.
    ///
    /// # Errors
    /// The connection could not be established, or has failed since.
    pub fn check_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Returns true if the connection has failed, for example because the peer has reset it. There may be input
    /// all the same, which came before.
    pub fn has_failed(&mut self) -> bool {
        self.has_failed |= !matches!(self.stream.take_error(), Ok(None));
        self.has_failed
    }

    /// Returns true if the peer is known to have finished sending, also while there is input before that end.
    pub fn peer_has_finished_sending(&self) -> bool {
        let mut fds = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        // Where the system does not tell, the end is noticed when it is read.
        let is_known = poll(&mut fds, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0);
        is_known && fds.iter().any(|fd| fd.revents().contains(PollFlags::RDHUP))
    }

    /// Reads at most `max_bytes`, and no more than one chunk, of the bytes available and appends them to the
    /// input buffer.
    pub fn read(&mut self, max_bytes: usize) -> ReadStatus {
        // Read by way of the stack, so that the input buffer grows by the bytes received and not by a whole
        // chunk: many peers may leave a message incomplete at the same time.
        let mut chunk = [0; READ_CHUNK_BYTES];
        let (chunk, _) = chunk.split_at_mut(max_bytes.min(READ_CHUNK_BYTES));
        let result = loop {
            match (&*self.stream).read(chunk) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        let received = *result.as_ref().unwrap_or(&0);
        self.input_buffer.extend_from_slice(chunk.get(..received).unwrap_or_default());
        match result {
            Ok(0) => ReadStatus::EndOfStream,
            Ok(_) => ReadStatus::MorePossible,
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadStatus::WouldBlock,
            Err(_) => ReadStatus::Failed,
        }
    }

    /// Decodes the complete messages in the input buffer and removes them from it; an incomplete message
    /// stays. If malformed input follows them, returns the decoder's error as well.
    pub fn decode_messages<M>(
        &mut self, decode: impl Fn(&[u8]) -> DecodeResult<M>,
    ) -> (Vec<M>, Result<(), &'static str>) {
        let mut messages = Vec::new();
        let mut consumed = 0;
        let result = loop {
            match decode(self.input_buffer.get(consumed..).unwrap_or_default()) {
                Ok(Some((message, size))) => {
                    messages.push(message);
                    consumed += size;
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.input_buffer.drain(..consumed);
        self.input_buffer.shrink_to_fit();
        (messages, result)
    }

    /// Returns the buffer to which output is appended; [`Connection::flush`] sends it.
    pub fn output_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.output_buffer
    }

    /// Sends as much of the output buffer as the socket accepts without blocking.
    ///
    /// # Errors
    /// The connection has failed, or more bytes remain unsent than the limit allows.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut sent = 0;
        let result = loop {
            let unsent = self.output_buffer.get(sent..).unwrap_or_default();
            if unsent.is_empty() {
                break Ok(());
            }
            match (&*self.stream).write(unsent) {
                Ok(written) => sent += written,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.last_sent_byte = self.output_buffer.drain(..sent).next_back().or(self.last_sent_byte);
        if self.output_buffer.is_empty() {
            self.output_buffer = Vec::new();
        }
        self.has_failed |= result.is_err();
        if self.output_buffer.len() > self.max_unsent_bytes {
            return Err(io::Error::other(format!(
                "{} unsent bytes exceed the limit of {}: the peer does not read",
                self.output_buffer.len(),
                self.max_unsent_bytes
            )));
        }
        result
    }

    /// Drops the output that has not been sent.
    pub fn discard_output(&mut self) {
        self.output_buffer = Vec::new();
    }

    /// Removes the messages of which nothing has been sent from the output buffer and returns them. The rest of
    /// a message that was sent in part stays in the buffer. Each message ends with `terminator`, which occurs
    /// nowhere else in it.
    pub fn take_unsent_messages(&mut self, terminator: u8) -> Vec<u8> {
        let is_within_message = self.last_sent_byte.is_some_and(|byte| byte != terminator);
        let end_of_message = self.output_buffer.iter().position(|byte| *byte == terminator);
        let rest_bytes = match end_of_message {
            Some(end) if is_within_message => end + 1,
            _ => 0,
        };
        self.output_buffer.split_off(rest_bytes)
    }

    /// The bytes in both buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.input_buffer.len() + self.output_buffer.len()
    }

    /// Returns true if no output is waiting to be sent.
    pub fn is_flushed(&self) -> bool {
        self.output_buffer.is_empty()
    }

    /// Closes the connection like [`Connection::close`], with a reset: what the system holds of its output and
    /// has not delivered is discarded as well, so that it does not arrive later.
    pub fn abort(self, loop_handle: &LoopHandle<'static, Gatekeeper>) {
        // Without the option the socket is closed as usual.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        self.close(loop_handle);
    }

    /// Removes the connection from the event loop and closes its socket. Unsent output is discarded.
    pub fn close(self, loop_handle: &LoopHandle<'static, Gatekeeper>) {
        loop_handle.remove(self.registration);
    }
}

/// Result of decoding: the first message in the input with its encoded size, `None` if it is incomplete, or a
/// description of what is malformed.
pub type DecodeResult<M> = Result<Option<(M, usize)>, &'static str>;

fn is_in_progress(error: &io::Error) -> bool {
    // EINPROGRESS has no stable error kind.
    matches!(error.kind(), ErrorKind::WouldBlock) || error.raw_os_error() == Some(EINPROGRESS)
}
