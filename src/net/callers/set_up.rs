//! Reads the set-ups of callers.

use crate::call::SetUp;
use crate::interface::{ExchangeNumber, MILLISECOND};
use crate::net::binary::{Message, parameter_code};

/// Longest called number that a set-up may have.
const MAX_CALLED_NUMBER_BYTES: usize = 64;
/// Largest absolute value of an integer among the routing attributes of a set-up. A set-up with a larger one
/// is invalid.
const MAX_ROUTING_INTEGER: f64 = 1e9;

/// Reads the parameters of a set-up. `None` if one is malformed, or if the called number, the class, the
/// caller's time-out or the routing attributes are missing.
pub(super) fn parse_set_up(message: &Message) -> Option<SetUp> {
    let called_number = message.text_parameter(parameter_code::CALLED_NUMBER)?;
    if called_number.is_empty()
        || called_number.len() > MAX_CALLED_NUMBER_BYTES
        || !called_number.bytes().all(|byte| byte.is_ascii_graphic())
    {
        return None;
    }
    let caller_timeout_ms: i64 = message.text_parameter(parameter_code::CALLER_TIMEOUT)?.parse().ok()?;
    let mut set_up = SetUp {
        tag: message.tag,
        class: message.text_parameter(parameter_code::CLASS)?.to_string(),
        called_number: called_number.to_string(),
        caller_timeout: caller_timeout_ms.saturating_mul(MILLISECOND),
        redial: message.text_parameter(parameter_code::REDIAL).is_some_and(|value| value != "0"),
        // Call control rejects a set-up without a destination.
        destination: -1,
        circuits: 1.0,
        via_exchange: -1,
        transit: false,
        session_description: None,
    };
    let attributes = message.text_parameter(parameter_code::ROUTING)?.split(';');
    for attribute in attributes.filter(|attribute| !attribute.is_empty()) {
        let (name, value) = attribute.split_once(':')?;
        // A value that is not a finite number makes the set-up invalid; it must not be taken for 0.
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite())?;
        let is_integer = value.fract() == 0.0 && value.abs() <= MAX_ROUTING_INTEGER;
        let integer = is_integer.then_some(value as ExchangeNumber);
        match name {
            "dest" => set_up.destination = integer?,
            "width" => set_up.circuits = value,
            "via" => set_up.via_exchange = integer?,
            "transit" => set_up.transit = integer? != 0,
            _ => {}
        }
    }
    if let Some(session_description) = message.parameter(parameter_code::SESSION_DESCRIPTION) {
        // The JSON lines of the switches' protocol hold text only: a description that is not UTF-8 could not
        // be passed on unchanged.
        set_up.session_description = Some(String::from_utf8(session_description.to_vec()).ok()?);
    }
    Some(set_up)
}
