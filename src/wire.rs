//! The simulator's adapter: reads batches of tab-separated lines, passes their events to separate instances
//! of the controller and writes the actions that these return. It makes no decisions.
//!
//! A batch starts with a MARK line, which gives its time, and ends with COMMIT. The reply is one line per
//! action, followed by READY.

use crate::control::Controller;
use crate::interface::{
    Action, AttemptEnd, CallId, CallSource, EndReason, Event, Health, LoadReport, Micros, NewCall, Outcome,
    SwitchEntry, SwitchId, SwitchListUpdate,
};
use crate::settings::{self, IndexedNames, seconds_to_micros};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};

/// Times and durations in the input are below this in absolute value, so that they fit into [`Micros`].
const SECONDS_LIMIT: f64 = 1e12;

/// An error in the input or in reading or writing, described in one line.
#[derive(Debug)]
pub struct AdapterError(String);

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<io::Error> for AdapterError {
    fn from(error: io::Error) -> Self {
        AdapterError(format!("I/O error: {error}"))
    }
}

type AdapterResult<T> = Result<T, AdapterError>;

/// One input line: its name and the fields not yet read. The line number is for error messages.
struct Message<'a> {
    line_number: u64,
    name: &'a str,
    fields: std::str::Split<'a, char>,
}

impl<'a> Message<'a> {
    fn new(line_number: u64, line: &'a str) -> Self {
        let mut fields = line.split('\t');
        let name = fields.next().unwrap_or("");
        Message { line_number, name, fields }
    }

    fn error<T>(&self, field: &str, problem: &str) -> AdapterResult<T> {
        Err(AdapterError(format!("line {}: {}: {field}: {problem}", self.line_number, self.name)))
    }

    fn text(&mut self, field: &str) -> AdapterResult<&'a str> {
        match self.fields.next() {
            Some(text) => Ok(text),
            None => self.error(field, "missing"),
        }
    }

    fn parse<T: std::str::FromStr>(&mut self, field: &str) -> AdapterResult<T> {
        let text = self.text(field)?;
        match text.parse() {
            Ok(value) => Ok(value),
            Err(_) => self.error(field, "cannot be parsed"),
        }
    }

    /// Like `parse`; `-` and an empty field are `None`.
    fn parse_optional<T: std::str::FromStr>(&mut self, field: &str) -> AdapterResult<Option<T>> {
        match self.text(field)? {
            "-" | "" => Ok(None),
            text => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => self.error(field, "cannot be parsed"),
            },
        }
    }

    fn seconds(&mut self, field: &str) -> AdapterResult<Micros> {
        let seconds: f64 = self.parse(field)?;
        if seconds.is_finite() && seconds.abs() < SECONDS_LIMIT {
            Ok(seconds_to_micros(seconds))
        } else {
            let problem =
                format!("must be a number of seconds between -{SECONDS_LIMIT:e} and {SECONDS_LIMIT:e}");
            self.error(field, &problem)
        }
    }

    fn boolean(&mut self, field: &str) -> AdapterResult<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            _ => self.error(field, "must be 1, 0 or -"),
        }
    }

    /// A load report, such as `free:3,size:30`; `-` and an empty field are a report without values.
    fn load_report(&mut self, field: &str) -> AdapterResult<LoadReport> {
        let mut report = LoadReport::default();
        let text = self.text(field)?;
        if text == "-" || text.is_empty() {
            return Ok(report);
        }
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once(':') else {
                return self.error(field, "must be name:value pairs");
            };
            let Ok(value) = value.parse::<f64>() else {
                return self.error(field, "values must be numbers");
            };
            settings::set_report_value(&mut report, name, value);
        }
        Ok(report)
    }
}

struct Instance {
    controller: Controller,
    names: IndexedNames,
}

/// A row of a switch list. The zone is kept by name: its index depends on the settings of the instance that
/// the list is given to, so the `zone_index` of `entry` is set only then.
struct ListRow {
    entry: SwitchEntry,
    zone_name: String,
}

/// Reads batches from `input` until it ends and writes one reply to each.
///
/// # Errors
/// An I/O error, or the first invalid line, with its number and field; no part of the reply to that line's
/// batch is written.
pub fn run_adapter(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut switch_lists: BTreeMap<u64, Vec<ListRow>> = BTreeMap::new();
    let mut line_number = 0;
    let mut line = String::new();
    let mut reply = String::new();
    let mut actions = Vec::new();
    loop {
        // The input may end between batches only.
        if !read_line(&mut input, &mut line, &mut line_number)? {
            return Ok(());
        }
        if line.is_empty() {
            continue;
        }
        let mut message = Message::new(line_number, &line);
        if message.name != "MARK" {
            return message.error("name", "MARK expected");
        }
        let now = message.seconds("clock")?;
        reply.clear();
        loop {
            if !read_line(&mut input, &mut line, &mut line_number)? {
                return Err(AdapterError(format!("line {line_number}: batch: input ended before COMMIT")));
            }
            let mut message = Message::new(line_number, &line);
            match message.name {
                "COMMIT" => break,
                "LEDGER" => {
                    let list_ref: u64 = message.parse("ref")?;
                    let row_count: usize = message.parse("nodesList")?;
                    let mut rows = Vec::new();
                    for _ in 0..row_count {
                        if !read_line(&mut input, &mut line, &mut line_number)? {
                            return Err(AdapterError(format!(
                                "line {line_number}: LEDGER: input ended before the last ROW"
                            )));
                        }
                        rows.push(parse_row(&mut Message::new(line_number, &line))?);
                    }
                    switch_lists.insert(list_ref, rows);
                }
                "CREATE" => {
                    let instance_id: u64 = message.parse("who")?;
                    let seed: u64 = message.parse("salt")?;
                    let mut pairs = BTreeMap::new();
                    for pair in message.fields.by_ref() {
                        if let Some((key, value)) = pair.split_once('=') {
                            pairs.insert(key.to_string(), value.to_string());
                        }
                    }
                    let (settings, names) = settings::build_settings(&pairs)
                        .map_err(|error| AdapterError(format!("line {line_number}: CREATE: {error}")))?;
                    actions.clear();
                    let controller = Controller::new(settings, seed, now, &mut actions);
                    write_actions(&mut reply, instance_id, &actions);
                    instances.insert(instance_id, Instance { controller, names });
                }
                "DETACH" => {
                    let instance_id: u64 = message.parse("who")?;
                    if instances.remove(&instance_id).is_none() {
                        return message.error("who", "no such instance");
                    }
                }
                "ORDER"
                | "FIRST_BYTE"
                | "COMPLETED"
                | "CANCELLED_BY_CLIENT"
                | "DEADLINE_HIT"
                | "ECHO"
                | "HEARD"
                | "TOPOLOGY" => {
                    let instance_id: u64 = message.parse("who")?;
                    let Some(instance) = instances.get_mut(&instance_id) else {
                        return message.error("who", "no such instance");
                    };
                    let event = parse_event(&mut message, &instance.names, &switch_lists)?;
                    actions.clear();
                    instance.controller.handle(now, event, &mut actions);
                    write_actions(&mut reply, instance_id, &actions);
                }
                _ => return message.error("name", "unknown message"),
            }
        }
        reply.push_str("READY\n");
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
}

/// Reads the next line without its line ending and counts it; false at the end of input.
fn read_line(input: &mut impl BufRead, line: &mut String, line_number: &mut u64) -> AdapterResult<bool> {
    line.clear();
    *line_number += 1;
    let mut bytes = Vec::new();
    if input.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(false);
    }
    match String::from_utf8(bytes) {
        Ok(text) => line.push_str(text.trim_end_matches(['\n', '\r'])),
        Err(_) => return Err(AdapterError(format!("line {line_number}: not valid UTF-8"))),
    }
    Ok(true)
}

/// Parses a row of a switch list. Fields that the controller does not use are only checked.
fn parse_row(message: &mut Message) -> AdapterResult<ListRow> {
    if message.name != "ROW" {
        return message.error("name", "ROW expected");
    }
    let switch = SwitchId(message.parse("exchange")?);
    let zone_name = message.text("rackZone")?.to_string();
    message.text("classOfHost")?;
    let exchange_number = message.parse("pointCode")?;
    let health = match message.text("health")? {
        "in_service" => Health::InService,
        "terminating" => Health::Draining,
        "terminated" => Health::Gone,
        _ => return message.error("health", "unknown value"),
    };
    message.parse_optional::<f64>("capacityHint")?;
    let up_since_s: Option<f64> = message.parse_optional("cameUpS")?;
    let up_since = up_since_s.filter(|seconds| *seconds > 0.0).map(seconds_to_micros);
    Ok(ListRow { entry: SwitchEntry { switch, zone_index: 0, exchange_number, health, up_since }, zone_name })
}

/// Index in `names` of the name in a field; `-`, `0` and an empty field are `None`.
fn parse_name_index(message: &mut Message, field: &str, names: &[String]) -> AdapterResult<Option<usize>> {
    match message.text(field)? {
        "-" | "" | "0" => Ok(None),
        text => match names.iter().position(|name| name == text) {
            Some(index) => Ok(Some(index)),
            None => message.error(field, "is not in the settings"),
        },
    }
}

/// Parses the fields of an event. Those that the controller does not use are only checked.
fn parse_event(
    message: &mut Message, names: &IndexedNames, switch_lists: &BTreeMap<u64, Vec<ListRow>>,
) -> AdapterResult<Event> {
    Ok(match message.name {
        "TOPOLOGY" => {
            let how = message.text("how")?;
            message.text("serial")?;
            if how == "X" {
                return Ok(Event::SwitchList(SwitchListUpdate::Failed));
            }
            let list_ref: u64 = message.parse("ref")?;
            let Some(rows) = switch_lists.get(&list_ref) else {
                return message.error("ref", "no such LEDGER");
            };
            let mut entries = Vec::with_capacity(rows.len());
            for row in rows {
                // All zones that the settings do not name share the index after the last named one.
                let position = names.zones.iter().position(|zone| *zone == row.zone_name);
                let zone_index = position.unwrap_or(names.zones.len()) as u32;
                entries.push(SwitchEntry { zone_index, ..row.entry.clone() });
            }
            match how {
                "F" | "C" => Event::SwitchList(SwitchListUpdate::Full(entries)),
                "D" => Event::SwitchList(SwitchListUpdate::Changes(entries)),
                _ => return message.error("how", "unknown value"),
            }
        }
        "ORDER" => {
            let id = CallId(message.parse("rid")?);
            let Some(class_index) = parse_name_index(message, "tierClass", &names.classes)? else {
                return message.error("tierClass", "missing");
            };
            let tenant_index = parse_name_index(message, "tenant", &names.tenants)?;
            let called_number = message.text("object")?.to_string();
            let caller_deadline = message.seconds("giveUpAtS")?;
            message.parse_optional::<f64>("sizeHintS")?;
            let destination = message.parse::<f64>("farEnd")? as i64;
            let circuits: f64 = message.parse("units")?;
            let via_exchange = message.parse::<f64>("tandem")? as i64;
            let redial = message.boolean("againByClient")?;
            message.boolean("update")?;
            let transit = message.boolean("tandemCall")?;
            message.boolean("cameBack")?;
            Event::NewCall(NewCall {
                id,
                class_index,
                tenant_index,
                source: CallSource::SINGLE,
                called_number,
                caller_deadline,
                destination,
                circuits,
                via_exchange,
                redial,
                transit,
            })
        }
        "FIRST_BYTE" => {
            let call = CallId(message.parse("rid")?);
            let attempt_number = message.parse("sendNo")?;
            message.parse::<u64>("exchange")?;
            Event::CallAnswered { call, attempt_number, set_up_delay: message.seconds("waitTimeS")? }
        }
        "COMPLETED" => {
            let call = CallId(message.parse("rid")?);
            let attempt_number = message.parse("sendNo")?;
            let switch = SwitchId(message.parse("exchange")?);
            let outcome = parse_outcome(message, "outcome")?;
            message.seconds("waitTimeS")?;
            let call_closed = message.boolean("closed")?;
            let clear_code = message.parse_optional::<f64>("clearCode")?.map_or(0, |code| code as i64);
            let reason = match clear_code {
                1 => EndReason::NoCircuit,
                2 => EndReason::RejectedByTandem,
                18 => EndReason::CongestedBeyondTandem,
                4 => EndReason::SubscriberBusy,
                // 3 plus 16 times the wait in milliseconds.
                code if code > 0 && code & 15 == 3 => EndReason::ProcessorCongested((code >> 4) * 1000),
                _ => EndReason::Unknown,
            };
            let report = message.load_report("stats")?;
            Event::AttemptEnded(AttemptEnd {
                call,
                attempt_number,
                switch,
                outcome,
                reason,
                call_closed,
                report,
            })
        }
        "CANCELLED_BY_CLIENT" => Event::CallerGone(CallId(message.parse("rid")?)),
        "DEADLINE_HIT" => Event::Timer(message.parse("ref")?),
        "ECHO" => {
            let switch = SwitchId(message.parse("exchange")?);
            let answered = parse_outcome(message, "outcome")? == Outcome::Completed;
            let round_trip = message.seconds("waitTimeS")?;
            Event::SwitchStatus { switch, answered, round_trip, report: message.load_report("stats")? }
        }
        "HEARD" => {
            let from = message.parse("from")?;
            let data = match decode_hex(message.text("contents")?) {
                Some(data) => data,
                None => return message.error("contents", "must be an even number of hexadecimal digits"),
            };
            Event::PeerMessage { from, data }
        }
        _ => return message.error("name", "unknown message"),
    })
}

fn parse_outcome(message: &mut Message, field: &str) -> AdapterResult<Outcome> {
    Ok(match message.parse::<i64>(field)? {
        0 => Outcome::Completed,
        5 => Outcome::Failed,
        11 => Outcome::Congested,
        110 => Outcome::TimedOut,
        111 => Outcome::Unreachable,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        _ => return message.error(field, "unknown code"),
    })
}

/// Bytes of a hexadecimal text; `-` stands for no bytes.
fn decode_hex(hex: &str) -> Option<Vec<u8>> {
    if hex == "-" {
        return Some(vec![]);
    }
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    (0..hex.len()).step_by(2).map(|start| u8::from_str_radix(&hex[start..start + 2], 16).ok()).collect()
}

fn write_actions(reply: &mut String, instance_id: u64, actions: &[Action]) {
    let seconds = |micros: Micros| micros.max(0) as f64 / 1e6;
    for action in actions {
        // Writing to a String cannot fail.
        let _ = match action {
            Action::SendSetUp { call, switch, timeout } => {
                writeln!(reply, "HAND_OFF\t{instance_id}\t{}\t{}\t{}", call.0, switch.0, seconds(*timeout))
            }
            Action::Reject { call, back_off } => {
                writeln!(reply, "REJECT\t{instance_id}\t{}\t{}", call.0, seconds(*back_off))
            }
            Action::Fail(call) => writeln!(reply, "GIVE_UP\t{instance_id}\t{}", call.0),
            Action::Cancel { call, attempt_number } => {
                writeln!(reply, "CALL_OFF\t{instance_id}\t{}\t{attempt_number}", call.0)
            }
            Action::Probe(switch) => writeln!(reply, "POLL\t{instance_id}\t{}", switch.0),
            Action::Subscribe => writeln!(reply, "STREAM_CHANGES\t{instance_id}\t1"),
            Action::SetTimer { after, token } => {
                writeln!(reply, "WAKE_AT\t{instance_id}\t{}\t{token}", seconds(*after))
            }
            // The simulator's timers cannot be cancelled.
            Action::CancelTimer { .. } => Ok(()),
            Action::Log(line) => writeln!(reply, "TRACE\t{instance_id}\t{line}"),
        };
    }
}
