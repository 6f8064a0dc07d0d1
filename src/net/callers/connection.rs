//! A connection from a caller: what is known of its other end, and its input.

use crate::call::Tag;
use crate::interface::Micros;
use crate::net::binary::{self, Message, message_type};
use crate::net::link::{Connection, ReadStatus};

/// How far a connection is known to belong to a working caller, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TrustLevel {
    /// Nothing received on it shows a working caller.
    Unknown,
    /// A set-up that was accepted, or a health check, has been received on it.
    ValidMessage,
    /// A call that was set up on it has been answered.
    AnsweredCall,
}

/// What is known of the caller at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerState {
    /// It may send more.
    Connected,
    /// It has finished sending, and all of that has been read. The connection is closed once its set-ups have been
    /// answered or rejected and all output is sent.
    HalfClosed,
    /// It has closed the whole connection. What it sent before is still read for releases of answered calls.
    Left,
}

/// Whether it was checked that a caller that has finished sending is still there. It may have closed the whole
/// connection; its host then answers a progress message, which carries no information, with a reset.
pub(super) enum Presence {
    NotChecked,
    /// The progress message was sent, and there is more to read. The input waits in its buffer until this time.
    Awaited {
        until: Micros,
    },
    Checked,
}

/// A connection from a caller.
pub(super) struct CallerConnection {
    pub(super) connection: Connection,
    pub(super) state: CallerState,
    pub(super) presence: Presence,
    pub(super) trust: TrustLevel,
    /// When the last set-up that was accepted, health check or release was received, or the last answer was
    /// sent; before that, when the connection was accepted.
    pub(super) last_active_at: Micros,
    /// Since when the input buffer has held an incomplete message.
    pub(super) incomplete_since: Option<Micros>,
    /// Number of set-ups that were invalid or had a tag that was in use.
    pub(super) set_up_errors: u32,
}

impl CallerConnection {
    /// A connection on which nothing has been received yet.
    pub(super) fn new(connection: Connection, now: Micros) -> Self {
        CallerConnection {
            connection,
            state: CallerState::Connected,
            presence: Presence::NotChecked,
            trust: TrustLevel::Unknown,
            last_active_at: now,
            incomplete_since: None,
            set_up_errors: 0,
        }
    }

    /// Whether a call that was set up on it has been answered.
    pub(super) fn is_trusted(&self) -> bool {
        self.trust == TrustLevel::AnsweredCall
    }

    pub(super) fn is_connected(&self) -> bool {
        self.state == CallerState::Connected
    }

    /// Sends a progress message to a caller that has finished sending. Returns true if it has been found to have
    /// left by then.
    pub(super) fn check_presence(&mut self, tag: Tag) -> bool {
        self.presence = Presence::Checked;
        Message::new(message_type::PROGRESS, tag).encode(self.connection.output_buffer());
        // A failure is noticed right below, or with the next output.
        let _ = self.connection.flush();
        self.connection.has_failed()
    }

    /// Reads at most `max_bytes` into the input buffer.
    pub(super) fn read(&mut self, max_bytes: usize) -> ReadInput {
        let buffered_before = self.connection.input_buffer.len();
        let received = |connection: &Connection| connection.input_buffer.len() - buffered_before;
        let mut status = self.connection.read(max_bytes);
        let rest_bytes = max_bytes.saturating_sub(received(&self.connection));
        if status == ReadStatus::MorePossible && rest_bytes > 0 {
            // Shows whether the caller has finished sending.
            status = self.connection.read(rest_bytes);
        }
        ReadInput { status, bytes: received(&self.connection) }
    }

    /// Decodes the messages in the input buffer.
    pub(super) fn decode_input(&mut self, now: Micros) -> (Vec<Message>, Result<(), &'static str>) {
        let (messages, result) = self.connection.decode_messages(binary::decode);
        let has_incomplete_message = !self.connection.input_buffer.is_empty();
        self.incomplete_since = match self.incomplete_since {
            _ if !has_incomplete_message => None,
            Some(since) if messages.is_empty() => Some(since),
            // The time-out starts again after a complete message: what is left is the start of another one.
            _ => Some(now),
        };
        (messages, result)
    }

    /// The tag of the first message in the input buffer, if the caller has finished sending after that message and
    /// its presence has not been checked.
    pub(super) fn first_tag_before_end(&self, status: &ReadStatus) -> Option<Tag> {
        let is_checked = !matches!(self.presence, Presence::NotChecked);
        if is_checked || !self.is_connected() {
            return None;
        }
        let has_finished = match status {
            ReadStatus::EndOfStream => true,
            ReadStatus::WouldBlock | ReadStatus::Failed => false,
            ReadStatus::MorePossible => self.connection.peer_has_finished_sending(),
        };
        let first = if has_finished { binary::decode(&self.connection.input_buffer) } else { Ok(None) };
        first.ok().flatten().map(|(message, _)| message.tag)
    }
}

/// What was read of a caller at one time.
pub(super) struct ReadInput {
    pub(super) status: ReadStatus,
    pub(super) bytes: usize,
}
