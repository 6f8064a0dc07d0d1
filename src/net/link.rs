//! One TCP connection: its socket, its place in the loop and its buffers.

use super::Node;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Bytes read at a time; other connections have their turn in between.
const CHUNK: usize = 16 * 1024;

/// What a read came to.
#[derive(Debug, PartialEq)]
pub enum ReadStatus {
    /// There may be more to read.
    MorePossible,
    /// Nothing more for now.
    WouldBlock,
    /// The peer has finished sending.
    EndOfStream,
    /// The connection is broken.
    Failed,
}

/// A connection. The loop has a handle of the same socket only while it is registered:
/// [`Connection::close`] is the one place where both are given back.
pub struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// What has come and is not read yet.
    pub input_buffer: Vec<u8>,
    output: Vec<u8>,
    /// Most bytes that wait for a peer that does not read.
    most_unsent: usize,
}

impl Connection {
    /// Puts a socket into the loop. The callback runs when there is something to read or room to write.
    pub fn new(
        handle: &LoopHandle<'static, Node>, stream: TcpStream, most_unsent: usize,
        callback: impl Fn(&mut Node) + 'static,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        // Edge-triggered: the interests never change, and a peer that has finished sending wakes us once.
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, node| {
                callback(node);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Connection { stream, token, input_buffer: vec![], output: vec![], most_unsent })
    }

    /// Starts to connect; [`Connection::check_connected`] tells how that went.
    pub fn connect(
        handle: &LoopHandle<'static, Node>, to: SocketAddr, most_unsent: usize,
        callback: impl Fn(&mut Node) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&SockAddr::from(to)) {
            Err(e) if !in_progress(&e) => return Err(e),
            _ => {}
        }
        Connection::new(handle, socket.into(), most_unsent, callback)
    }

    /// Whether a connection that was being set up has come up.
    pub fn check_connected(&self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Reads what is there, a chunk at most.
    pub fn read(&mut self) -> ReadStatus {
        // What is kept of a message in parts is as long as its parts: many peers may leave theirs unfinished.
        let mut chunk = [0; CHUNK];
        let result = loop {
            match (&*self.stream).read(&mut chunk) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.input_buffer.extend_from_slice(chunk.get(..*result.as_ref().unwrap_or(&0)).unwrap_or_default());
        match result {
            Ok(0) => ReadStatus::EndOfStream,
            Ok(_) => ReadStatus::MorePossible,
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadStatus::WouldBlock,
            Err(_) => ReadStatus::Failed,
        }
    }

    /// The messages that have come whole, by a codec's `decode`; what has come of the next one stays.
    pub fn decode_messages<M>(
        &mut self, decode: impl Fn(&[u8]) -> DecodeResult<M>,
    ) -> (Vec<M>, Result<(), &'static str>) {
        let (mut messages, mut taken) = (Vec::new(), 0);
        let result = loop {
            match decode(self.input_buffer.get(taken..).unwrap_or_default()) {
                Ok(Some((message, n))) => {
                    messages.push(message);
                    taken += n;
                }
                Ok(None) => break Ok(()),
                Err(what) => break Err(what),
            }
        };
        self.input_buffer.drain(..taken);
        self.input_buffer.shrink_to_fit();
        (messages, result)
    }

    /// Where to append what is to be written; [`Connection::flush`] writes it.
    pub fn output_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Writes what the peer takes now.
    ///
    /// # Errors
    /// The connection is broken, or its peer reads too little.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut sent = 0;
        let result = loop {
            let rest = self.output.get(sent..).unwrap_or_default();
            if rest.is_empty() {
                break Ok(());
            }
            match (&*self.stream).write(rest) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        self.output.drain(..sent);
        if self.output.is_empty() {
            self.output = Vec::new();
        }
        if self.output.len() > self.most_unsent {
            return Err(io::Error::other("its peer does not read"));
        }
        result
    }

    /// Whether all is written.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// Ends the connection.
    pub fn close(self, handle: &LoopHandle<'static, Node>) {
        handle.remove(self.token);
    }
}

/// What a codec reads: the first message and its length, or `None` if it has not come whole.
pub type DecodeResult<M> = Result<Option<(M, usize)>, &'static str>;

fn in_progress(e: &io::Error) -> bool {
    // EINPROGRESS has no stable kind of its own.
    matches!(e.kind(), ErrorKind::WouldBlock) || e.raw_os_error() == Some(115)
}
