//! Encoder and incremental decoder of the JSON lines exchanged with carrier switches. Does no I/O.

use crate::call::Tag;
use crate::interface::{EndReason, LoadReport};
use crate::settings::set_report_value;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Maximum size of an encoded message, including its line feed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Ends each encoded message. It occurs nowhere else in one, since JSON text escapes it.
pub const TERMINATOR: u8 = b'\n';

/// A longer waiting time in a release is taken for this one.
const MAX_WAITED_MS: f64 = 1e9;

/// A message to or from a carrier switch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Message type: `START` (set-up), `STARTED` (answer), `FINISH` (release), `FINISHED` (acknowledgement of
    /// a release), `LOAD` (load report), `ECHO` (probe) or `ECHOED` (result of a probe). Any other type is
    /// ignored on receipt.
    pub verb: String,
    /// The tag of the call or the probe, as 16 hexadecimal digits.
    #[serde(default)]
    pub tag: String,
    /// Fields that depend on the message type.
    #[serde(default, rename = "opts")]
    pub fields: BTreeMap<String, Value>,
    /// Q.850 cause of a release; in `ECHO`, 0; in `ECHOED`, 1 if the probe passed.
    #[serde(default, rename = "rc", skip_serializing_if = "Option::is_none")]
    pub result_code: Option<u8>,
    /// Session description.
    #[serde(default, rename = "blob", skip_serializing_if = "Option::is_none")]
    pub session_description: Option<String>,
}

impl Message {
    /// Creates a message that carries nothing but its type and its tag.
    pub fn new(verb: &str, tag: Tag) -> Self {
        Message {
            verb: verb.to_string(),
            tag: format!("{tag:016x}"),
            fields: BTreeMap::new(),
            result_code: None,
            session_description: None,
        }
    }

    /// Parses the tag; `None` unless it is exactly 16 hexadecimal digits.
    pub fn parse_tag(&self) -> Option<Tag> {
        // from_str_radix alone would accept a leading plus sign.
        let is_valid = self.tag.len() == 16 && self.tag.bytes().all(|b| b.is_ascii_hexdigit());
        if is_valid { u64::from_str_radix(&self.tag, 16).ok() } else { None }
    }

    /// Returns the value of a field as text. Values are strings or numbers; other JSON types are ignored.
    pub fn field_text(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Parses the load report in the field `load`, such as `x0:12;x1:40;queue:3` for 12 free circuits in a
    /// group of 40 and 3 waiting messages. Entries that cannot be parsed are skipped.
    pub fn load_report(&self) -> LoadReport {
        let mut report = LoadReport::default();
        for entry in self.field_text("load").unwrap_or_default().split(';') {
            if let Some((name, value)) = entry.split_once(':')
                && let Ok(value) = value.trim().parse()
            {
                set_report_value(&mut report, name.trim(), value);
            }
        }
        report
    }

    /// Returns the reason that the switch gives for a release in the field `note`, with the waiting time in
    /// milliseconds in the field `waited`.
    pub fn release_reason(&self) -> EndReason {
        match self.field_text("note").as_deref() {
            Some("atb") => EndReason::NoCircuit,
            Some("rtb") => EndReason::RejectedByTandem,
            Some("racc") => EndReason::CongestedBeyondTandem,
            Some("sub") => EndReason::SubscriberBusy,
            Some("acc") => {
                let waited_ms = self.field_text("waited").and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0);
                // Values out of range are clamped; the cast turns NaN into 0.
                EndReason::ProcessorCongested((waited_ms.clamp(0.0, MAX_WAITED_MS) * 1000.0) as i64)
            }
            _ => EndReason::Unknown,
        }
    }

    /// Appends the encoded line to `out`. Returns false, and appends nothing, if the line would exceed
    /// [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self, out: &mut Vec<u8>) -> bool {
        let start = out.len();
        let serialized = serde_json::to_writer(&mut *out, self).is_ok();
        out.push(TERMINATOR);
        let fits = serialized && out.len() - start <= MAX_MESSAGE_BYTES;
        if !fits {
            out.truncate(start);
        }
        fits
    }
}

/// Returns the first line in `bytes`, without its line feed, and its size with the line feed; `None` if the
/// line is incomplete.
///
/// # Errors
/// The line, with its line feed, is longer than `max_bytes`.
pub fn first_line(bytes: &[u8], max_bytes: usize) -> Result<Option<(&[u8], usize)>, &'static str> {
    match bytes.iter().position(|b| *b == TERMINATOR) {
        Some(end) if end < max_bytes => Ok(bytes.get(..end).map(|line| (line, end + 1))),
        None if bytes.len() < max_bytes => Ok(None),
        _ => Err("a line that exceeds the size limit"),
    }
}

/// Decodes the first message in `bytes`. Returns it with its encoded size, or `None` if it is incomplete.
///
/// # Errors
/// Names what is malformed, in words that can follow "the switch sent".
pub fn decode(bytes: &[u8]) -> Result<Option<(Message, usize)>, &'static str> {
    match first_line(bytes, MAX_MESSAGE_BYTES)? {
        Some((line, size)) => {
            let message = serde_json::from_slice(line).map_err(|_| "a line that is not a valid message")?;
            Ok(Some((message, size)))
        }
        None => Ok(None),
    }
}
