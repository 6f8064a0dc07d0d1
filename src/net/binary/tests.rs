//! Tests the codec of the binary messages, also with malformed and mutated input.

use super::*;

/// Size of an encoded message with one parameter, without the value: the message's length, type and tag, and
/// the parameter's code and length.
const ONE_PARAMETER_OVERHEAD_BYTES: usize = 2 + 1 + 8 + 1 + 2;

#[test]
fn incomplete_messages_are_not_decoded_and_complete_ones_round_trip() {
    let message = Message::new(message_type::SET_UP, 0x9b1f_03aa_5c7e_2d41)
        .with_parameter(parameter_code::CLASS, "voice")
        .with_parameter(parameter_code::SESSION_DESCRIPTION, vec![0, 255, 13]);
    let mut bytes = Vec::new();
    assert!(message.encode(&mut bytes));
    for length in 0..bytes.len() {
        assert_eq!(decode(&bytes[..length]), Ok(None), "{length} bytes");
    }
    let first_byte_of_next_message = 7;
    bytes.push(first_byte_of_next_message);
    assert_eq!(decode(&bytes), Ok(Some((message, bytes.len() - 1))));
}

#[test]
fn messages_up_to_the_size_limit_are_accepted_and_larger_ones_are_not() {
    let message_with_value_size = |size: usize| {
        Message::new(message_type::SET_UP, 2)
            .with_parameter(parameter_code::SESSION_DESCRIPTION, vec![b'x'; size])
    };
    let largest_value_size = MAX_MESSAGE_BYTES - ONE_PARAMETER_OVERHEAD_BYTES;
    let mut bytes = Vec::new();
    let largest = message_with_value_size(largest_value_size);
    assert!(largest.encode(&mut bytes));
    assert_eq!(bytes.len(), MAX_MESSAGE_BYTES);
    assert!(matches!(decode(&bytes), Ok(Some((_, MAX_MESSAGE_BYTES)))));
    let oversized = message_with_value_size(largest_value_size + 1);
    assert!(!oversized.encode(&mut bytes));
    assert_eq!(bytes.len(), MAX_MESSAGE_BYTES, "nothing was appended");
    assert!(decode(&[0x40, 0]).is_err(), "16,384 bytes after the length field");
}

#[test]
fn malformed_messages_are_rejected() {
    assert!(decode(&[0, 8]).is_err(), "too short for the type and the tag");
    let overlong_value = [&[0, 12, 1][..], &[0; 8], &[180, 0, 1]].concat();
    assert!(decode(&overlong_value).is_err(), "a parameter value past the end of the message");
    let missing_length = [&[0, 10, 1][..], &[0; 8], &[180]].concat();
    assert!(decode(&missing_length).is_err(), "a parameter without a length");
}

#[test]
fn mutated_messages_are_decoded_or_rejected_without_a_panic() {
    let mut encoded = Vec::new();
    let message = Message::new(message_type::SET_UP, 7)
        .with_parameter(parameter_code::CLASS, "check")
        .with_parameter(parameter_code::CAUSE, [34]);
    assert!(message.encode(&mut encoded));
    let mut decoded = 0;
    let mut rejected = 0;
    crate::net::tests::for_each_mutation(&encoded, |bytes| match decode(bytes) {
        Ok(Some((message, size))) => {
            assert!(size <= bytes.len());
            let mut reencoded = Vec::new();
            assert!(message.encode(&mut reencoded));
            assert_eq!(reencoded, bytes[..size]);
            decoded += 1;
        }
        Ok(None) => {}
        Err(_) => rejected += 1,
    });
    assert!(decoded > 1000 && rejected > 1000, "{decoded} decoded, {rejected} rejected");
}
