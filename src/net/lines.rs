//! The JSON lines that carrier switches speak: pure and incremental.

use crate::interface::{EndReason, LoadReport};
use crate::settings::set_report;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Most bytes of a message, its line feed included.
pub const MOST: usize = 16 * 1024;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its type.
    pub verb: String,
    /// The call that it is about, as 16 hex digits.
    #[serde(default)]
    pub tag: String,
    /// Its fields.
    #[serde(default)]
    pub opts: BTreeMap<String, Value>,
    /// The cause.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rc: Option<u8>,
    /// The description.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blob: Option<String>,
}

impl Message {
    /// A message about a call.
    pub fn new(verb: &str, call: u64) -> Self {
        let (tag, opts) = (format!("{call:016x}"), BTreeMap::new());
        Message { verb: verb.to_string(), tag, opts, rc: None, blob: None }
    }

    /// The call that it is about.
    pub fn call(&self) -> Option<u64> {
        let hex = self.tag.len() == 16 && self.tag.bytes().all(|b| b.is_ascii_hexdigit());
        if hex { u64::from_str_radix(&self.tag, 16).ok() } else { None }
    }

    /// A field's text; fields are strings or numbers.
    pub fn field(&self, name: &str) -> Option<String> {
        match self.opts.get(name)? {
            Value::String(s) => Some(s.clone()),
            Value::Number(n) => Some(n.to_string()),
            _ => None,
        }
    }

    /// The report that it carries, such as `x0:12;x1:40;queue:3`.
    pub fn report(&self) -> LoadReport {
        let mut report = LoadReport::default();
        for pair in self.field("load").unwrap_or_default().split(';') {
            if let Some((name, value)) = pair.split_once(':')
                && let Ok(value) = value.trim().parse()
            {
                set_report(&mut report, name.trim(), value);
            }
        }
        report
    }

    /// What the switch notes of a release.
    pub fn note(&self) -> EndReason {
        match self.field("note").as_deref() {
            Some("atb") => EndReason::NoCircuit,
            Some("rtb") => EndReason::RejectedByTandem,
            Some("racc") => EndReason::CongestedBeyondTandem,
            Some("sub") => EndReason::SubscriberBusy,
            Some("acc") => {
                let waited = self.field("waited").and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0);
                // Out-of-range floats saturate, and what is no number becomes 0.
                EndReason::ProcessorCongested((waited.clamp(0.0, 1e9) * 1000.0) as i64)
            }
            _ => EndReason::Unknown,
        }
    }

    /// Appends the message's line, or nothing if it is longer than a message may be.
    pub fn encode(&self, out: &mut Vec<u8>) -> bool {
        let start = out.len();
        let written = serde_json::to_writer(&mut *out, self).is_ok();
        out.push(b'\n');
        let fits = written && out.len() - start <= MOST;
        if !fits {
            out.truncate(start);
        }
        fits
    }
}

/// Takes the first line off `bytes`, without its line feed, and how many bytes it takes; `None` if it has not
/// come whole.
///
/// # Errors
/// The line is longer than `most`.
pub fn line(bytes: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, &'static str> {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) if end < most => Ok(bytes.get(..end).map(|line| (line, end + 1))),
        None if bytes.len() < most => Ok(None),
        _ => Err("a line longer than a message may be"),
    }
}

/// Reads the first message and how many bytes it takes; `None` if it has not come whole.
///
/// # Errors
/// What is wrong with it.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message, usize)>, &'static str> {
    match line(bytes, MOST)? {
        Some((line, taken)) => {
            let message = serde_json::from_slice(line).map_err(|_| "a line that holds no message")?;
            Ok(Some((message, taken)))
        }
        None => Ok(None),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_read_only_once_it_is_whole() {
        let text =
            "{\"verb\":\"FINISH\",\"tag\":\"9b1f03aa5c7e2d41\",\"opts\":{\"waited\":12},\"rc\":34}\nrest";
        let end = text.len() - 4;
        for n in 0..end {
            assert_eq!(decode(&text.as_bytes()[..n]), Ok(None));
        }
        let (message, taken) = decode(text.as_bytes()).unwrap().unwrap();
        assert_eq!((message.call(), message.rc, taken), (Some(0x9b1f_03aa_5c7e_2d41), Some(34), end));
        assert_eq!(message.field("waited").as_deref(), Some("12"));
    }

    #[test]
    fn notes_and_reports_are_read_from_strings_and_numbers() {
        let read = |opts: &str| {
            let text = format!("{{\"verb\":\"FINISH\",\"tag\":\"\",\"opts\":{opts}}}\n");
            decode(text.as_bytes()).unwrap().unwrap().0
        };
        assert_eq!(
            read(r#"{"note":"acc","waited":"1200"}"#).note(),
            EndReason::ProcessorCongested(1_200_000)
        );
        assert_eq!(
            read(r#"{"note":"acc","waited":1e300}"#).note(),
            EndReason::ProcessorCongested(1_000_000_000_000)
        );
        assert_eq!(read(r#"{"note":"racc"}"#).note(), EndReason::CongestedBeyondTandem);
        assert_eq!(read(r#"{"note":"odd"}"#).note(), EndReason::Unknown);
        let report = read(r#"{"load":"x0:12;x1:40;queue:3;x9:1;bad"}"#).report();
        assert_eq!(
            (report.free_circuits, report.group_size, report.waiting_messages),
            (Some(12.0), Some(40.0), Some(3.0))
        );
    }

    #[test]
    fn malformed_and_overlong_lines_are_errors() {
        assert!(decode(b"{]\n").is_err() && decode(b"7\n").is_err());
        assert!(decode(b"{\"verb\":\"FINISH\",\"tag\":\"\",\"rc\":300}\n").is_err());
        let long = vec![b' '; MOST];
        assert!(decode(&long).is_err() && decode(&long[1..]) == Ok(None));
        for tag in ["", "9b1f", "+b1f03aa5c7e2d41", "9b1f03aa5c7e2d411"] {
            assert_eq!(Message { tag: tag.into(), ..Message::new("START", 1) }.call(), None);
        }
    }

    #[test]
    fn a_message_that_grows_too_long_by_escaping_is_not_written() {
        let mut out = b"before".to_vec();
        let message = Message { blob: Some("\n".repeat(MOST / 2)), ..Message::new("START", 1) };
        assert!(!message.encode(&mut out));
        assert_eq!(out, b"before");
    }

    #[test]
    fn whatever_bytes_come_they_are_read_or_refused() {
        let mut whole = Vec::new();
        let opts = [("note", "acc"), ("waited", "12"), ("load", "x0:12;x1:40;latency_ms:3.5")];
        let opts = opts.map(|(k, v)| (k.to_string(), Value::from(v))).into();
        assert!(Message { opts, rc: Some(34), ..Message::new("FINISH", 7) }.encode(&mut whole));
        let (mut read, mut refused) = (0, 0);
        crate::net::mangled(&whole, |bytes| match decode(bytes) {
            Ok(Some((message, taken))) => {
                assert!(taken <= bytes.len());
                let _ = (message.call(), message.note(), message.report());
                read += 1;
            }
            Ok(None) => {}
            Err(_) => refused += 1,
        });
        assert!(read > 1000 && refused > 1000, "{read} read, {refused} refused");
    }
}
