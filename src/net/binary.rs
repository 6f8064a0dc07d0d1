//! The binary messages that callers speak: pure and incremental.
//!
//! `length:2 type:1 call:8 parameters`, a parameter being `code:1 length:2 value`; all big-endian. The length
//! counts what follows it.

/// Most bytes of a message, its length included.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Types of message.
pub mod message_type {
    /// A set-up, with a description.
    pub const SET_UP: u8 = 1;
    /// Progress; it means nothing.
    pub const PROGRESS: u8 = 6;
    /// An answer, with a description.
    pub const ANSWER: u8 = 9;
    /// A refusal, a give-up or a release, with a cause.
    pub const RELEASE: u8 = 12;
    /// A release was heard.
    pub const RELEASE_COMPLETE: u8 = 16;
    /// A test.
    pub const HEALTH_CHECK: u8 = 52;
    /// The outcome of a test.
    pub const HEALTH_CHECK_RESULT: u8 = 53;
}

/// Codes of parameters.
pub mod parameter_code {
    /// The class of call.
    pub const CLASS: u8 = 180;
    /// How long the caller waits, in milliseconds.
    pub const TIME_LEFT: u8 = 182;
    /// Marks a caller's retry.
    pub const REDIAL: u8 = 186;
    /// The number called.
    pub const CALLED_NUMBER: u8 = 188;
    /// The figures of a set-up.
    pub const ROUTING: u8 = 190;
    /// For how long to stay away, in milliseconds.
    pub const BACK_OFF: u8 = 192;
    /// The cause, one byte.
    pub const CAUSE: u8 = 208;
    /// The description.
    pub const SESSION_DESCRIPTION: u8 = 210;
}

/// A parameter of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// One of [`parameter_code`], or a code unknown here.
    pub code: u8,
    /// The bytes of its value.
    pub value: Vec<u8>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub message_type: u8,
    /// The call that it is about.
    pub call_reference: u64,
    /// Its parameters, in order.
    pub parameters: Vec<Parameter>,
}

impl Message {
    /// A message without parameters.
    pub fn new(message_type: u8, call_reference: u64) -> Self {
        Message { message_type, call_reference, parameters: vec![] }
    }

    /// The same with one more parameter.
    pub fn with_parameter(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push(Parameter { code, value: value.into() });
        self
    }

    /// The value of a parameter.
    pub fn parameter(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.code == code).map(|p| p.value.as_slice())
    }

    /// The value of a parameter that is text.
    pub fn text_parameter(&self, code: u8) -> Option<&str> {
        self.parameter(code).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Appends the message's bytes, or nothing if it is longer than a message may be.
    pub fn encode(&self, out: &mut Vec<u8>) -> bool {
        let length = 9 + self.parameters.iter().map(|p| 3 + p.value.len()).sum::<usize>();
        if length + 2 > MAX_MESSAGE_BYTES {
            return false;
        }
        out.extend_from_slice(&(length as u16).to_be_bytes());
        out.push(self.message_type);
        out.extend_from_slice(&self.call_reference.to_be_bytes());
        for Parameter { code, value } in &self.parameters {
            out.push(*code);
            out.extend_from_slice(&(value.len() as u16).to_be_bytes());
            out.extend_from_slice(value);
        }
        true
    }
}

/// Takes so many bytes off the front.
fn split<'a>(bytes: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    let (front, rest) = bytes.split_at_checked(n)?;
    *bytes = rest;
    Some(front)
}

fn number(bytes: &mut &[u8], n: usize) -> Option<u64> {
    Some(split(bytes, n)?.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
}

/// Reads the first message and how many bytes it takes; `None` if it has not come whole.
///
/// # Errors
/// What is wrong with it; nothing after it can be read.
pub fn decode(mut bytes: &[u8]) -> Result<Option<(Message, usize)>, &'static str> {
    let Some(length) = number(&mut bytes, 2).map(|n| n as usize) else { return Ok(None) };
    if !(9..=MAX_MESSAGE_BYTES - 2).contains(&length) {
        return Err("a length that no message has");
    }
    let Some(mut body) = split(&mut bytes, length) else { return Ok(None) };
    let short = "a parameter longer than its message";
    let message_type = number(&mut body, 1).ok_or(short)? as u8;
    let mut message = Message::new(message_type, number(&mut body, 8).ok_or(short)?);
    while !body.is_empty() {
        let code = number(&mut body, 1).ok_or(short)? as u8;
        let n = number(&mut body, 2).ok_or(short)? as usize;
        let value = split(&mut body, n).ok_or(short)?.to_vec();
        message.parameters.push(Parameter { code, value });
    }
    Ok(Some((message, length + 2)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_read_only_once_it_is_whole_and_survives_the_round_trip() {
        let message = Message::new(message_type::SET_UP, 0x9b1f_03aa_5c7e_2d41)
            .with_parameter(parameter_code::CLASS, "voice")
            .with_parameter(parameter_code::SESSION_DESCRIPTION, vec![0, 255, 13]);
        let mut bytes = Vec::new();
        assert!(message.encode(&mut bytes));
        for n in 0..bytes.len() {
            assert_eq!(decode(&bytes[..n]), Ok(None), "{n} bytes");
        }
        bytes.push(7);
        assert_eq!(decode(&bytes), Ok(Some((message, bytes.len() - 1))));
    }

    #[test]
    fn the_longest_message_passes_and_a_longer_one_does_not() {
        let mut bytes = Vec::new();
        assert!(
            Message::new(1, 2).with_parameter(210, vec![b'x'; MAX_MESSAGE_BYTES - 14]).encode(&mut bytes)
        );
        assert_eq!(bytes.len(), MAX_MESSAGE_BYTES);
        assert!(matches!(decode(&bytes), Ok(Some((_, MAX_MESSAGE_BYTES)))));
        assert!(
            !Message::new(1, 2).with_parameter(210, vec![b'x'; MAX_MESSAGE_BYTES - 13]).encode(&mut bytes)
        );
        assert_eq!(bytes.len(), MAX_MESSAGE_BYTES, "nothing was appended");
        assert!(decode(&[0x40, 0]).is_err());
    }

    #[test]
    fn malformed_messages_are_errors() {
        assert!(decode(&[0, 8]).is_err(), "too short for a call");
        let cut = [&[0, 12, 1][..], &[0; 8], &[180, 0, 1]].concat();
        assert!(decode(&cut).is_err(), "a parameter beyond the end");
        let stub = [&[0, 10, 1][..], &[0; 8], &[180]].concat();
        assert!(decode(&stub).is_err(), "a parameter without a length");
    }

    #[test]
    fn whatever_bytes_come_they_are_read_or_refused() {
        let mut whole = Vec::new();
        let message = Message::new(message_type::SET_UP, 7)
            .with_parameter(parameter_code::CLASS, "check")
            .with_parameter(parameter_code::CAUSE, [34]);
        assert!(message.encode(&mut whole));
        let (mut read, mut refused) = (0, 0);
        crate::net::for_each_mutation(&whole, |bytes| match decode(bytes) {
            Ok(Some((message, taken))) => {
                assert!(taken <= bytes.len());
                let mut again = Vec::new();
                assert!(message.encode(&mut again));
                assert_eq!(again, bytes[..taken]);
                read += 1;
            }
            Ok(None) => {}
            Err(_) => refused += 1,
        });
        assert!(read > 1000 && refused > 1000, "{read} read, {refused} refused");
    }
}
