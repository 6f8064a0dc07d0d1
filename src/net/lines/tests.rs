//! Tests the codec of the JSON lines, also with malformed and mutated input.

use super::*;
use crate::interface::{MILLISECOND, SECOND};

#[test]
fn incomplete_lines_are_not_decoded() {
    let text = "{\"verb\":\"FINISH\",\"tag\":\"9b1f03aa5c7e2d41\",\"opts\":{\"waited\":12},\"rc\":34}\nrest";
    let end = text.len() - "rest".len();
    for length in 0..end {
        assert_eq!(decode(&text.as_bytes()[..length]), Ok(None));
    }
    let (message, size) = decode(text.as_bytes()).unwrap().unwrap();
    assert_eq!(message.parse_tag(), Some(0x9b1f_03aa_5c7e_2d41));
    assert_eq!((message.result_code, size), (Some(34), end));
    assert_eq!(message.field_text("waited").as_deref(), Some("12"));
}

#[test]
fn release_reasons_and_load_reports_are_read_from_strings_and_numbers() {
    let decode_with = |opts: &str| {
        let text = format!("{{\"verb\":\"FINISH\",\"tag\":\"\",\"opts\":{opts}}}\n");
        decode(text.as_bytes()).unwrap().unwrap().0
    };
    let reason = |opts: &str| decode_with(opts).release_reason();
    assert_eq!(
        reason(r#"{"note":"acc","waited":"1200"}"#),
        EndReason::ProcessorCongested(1200 * MILLISECOND)
    );
    assert_eq!(reason(r#"{"note":"acc","waited":1e300}"#), EndReason::ProcessorCongested(1_000_000 * SECOND));
    assert_eq!(reason(r#"{"note":"racc"}"#), EndReason::CongestedBeyondTandem);
    assert_eq!(reason(r#"{"note":"odd"}"#), EndReason::Unknown);
    let report = decode_with(r#"{"load":"x0:12;x1:40;queue:3;x9:1;bad"}"#).load_report();
    assert_eq!(
        (report.free_circuits, report.group_size, report.waiting_messages),
        (Some(12.0), Some(40.0), Some(3.0))
    );
}

#[test]
fn malformed_and_overlong_lines_are_rejected() {
    assert!(decode(b"{]\n").is_err() && decode(b"7\n").is_err());
    assert!(decode(b"{\"verb\":\"FINISH\",\"tag\":\"\",\"rc\":300}\n").is_err());
    let unterminated = vec![b' '; MAX_MESSAGE_BYTES];
    assert!(decode(&unterminated).is_err() && decode(&unterminated[1..]) == Ok(None));
    for tag in ["", "9b1f", "+b1f03aa5c7e2d41", "9b1f03aa5c7e2d411"] {
        assert_eq!(Message { tag: tag.into(), ..Message::new("START", 1) }.parse_tag(), None);
    }
}

/// The line is twice as long as the text in it, since each line feed is escaped with two bytes.
#[test]
fn messages_that_exceed_the_size_limit_after_escaping_are_not_encoded() {
    let mut out = b"before".to_vec();
    let description = "\n".repeat(MAX_MESSAGE_BYTES / 2);
    let message = Message { session_description: Some(description), ..Message::new("START", 1) };
    assert!(!message.encode(&mut out));
    assert_eq!(out, b"before");
}

#[test]
fn mutated_lines_are_decoded_or_rejected_without_a_panic() {
    let mut encoded = Vec::new();
    let fields = [("note", "acc"), ("waited", "12"), ("load", "x0:12;x1:40;latency_ms:3.5")];
    let fields = fields.map(|(k, v)| (k.to_string(), Value::from(v))).into();
    let message = Message { fields, result_code: Some(34), ..Message::new("FINISH", 7) };
    assert!(message.encode(&mut encoded));
    let mut decoded = 0;
    let mut rejected = 0;
    crate::net::tests::for_each_mutation(&encoded, |bytes| match decode(bytes) {
        Ok(Some((message, size))) => {
            assert!(size <= bytes.len());
            let _ = (message.parse_tag(), message.release_reason(), message.load_report());
            decoded += 1;
        }
        Ok(None) => {}
        Err(_) => rejected += 1,
    });
    assert!(decoded > 1000 && rejected > 1000, "{decoded} decoded, {rejected} rejected");
}
