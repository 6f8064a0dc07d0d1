//! The simulator's wire: reads batches, keeps the instances apart, translates, flushes. It decides nothing.

use crate::control::Controller;
use crate::interface::{
    Action, AttemptEnd, CallId, EndReason, Event, Health, LoadReport, Micros, NewCall, Outcome, SwitchEntry,
    SwitchId, SwitchListUpdate,
};
use crate::settings::{self, Names, micros};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};

/// What was wrong with the input, in one line.
#[derive(Debug)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Self {
        Fault(format!("input or output failed: {e}"))
    }
}

type Res<T> = Result<T, Fault>;

/// The parts of one line, with the line's number for messages.
struct Parts<'a> {
    line: u64,
    name: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Parts<'a> {
    fn new(line: u64, text: &'a str) -> Self {
        let mut rest = text.split('\t');
        let name = rest.next().unwrap_or("");
        Parts { line, name, rest }
    }

    fn fault<T>(&self, field: &str, what: &str) -> Res<T> {
        Err(Fault(format!("line {}: {}: {field}: {what}", self.line, self.name)))
    }

    fn text(&mut self, field: &str) -> Res<&'a str> {
        match self.rest.next() {
            Some(t) => Ok(t),
            None => self.fault(field, "missing"),
        }
    }

    fn parse<T: std::str::FromStr>(&mut self, field: &str) -> Res<T> {
        let t = self.text(field)?;
        match t.parse() {
            Ok(v) => Ok(v),
            Err(_) => self.fault(field, "cannot be read"),
        }
    }

    fn maybe<T: std::str::FromStr>(&mut self, field: &str) -> Res<Option<T>> {
        match self.text(field)? {
            "-" | "" => Ok(None),
            t => match t.parse() {
                Ok(v) => Ok(Some(v)),
                Err(_) => self.fault(field, "cannot be read"),
            },
        }
    }

    fn seconds(&mut self, field: &str) -> Res<Micros> {
        let v: f64 = self.parse(field)?;
        if v.is_finite() && v.abs() < 1e12 { Ok(micros(v)) } else { self.fault(field, "is no time") }
    }

    fn flag(&mut self, field: &str) -> Res<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            _ => self.fault(field, "is neither 1 nor 0"),
        }
    }

    fn report(&mut self, field: &str) -> Res<LoadReport> {
        let mut report = LoadReport::default();
        let text = self.text(field)?;
        if text == "-" || text.is_empty() {
            return Ok(report);
        }
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once(':') else {
                return self.fault(field, "holds no name:value pair");
            };
            let Ok(v) = value.parse::<f64>() else {
                return self.fault(field, "holds a value that cannot be read");
            };
            settings::set_report(&mut report, name, v);
        }
        Ok(report)
    }
}

struct Instance {
    module: Controller,
    names: Names,
}

type Row = (SwitchEntry, String);

/// Reads batches from `input` until it ends and writes one reply to each.
///
/// # Errors
/// The first line that cannot be understood, named with its field; nothing of that batch's reply is written.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut lists: BTreeMap<u64, Vec<Row>> = BTreeMap::new();
    let mut line = 0;
    let mut text = String::new();
    let mut reply = String::new();
    let mut actions = Vec::new();
    loop {
        // The head of a batch; the end of input is only in order here.
        if !next(&mut input, &mut text, &mut line)? {
            return Ok(());
        }
        if text.is_empty() {
            continue;
        }
        let mut parts = Parts::new(line, &text);
        if parts.name != "MARK" {
            return parts.fault("name", "MARK expected");
        }
        let now = parts.seconds("clock")?;
        reply.clear();
        loop {
            if !next(&mut input, &mut text, &mut line)? {
                return Err(Fault(format!("line {line}: batch: cut short before COMMIT")));
            }
            let mut parts = Parts::new(line, &text);
            match parts.name {
                "COMMIT" => break,
                "LEDGER" => {
                    let number: u64 = parts.parse("ref")?;
                    let count: usize = parts.parse("nodesList")?;
                    let mut rows = Vec::new();
                    for _ in 0..count {
                        if !next(&mut input, &mut text, &mut line)? {
                            return Err(Fault(format!("line {line}: LEDGER: cut short before its last ROW")));
                        }
                        rows.push(row(&mut Parts::new(line, &text))?);
                    }
                    lists.insert(number, rows);
                }
                "CREATE" => {
                    let who: u64 = parts.parse("who")?;
                    let seed: u64 = parts.parse("salt")?;
                    let mut pairs = BTreeMap::new();
                    for pair in parts.rest.by_ref() {
                        if let Some((key, value)) = pair.split_once('=') {
                            pairs.insert(key.to_string(), value.to_string());
                        }
                    }
                    let (settings, names) =
                        settings::build(&pairs).map_err(|p| Fault(format!("line {line}: CREATE: {p}")))?;
                    actions.clear();
                    let module = Controller::new(settings, seed, now, &mut actions);
                    write_actions(&mut reply, who, &actions);
                    instances.insert(who, Instance { module, names });
                }
                "DETACH" => {
                    let who: u64 = parts.parse("who")?;
                    if instances.remove(&who).is_none() {
                        return parts.fault("who", "no such instance");
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
                    let who: u64 = parts.parse("who")?;
                    let Some(instance) = instances.get_mut(&who) else {
                        return parts.fault("who", "no such instance");
                    };
                    let event = event(&mut parts, &instance.names, &lists)?;
                    actions.clear();
                    instance.module.handle(now, event, &mut actions);
                    write_actions(&mut reply, who, &actions);
                }
                _ => return parts.fault("name", "unknown message"),
            }
        }
        reply.push_str("READY\n");
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
}

/// The next line without its end, or false at the end of input.
fn next(input: &mut impl BufRead, text: &mut String, line: &mut u64) -> Res<bool> {
    text.clear();
    *line += 1;
    let mut bytes = Vec::new();
    if input.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(false);
    }
    match String::from_utf8(bytes) {
        Ok(t) => text.push_str(t.trim_end_matches(['\n', '\r'])),
        Err(_) => return Err(Fault(format!("line {line}: text: is not UTF-8"))),
    }
    Ok(true)
}

fn row(parts: &mut Parts) -> Res<Row> {
    if parts.name != "ROW" {
        return parts.fault("name", "ROW expected");
    }
    let switch = SwitchId(parts.parse("exchange")?);
    let zone = parts.text("rackZone")?.to_string();
    parts.text("classOfHost")?;
    let exchange_number = parts.parse("pointCode")?;
    let health = match parts.text("health")? {
        "in_service" => Health::InService,
        "terminating" => Health::Draining,
        "terminated" => Health::Gone,
        _ => return parts.fault("health", "unknown word"),
    };
    parts.maybe::<f64>("capacityHint")?;
    let up: Option<f64> = parts.maybe("cameUpS")?;
    let up_since = up.filter(|s| *s > 0.0).map(micros);
    Ok((SwitchEntry { switch, zone: 0, exchange_number, health, up_since }, zone))
}

/// The place of a name among those of the settings; `-`, 0 and nothing are 'none'.
fn index(parts: &mut Parts, field: &str, names: &[String]) -> Res<Option<usize>> {
    match parts.text(field)? {
        "-" | "" | "0" => Ok(None),
        name => match names.iter().position(|n| n == name) {
            Some(i) => Ok(Some(i)),
            None => parts.fault(field, "is not in the settings"),
        },
    }
}

fn event(parts: &mut Parts, names: &Names, lists: &BTreeMap<u64, Vec<Row>>) -> Res<Event> {
    Ok(match parts.name {
        "TOPOLOGY" => {
            let how = parts.text("how")?;
            parts.text("serial")?;
            if how == "X" {
                return Ok(Event::SwitchList(SwitchListUpdate::Failed));
            }
            let number: u64 = parts.parse("ref")?;
            let Some(rows) = lists.get(&number) else {
                return parts.fault("ref", "no such LEDGER");
            };
            let mut entries = Vec::with_capacity(rows.len());
            for (listed, zone) in rows {
                // A zone that the settings do not name is a zone of its own.
                let zone = names.zones.iter().position(|z| z == zone).unwrap_or(names.zones.len()) as u32;
                entries.push(SwitchEntry { zone, ..listed.clone() });
            }
            match how {
                "F" | "C" => Event::SwitchList(SwitchListUpdate::Full(entries)),
                "D" => Event::SwitchList(SwitchListUpdate::Changes(entries)),
                _ => return parts.fault("how", "unknown word"),
            }
        }
        "ORDER" => {
            let id = CallId(parts.parse("rid")?);
            let Some(class) = index(parts, "tierClass", &names.classes)? else {
                return parts.fault("tierClass", "missing");
            };
            let tenant = index(parts, "tenant", &names.tenants)?;
            let called_number = parts.text("object")?.to_string();
            let deadline = parts.seconds("giveUpAtS")?;
            parts.maybe::<f64>("sizeHintS")?;
            let destination = parts.parse::<f64>("farEnd")? as i64;
            let circuits: f64 = parts.parse("units")?;
            let via_exchange = parts.parse::<f64>("tandem")? as i64;
            let redial = parts.flag("againByClient")?;
            parts.flag("update")?;
            let transit = parts.flag("tandemCall")?;
            parts.flag("cameBack")?;
            Event::NewCall(NewCall {
                id,
                class,
                tenant,
                called_number,
                deadline,
                destination,
                circuits,
                via_exchange,
                redial,
                transit,
            })
        }
        "FIRST_BYTE" => {
            let call = CallId(parts.parse("rid")?);
            let attempt = parts.parse("sendNo")?;
            parts.parse::<u64>("exchange")?;
            Event::Established { call, attempt, set_up_time: parts.seconds("waitTimeS")? }
        }
        "COMPLETED" => {
            let call = CallId(parts.parse("rid")?);
            let attempt = parts.parse("sendNo")?;
            let switch = SwitchId(parts.parse("exchange")?);
            let outcome = outcome(parts, "outcome")?;
            parts.seconds("waitTimeS")?;
            let call_closed = parts.flag("closed")?;
            let code = parts.maybe::<f64>("clearCode")?.map_or(0, |c| c as i64);
            let reason = match code {
                1 => EndReason::NoCircuit,
                2 => EndReason::RejectedByTandem,
                18 => EndReason::CongestedBeyondTandem,
                4 => EndReason::SubscriberBusy,
                c if c > 0 && c & 15 == 3 => EndReason::ProcessorCongested((c >> 4) * 1000),
                _ => EndReason::Unknown,
            };
            let report = parts.report("stats")?;
            Event::AttemptEnded(AttemptEnd { call, attempt, switch, outcome, reason, call_closed, report })
        }
        "CANCELLED_BY_CLIENT" => Event::CallerGone(CallId(parts.parse("rid")?)),
        "DEADLINE_HIT" => Event::Timer(parts.parse("ref")?),
        "ECHO" => {
            let switch = SwitchId(parts.parse("exchange")?);
            let answered = outcome(parts, "outcome")? == Outcome::Completed;
            let round_trip = parts.seconds("waitTimeS")?;
            Event::SwitchStatus { switch, answered, round_trip, report: parts.report("stats")? }
        }
        "HEARD" => {
            let from = parts.parse("from")?;
            let data = match bytes(parts.text("contents")?) {
                Some(data) => data,
                None => return parts.fault("contents", "is not hex"),
            };
            Event::PeerMessage { from, data }
        }
        _ => return parts.fault("name", "unknown message"),
    })
}

fn outcome(parts: &mut Parts, field: &str) -> Res<Outcome> {
    Ok(match parts.parse::<i64>(field)? {
        0 => Outcome::Completed,
        5 => Outcome::Failed,
        11 => Outcome::Congested,
        110 => Outcome::TimedOut,
        111 => Outcome::Unreachable,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        _ => return parts.fault(field, "unknown code"),
    })
}

fn bytes(hex: &str) -> Option<Vec<u8>> {
    if hex == "-" {
        return Some(vec![]);
    }
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok()).collect()
}

fn write_actions(reply: &mut String, who: u64, actions: &[Action]) {
    let s = |t: Micros| t.max(0) as f64 / 1e6;
    for action in actions {
        // Writing to a String cannot fail.
        let _ = match action {
            Action::SendSetUp { call, switch, timeout } => {
                writeln!(reply, "HAND_OFF\t{who}\t{}\t{}\t{}", call.0, switch.0, s(*timeout))
            }
            Action::Reject { call, back_off } => {
                writeln!(reply, "REJECT\t{who}\t{}\t{}", call.0, s(*back_off))
            }
            Action::Fail(call) => writeln!(reply, "GIVE_UP\t{who}\t{}", call.0),
            Action::Cancel { call, attempt } => writeln!(reply, "CALL_OFF\t{who}\t{}\t{attempt}", call.0),
            Action::Probe(exchange) => writeln!(reply, "POLL\t{who}\t{}", exchange.0),
            Action::Subscribe => writeln!(reply, "STREAM_CHANGES\t{who}\t1"),
            Action::SetTimer { after, token } => writeln!(reply, "WAKE_AT\t{who}\t{}\t{token}", s(*after)),
            Action::Log(line) => writeln!(reply, "TRACE\t{who}\t{line}"),
        };
    }
}
