//! Encoder and incremental decoder of the binary messages exchanged with callers. Does no I/O.
//!
//! Layout: `length:2 type:1 tag:8 parameters`, where each parameter is `code:1 length:2 value`.
//! All integers are big-endian. Each length counts the bytes that follow it.

use crate::call::Tag;

#[cfg(test)]
mod tests;

/// Maximum size of an encoded message, including its length field.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Size of a message's length field.
const LENGTH_FIELD_BYTES: usize = 2;
/// Size of the fields that every message has after its length: the type and the tag.
const FIXED_FIELDS_BYTES: usize = 9;
/// Size of a parameter's code and length.
const PARAMETER_HEADER_BYTES: usize = 3;

/// Message types.
pub mod message_type {
    /// Set-up of a call; carries a class, the caller's time-out, the called number and routing attributes.
    /// May carry a redial mark and a session description.
    pub const SET_UP: u8 = 1;
    /// Progress of a set-up; carries no information and is ignored on receipt.
    pub const PROGRESS: u8 = 6;
    /// Answer to a set-up; may carry a session description.
    pub const ANSWER: u8 = 9;
    /// Rejection of a set-up, or release of an unanswered or an answered call; carries a cause.
    pub const RELEASE: u8 = 12;
    /// Acknowledgement of a release.
    pub const RELEASE_COMPLETE: u8 = 16;
    /// Health check of the gatekeeper, sent by a caller.
    pub const HEALTH_CHECK: u8 = 52;
    /// Result of a health check; the cause parameter holds 1 (passed) or 0 (failed).
    pub const HEALTH_CHECK_RESULT: u8 = 53;
}

/// Parameter codes.
pub mod parameter_code {
    /// Class of call.
    pub const CLASS: u8 = 180;
    /// How long the caller waits for an answer, in milliseconds, as decimal text.
    pub const CALLER_TIMEOUT: u8 = 182;
    /// Marks a redial by the caller; the value `0` means that it is none.
    pub const REDIAL: u8 = 186;
    /// Number called.
    pub const CALLED_NUMBER: u8 = 188;
    /// Routing attributes of a set-up as text, such as `dest:1;width:2` for two circuits to exchange 1.
    pub const ROUTING: u8 = 190;
    /// Back-off that the caller is asked to keep, in milliseconds, as decimal text.
    pub const BACK_OFF: u8 = 192;
    /// Q.850 cause, one byte; in a health check result, 1 or 0.
    pub const CAUSE: u8 = 208;
    /// Session description.
    pub const SESSION_DESCRIPTION: u8 = 210;
}

/// A parameter of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// One of [`parameter_code`], or any other code that was received.
    pub code: u8,
    /// Undecoded value.
    pub value: Vec<u8>,
}

/// A message to or from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// One of [`message_type`], or any other type that was received.
    pub message_type: u8,
    /// The tag of the call or, in a health check, of the check.
    pub tag: Tag,
    /// Parameters in the order of the message.
    pub parameters: Vec<Parameter>,
}

impl Message {
    /// Creates a message without parameters.
    pub fn new(message_type: u8, tag: Tag) -> Self {
        Message { message_type, tag, parameters: vec![] }
    }

    /// Appends a parameter.
    pub fn with_parameter(mut self, code: u8, value: impl Into<Vec<u8>>) -> Self {
        self.parameters.push(Parameter { code, value: value.into() });
        self
    }

    /// Returns the value of the first parameter with this code.
    pub fn parameter(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.code == code).map(|p| p.value.as_slice())
    }

    /// Returns the value of the first parameter with this code, if it is UTF-8 text.
    pub fn text_parameter(&self, code: u8) -> Option<&str> {
        self.parameter(code).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Appends the encoded message to `out`. Returns false, and appends nothing, if the message would exceed
    /// [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self, out: &mut Vec<u8>) -> bool {
        let length = FIXED_FIELDS_BYTES
            + self.parameters.iter().map(|p| PARAMETER_HEADER_BYTES + p.value.len()).sum::<usize>();
        if length + LENGTH_FIELD_BYTES > MAX_MESSAGE_BYTES {
            return false;
        }
        out.extend_from_slice(&(length as u16).to_be_bytes());
        out.push(self.message_type);
        out.extend_from_slice(&self.tag.to_be_bytes());
        for Parameter { code, value } in &self.parameters {
            out.push(*code);
            out.extend_from_slice(&(value.len() as u16).to_be_bytes());
            out.extend_from_slice(value);
        }
        true
    }
}

/// Removes `count` bytes from the front of `bytes` and returns them; `None` if there are fewer.
fn take_bytes<'a>(bytes: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (front, rest) = bytes.split_at_checked(count)?;
    *bytes = rest;
    Some(front)
}

/// Removes a big-endian integer of `size` bytes from the front of `bytes`.
fn take_integer(bytes: &mut &[u8], size: usize) -> Option<u64> {
    Some(take_bytes(bytes, size)?.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
}

/// Decodes the first message in `bytes`. Returns it with its encoded size, or `None` if it is incomplete.
///
/// # Errors
/// Names what is malformed, in words that can follow "it sent"; nothing after it can be decoded.
pub fn decode(mut bytes: &[u8]) -> Result<Option<(Message, usize)>, &'static str> {
    let Some(length) = take_integer(&mut bytes, LENGTH_FIELD_BYTES).map(|length| length as usize) else {
        return Ok(None);
    };
    if !(FIXED_FIELDS_BYTES..=MAX_MESSAGE_BYTES - LENGTH_FIELD_BYTES).contains(&length) {
        return Err("a message length out of range");
    }
    let Some(mut body) = take_bytes(&mut bytes, length) else { return Ok(None) };
    let overrun = "a parameter that runs past the end of its message";
    let message_type = take_integer(&mut body, 1).ok_or(overrun)? as u8;
    let mut message = Message::new(message_type, take_integer(&mut body, 8).ok_or(overrun)?);
    while !body.is_empty() {
        let code = take_integer(&mut body, 1).ok_or(overrun)? as u8;
        let value_length = take_integer(&mut body, 2).ok_or(overrun)? as usize;
        let value = take_bytes(&mut body, value_length).ok_or(overrun)?.to_vec();
        message.parameters.push(Parameter { code, value });
    }
    Ok(Some((message, length + LENGTH_FIELD_BYTES)))
}
