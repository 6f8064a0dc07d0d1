//! Runs the recorded exchanges in tests/exchanges/, one text file each, against the program over sockets.
//!
//! A line names a party, what the party does and, where it applies, the bytes or text. The callers are c1, c2
//! and so on, the carrier switches s1 and s2; `feed` is the control feed and `moved` its second listener. A
//! letter is added for a further connection to the same listener: s1b, s1c, feedb.
//!
//!     PARTY opens | accepts | closes | resets     its connection; callers open it, the others accept it
//!     PARTY refuses     closes its listener, so that connections to it are refused
//!     PARTY > BYTES     sends bytes       PARTY < BYTES     receives exactly these bytes
//!     PARTY < end       its connection has been closed
//!     PARTY has ended   its connection has been closed already: there is no wait for the end
//!     s1 answers COUNT  the caller c1 sends set-ups to exchange 1, each of which s1 answers at once
//!     PARTY floods COUNT BYTES   a caller sends these bytes COUNT times and reads one message in reply each
//!                       time; at most 100 are open. Eight bytes ee stand for a number that counts up, and so
//!                       do 16 characters # (as hex digits) and 6 characters % (its last decimal digits)
//!     PARTY writes COUNT BYTES   as for a flood, but no reply is read
//!     memory < MB       the program has never held more memory than this
//!     signal TERM       sends a signal; after STOP, the program has stopped
//!     exits 0           waits for the program to exit with this code
//!     log TEXT          waits for a line with this text in the program's log
//!     with A => B       on the first lines of a file: replaces A by B in the configuration
//!     config @moved     rewrites the configuration file with this address for the feed; any other text
//!                       replaces the whole file
//!
//! The bytes of a caller are hex digits and "text" (also "text"*N for N repeats); #( ) puts a length of two
//! bytes before what it contains. A caller's message is #(type tag parameters), a parameter is code #(value):
//!
//!     types     01 set-up  09 answer  0c release  10 release complete  34 health check  35 its result
//!     codes     b4 class  b6 time-out of the caller in ms  bc called number  be routing  c0 back-off in ms
//!               d0 cause, or 01 passed and 00 failed in the result of a health check  d2 session description
//!     causes    10 normal call clearing  29 temporary failure  2a congestion  64 invalid contents
//!
//! The other parties send and receive lines. A line that ends in \ is sent without a line break, * in a line
//! to be received matches any text, and @s1 is the address of s1. Lines that begin with // are comments.

use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Longest wait for the program. Only a program that hangs reaches it; no result depends on how fast the
/// program is.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Messages of a flood that are sent before their replies are read.
const FLOOD_WINDOW: u64 = 100;

/// In a message of a flood, what its number takes the place of.
const FLOOD_NUMBER_BYTES: [u8; 8] = [0xee; 8];
const FLOOD_NUMBER_DIGITS: [u8; 16] = [b'#'; 16];
const FLOOD_NUMBER_DECIMALS: [u8; 6] = [b'%'; 6];

/// What a set-up sent to a switch begins with, up to its tag.
const SET_UP_START: &str = "{\"verb\":\"START\",\"tag\":\"";

/// Longer lines of an exchange are printed only up to this length.
const MAX_PRINTED_BYTES: usize = 120;

fn read_exchange_file(name: &str) -> String {
    std::fs::read_to_string(format!("{}/tests/exchanges/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// A running program and the parties that talk to it.
struct Runner {
    program: Child,
    log_lines: Receiver<String>,
    config_path: PathBuf,
    /// Where the program listens for callers.
    caller_address: String,
    /// Listeners of the switches and the feed.
    listeners: BTreeMap<&'static str, TcpListener>,
    listener_addresses: BTreeMap<&'static str, String>,
    /// Open connections of the parties, by party.
    connections: BTreeMap<String, BufReader<TcpStream>>,
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Whether a text matches a pattern in which * stands for any text.
fn matches_pattern(text: &str, pattern: &str) -> bool {
    let Some((head, tail)) = pattern.split_once('*') else { return text == pattern };
    let Some(rest) = text.strip_prefix(head) else { return false };
    // A start within a character gives no suffix.
    let mut suffixes = (0..=rest.len()).filter_map(|start| rest.get(start..));
    suffixes.any(|suffix| matches_pattern(suffix, tail))
}

/// Replaces each `@name` by the address of the listener with that name.
fn substitute_addresses(text: &str, addresses: &BTreeMap<&str, String>) -> String {
    addresses
        .iter()
        .fold(text.to_string(), |text, (name, address)| text.replace(&format!("@{name}"), address))
}

/// Parses the notation of a caller's bytes up to its end or to a closing parenthesis, and removes it from
/// `text`.
fn parse_bytes(text: &mut &str) -> Vec<u8> {
    let mut out = Vec::new();
    loop {
        *text = text.trim_start();
        if let Some(rest) = text.strip_prefix("#(") {
            *text = rest;
            let inner = parse_bytes(text);
            out.extend((inner.len() as u16).to_be_bytes());
            out.extend(inner);
        } else if let Some(rest) = text.strip_prefix('"') {
            let (quoted, rest) = rest.split_once('"').expect("a closing quote");
            *text = rest;
            let mut repeats = 1;
            if let Some(rest) = rest.strip_prefix('*') {
                let digits_end = rest.find([' ', ')']).unwrap_or(rest.len());
                let (digits, rest) = rest.split_at(digits_end);
                *text = rest;
                repeats = digits.parse().expect("a number of repeats");
            }
            out.extend(quoted.repeat(repeats).into_bytes());
        } else if let Some(rest) = text.strip_prefix(')') {
            *text = rest;
            return out;
        } else if text.is_empty() {
            return out;
        } else {
            out.push(u8::from_str_radix(&text[..2], 16).expect("two hex digits"));
            *text = &text[2..];
        }
    }
}

/// Replaces all occurrences of `placeholder`; both have the same length.
fn replace_all(bytes: &mut [u8], placeholder: &[u8], replacement: &[u8]) {
    for start in 0..bytes.len() {
        if bytes[start..].starts_with(placeholder) {
            bytes[start..start + placeholder.len()].copy_from_slice(replacement);
        }
    }
}

/// Copies of a message, each with its number.
fn numbered_messages(template: &[u8], indices: std::ops::Range<u64>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in indices.map(|index| 0x00f1_00d0_0000_0000 + index) {
        let mut message = template.to_vec();
        replace_all(&mut message, &FLOOD_NUMBER_BYTES, &number.to_be_bytes());
        replace_all(&mut message, &FLOOD_NUMBER_DIGITS, format!("{number:016x}").as_bytes());
        let decimals = format!("{:06}", number % 1_000_000);
        replace_all(&mut message, &FLOOD_NUMBER_DECIMALS, decimals.as_bytes());
        bytes.extend(message);
    }
    bytes
}

impl Runner {
    /// Starts the program; `replacements` are texts in its configuration and the texts to put in their place.
    fn start<'a>(replacements: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let listeners: BTreeMap<_, _> = ["s1", "s2", "feed", "moved"]
            .map(|name| (name, TcpListener::bind("127.0.0.1:0").unwrap()))
            .into();
        let listener_addresses: BTreeMap<_, _> = listeners
            .iter()
            .map(|(name, listener)| (*name, listener.local_addr().unwrap().to_string()))
            .collect();
        for listener in listeners.values() {
            SockRef::from(listener).set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        }
        let file_name = format!("wheatpier-{}", listener_addresses["feed"].replace(':', "-"));
        let config_path = std::env::temp_dir().join(file_name);
        let config =
            replacements.into_iter().fold(read_exchange_file("config.json"), |config, (old, new)| {
                assert!(config.contains(old), "{old} is not in the configuration");
                config.replace(old, new)
            });
        std::fs::write(&config_path, substitute_addresses(&config, &listener_addresses)).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_wheatpier"))
            .args(["serve", "--config", config_path.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr_lines = BufReader::new(program.stderr.take().unwrap()).lines();
        let (sender, log_lines) = channel();
        // Passes the log lines on until the program ends or the runner is dropped.
        std::thread::spawn(move || stderr_lines.map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        let mut runner = Runner {
            program,
            log_lines,
            config_path,
            caller_address: String::new(),
            listeners,
            listener_addresses,
            connections: BTreeMap::new(),
        };
        let listening = runner.wait_for_log("listening on ");
        runner.caller_address = listening.rsplit(' ').next().unwrap().to_string();
        runner
    }

    /// Waits for a log line that contains `text` and returns it. Lines before it are discarded.
    fn wait_for_log(&mut self, text: &str) -> String {
        let deadline = Instant::now() + HANG_TIMEOUT;
        loop {
            let timeout = deadline.saturating_duration_since(Instant::now());
            let line = self.log_lines.recv_timeout(timeout);
            let line = line.unwrap_or_else(|_| panic!("no log line with {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Executes the lines of a file.
    fn execute_file(&mut self, name: &str) {
        for (index, line) in read_exchange_file(name).lines().map(str::trim).enumerate() {
            if !line.is_empty() && !line.starts_with("//") && !line.starts_with("with ") {
                println!("{name}:{}: {}", index + 1, line.get(..MAX_PRINTED_BYTES).unwrap_or(line));
                self.execute(line);
            }
        }
    }

    /// Executes a line of an exchange.
    fn execute(&mut self, line: &str) {
        let (party, rest) = line.split_once(' ').expect("a party and an action");
        let (action, argument) = rest.split_once(' ').unwrap_or((rest, ""));
        // Without the letter of a further connection.
        let listener_name = party.trim_end_matches(['b', 'c']);
        match (party, action) {
            ("signal", name) => {
                let kill_command = format!("kill -{name} {}", self.program.id());
                assert!(Command::new("sh").args(["-c", &kill_command]).status().unwrap().success());
                if name == "STOP" {
                    self.wait_until_stopped();
                }
            }
            ("exits", code) => assert_eq!(self.program.wait().unwrap().code(), code.parse().ok()),
            ("config", text) => {
                let config = if text.starts_with('@') {
                    let moved = read_exchange_file("config.json").replace("@feed", text);
                    substitute_addresses(&moved, &self.listener_addresses)
                } else {
                    text.to_string()
                };
                std::fs::write(&self.config_path, config).unwrap();
            }
            ("log", _) => drop(self.wait_for_log(rest)),
            (_, "opens" | "accepts") => {
                let stream = match action {
                    "opens" => TcpStream::connect(&self.caller_address).unwrap(),
                    _ => self.listeners[listener_name].accept().expect("an incoming connection").0,
                };
                stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
                self.connections.insert(party.to_string(), BufReader::new(stream));
            }
            (_, "closes") => drop(self.connections.remove(party).expect("an open connection")),
            (_, "resets") => {
                let stream = self.connections.remove(party).expect("an open connection");
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
            (_, "refuses") => drop(self.listeners.remove(listener_name).expect("a listener")),
            ("s1", "answers") => self.answer_calls(argument.parse().unwrap()),
            (_, "floods") => self.flood(party, argument),
            (_, "writes") => self.write_numbered(party, argument),
            ("memory", "<") => {
                let limit_mb: f64 = argument.trim_end_matches(" MB").parse().unwrap();
                let held_mb = self.most_memory_mb();
                println!("the program held at most {held_mb:.1} MB");
                assert!(held_mb < limit_mb, "the program held {held_mb:.1} MB");
            }
            (_, ">") => {
                let bytes = self.encode(party, argument);
                self.connections[party].get_ref().write_all(&bytes).unwrap();
            }
            (_, "<") if argument == "end" => match self.connection(party).read_until(b'\n', &mut vec![]) {
                Ok(0) => {}
                Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
                other => panic!("{other:?} instead of the end of the connection"),
            },
            (_, "has") if argument == "ended" => {
                let connection = self.connection(party);
                connection.get_ref().set_nonblocking(true).unwrap();
                match connection.read_to_end(&mut vec![]) {
                    Ok(_) => {}
                    Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
                    Err(error) => panic!("{error:?} instead of the end of the connection"),
                }
            }
            (_, "<") if party.starts_with('c') => {
                let expected = self.encode(party, argument);
                let mut received = vec![0; expected.len()];
                self.connection(party).read_exact(&mut received).unwrap();
                assert!(
                    received == expected,
                    "received {}",
                    String::from_utf8_lossy(&received).escape_debug()
                );
            }
            (_, "<") => {
                let mut received = String::new();
                self.connection(party).read_line(&mut received).unwrap();
                assert!(matches_pattern(received.trim_end(), argument), "received {received}");
            }
            _ => panic!("unknown action"),
        }
    }

    fn answer_calls(&mut self, count: u64) {
        for tag in (0..count).map(|index| format!("{:016x}", 0x00f0_0000 + index)) {
            self.execute(&format!(r#"c1 > #(01 {tag} b4#("check") b6#("9000") bc#("{tag}") be#("dest:1"))"#));
            self.execute(&format!(r#"s1 < {{"verb":"START","tag":"{tag}",*"#));
            self.execute(&format!(r#"s1 > {{"verb":"STARTED","tag":"{tag}"}}"#));
            self.execute(&format!("c1 < #(09 {tag})"));
        }
    }

    fn flood(&mut self, party: &str, argument: &str) {
        let (count, notation) = argument.split_once(' ').expect("a count and bytes");
        let count: u64 = count.parse().unwrap();
        let template = self.encode(party, notation);
        for window_start in (0..count).step_by(FLOOD_WINDOW as usize) {
            let window = window_start..count.min(window_start + FLOOD_WINDOW);
            let bytes = numbered_messages(&template, window.clone());
            let connection = self.connection(party);
            connection.get_ref().write_all(&bytes).unwrap();
            for _ in window {
                let mut length = [0; 2];
                connection.read_exact(&mut length).unwrap();
                connection.read_exact(&mut vec![0; u16::from_be_bytes(length).into()]).unwrap();
            }
        }
    }

    fn write_numbered(&mut self, party: &str, argument: &str) {
        let (count, notation) = argument.split_once(' ').expect("a count and bytes");
        let bytes = numbered_messages(&self.encode(party, notation), 0..count.parse().unwrap());
        self.connection(party).get_ref().write_all(&bytes).unwrap();
    }

    /// Waits until the program has been stopped by a signal.
    fn wait_until_stopped(&self) {
        let deadline = Instant::now() + HANG_TIMEOUT;
        let status_path = format!("/proc/{}/status", self.program.id());
        while !std::fs::read_to_string(&status_path).unwrap().contains("State:\tT") {
            assert!(Instant::now() < deadline, "the program does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The most memory that the program has held, by the system's account of it.
    fn most_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.program.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM");
        line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() * 1024.0 / 1e6
    }

    /// Reads a message to a caller and returns its tag.
    fn read_tag(&mut self, party: &str) -> u64 {
        let mut start = [0; 11];
        self.connection(party).read_exact(&mut start).unwrap();
        let (length, rest) = start.split_at(2);
        let length = usize::from(u16::from_be_bytes(length.try_into().unwrap()));
        self.connection(party).read_exact(&mut vec![0; length + 2 - start.len()]).unwrap();
        u64::from_be_bytes(rest[1..].try_into().unwrap())
    }

    fn connection(&mut self, party: &str) -> &mut BufReader<TcpStream> {
        self.connections.get_mut(party).expect("an open connection")
    }

    /// The bytes that a party's notation stands for.
    fn encode(&self, party: &str, notation: &str) -> Vec<u8> {
        if party.starts_with('c') {
            return parse_bytes(&mut &*notation);
        }
        let text = substitute_addresses(notation, &self.listener_addresses);
        // A trailing \ marks an incomplete line, which gets no line break.
        text.strip_suffix('\\').map_or(format!("{text}\n"), str::to_string).into_bytes()
    }
}

/// Runs start.txt and then an exchange. At the end the program must still run, unless the exchange waits for
/// its exit.
fn run_exchange(name: &str) {
    let exchange = read_exchange_file(name);
    let replacements = exchange.lines().map_while(|line| line.strip_prefix("with ")?.split_once(" => "));
    let mut runner = Runner::start(replacements);
    runner.execute_file("start.txt");
    runner.execute_file(name);
    let exited = exchange.lines().any(|line| line.starts_with("exits"));
    assert!(exited || runner.program.try_wait().unwrap().is_none(), "the program has exited");
}

/// Defines a test for each exchange, with the name of its file.
macro_rules! exchange_tests {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            run_exchange(concat!(stringify!($name), ".txt"));
        })*

        #[test]
        fn every_exchange_file_has_a_test() {
            let files = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/exchanges")).unwrap();
            let names = [$(stringify!($name)),*];
            for file in files.map(|entry| entry.unwrap().file_name().into_string().unwrap()) {
                let name = file.trim_end_matches(".txt");
                assert!(names.contains(&name) || ["start", "config.json"].contains(&name), "{file}");
            }
        }
    };
}

exchange_tests! {
    a_call_from_set_up_to_release
    address_taken_over
    answer_lost_with_its_connection
    bad_callers
    caller_gives_up
    caller_half_closes
    caller_leaves_with_unread_set_ups
    caller_resets_with_unread_set_ups
    duplicate_and_unknown_ids
    feed
    flood
    flood_of_called_numbers
    flood_of_refused_set_ups
    flood_of_transit_set_ups
    group_full_takes_the_tandem
    id_of_an_ended_call_comes_again
    idle_close
    late_answer_of_an_earlier_attempt
    late_release_of_an_earlier_attempt
    long_and_split_messages
    malformed_input
    new_process_at_the_address_of_a_switch
    new_process_takes_over_from_a_silent_one
    newer_switch_in_the_list_of_the_start
    no_caller_connected
    older_switch_is_listed_again
    own_exchange_takes_an_address_over
    quiet_connection_flows_again
    quiet_connection_is_closed
    quiet_connection_with_a_withdrawn_transit_call
    refused_connection
    release_lost_with_its_connection
    refusals
    reload
    release_is_not_delayed_on_a_quiet_connection
    reset_waits_for_the_release
    same_process_after_a_reset
    same_process_on_a_second_connection
    silent_switch
    stuck_connection
    sigterm
    switch_is_listed_at_another_exchange
    switches_come_and_go
    time_out
}

/// Guards against buffers that are bounded for each connection only: many connections that leave a long
/// message incomplete took the program over its memory limit.
#[test]
fn incomplete_messages_of_many_connections_stay_within_the_memory_limit() {
    let mut runner = Runner::start(Some(("\"memory_mb\": 192", "\"memory_mb\": 12")));
    runner.execute_file("start.txt");
    let incomplete = [vec![0x3f, 0xfe, 1], vec![b'x'; 16_000]].concat();
    let mut connections = Vec::new();
    for _ in 0..700 {
        let mut connection = TcpStream::connect(&runner.caller_address).unwrap();
        connection.write_all(&incomplete).unwrap();
        connections.push(connection);
    }
    // Callers are read in turn: once these are answered, all of the connections have been read.
    runner.execute("c2 opens");
    for _ in 0..10 {
        runner.execute("c2 > #(34 00000000000000ac d0#(00))");
        runner.execute("c2 < #(35 00000000000000ac d0#(01))");
    }
    runner.execute("memory < 12 MB");
    runner.execute(r#"c2 > #(01 0000000000000001 b4#("check") b6#("3000") bc#("7") be#("dest:1"))"#);
    runner.execute(r#"s1 < {"verb":"START","tag":"0000000000000001",*"#);
}

/// Guards against a log that grows with each set-up that is too long for a switch: a caller can send any number.
#[test]
fn many_set_ups_that_are_too_long_write_few_log_lines() {
    const SET_UPS: usize = 400;
    let mut runner = Runner::start(None);
    runner.execute_file("start.txt");
    runner.execute(&format!(
        r#"c1 floods {SET_UPS} #(01 eeeeeeeeeeeeeeee b4#("check") b6#("3000") bc#("%%%%%%") be#("dest:1") d2#("\"*9000))"#
    ));
    runner.wait_for_log("not sent to a switch: longer than the limit");
    let is_about_length = |line: &String| line.contains("limit of 16384 bytes");
    let further_lines = runner.log_lines.try_iter().filter(is_about_length).count();
    assert!(further_lines < SET_UPS / 10, "{further_lines} further lines");
}

/// Guards against health checks of one connection that keep those of the others from being answered: the
/// gatekeeper would get no calls.
#[test]
fn health_checks_of_one_connection_leave_room_for_those_of_others() {
    let mut runner = Runner::start(Some(("\"sockets\": 1024", "\"sockets\": 16")));
    let start = read_exchange_file("start.txt");
    let (before_first_check, rest) = start.split_once("c1 > ").unwrap();
    before_first_check.lines().filter(|line| !line.starts_with("//")).for_each(|line| runner.execute(line));
    runner.execute("c2 opens");
    (0..100).for_each(|_| runner.execute("c2 > #(34 00000000000000bb d0#(00))"));
    // The rejection shows that all messages before its set-up have been handled.
    runner.execute(r#"c2 > #(01 00000000000000a2 b4#("other") b6#("3000") bc#("7") be#("dest:1"))"#);
    runner.execute("c2 < #(0c 00000000000000a2 d0#(64))");
    let rest = format!("c1 > {rest}");
    rest.lines().filter(|line| !line.starts_with("//")).for_each(|line| runner.execute(line));
}

/// Calls whose set-ups take more than the buffers of a connection hold.
const CALLS_OVER_THE_BUFFERS: u64 = 600;

/// Sends [`CALLS_OVER_THE_BUFFERS`] calls with these routing attributes to s1, which reads none of them until another
/// connection, s1b, has taken over. No call times out before all have been read.
fn send_calls_until_another_connection_takes_over(routing: &str) -> Runner {
    let mut runner =
        Runner::start([("\"memory_mb\": 192", "\"memory_mb\": 1000"), ("\"aimS\": 2.0", "\"aimS\": 60.0")]);
    runner.execute_file("start.txt");
    runner.execute(r#"s1 > {"verb":"LOAD","tag":"","opts":{"load":"x0:700;x1:700"}}"#);
    // A caller with an answered call may have any number of unanswered ones.
    runner.execute(r#"c1 > #(01 0000000000001000 b4#("check") b6#("60000") bc#("0") be#("dest:1"))"#);
    runner.execute(r#"s1 < {"verb":"START","tag":"0000000000001000",*"#);
    runner.execute(r#"s1 > {"verb":"STARTED","tag":"0000000000001000"}"#);
    runner.execute("c1 < #(09 0000000000001000)");
    for call in 1..=CALLS_OVER_THE_BUFFERS {
        runner.execute(&format!(
            r#"c1 > #(01 {call:016x} b4#("check") b6#("60000") bc#("{call}") be#("{routing}") d2#("v"*15000))"#
        ));
    }
    runner.execute("s1b accepts");
    runner.execute(r#"s1b > {"verb":"LOAD","tag":"","opts":{"load":"x0:700;x1:700"}}"#);
    runner.wait_for_log("a new connection takes over");
    runner
}

/// Reads the set-ups on the connections of some parties: the index of the party, and the tag.
fn read_set_ups(runner: &mut Runner, parties: &[&str]) -> Receiver<(usize, String)> {
    let (sender, set_ups) = channel();
    for (index, party) in parties.iter().enumerate() {
        let connection = runner.connections.remove(*party).unwrap();
        let sender = sender.clone();
        std::thread::spawn(move || {
            let lines = connection.lines().map_while(Result::ok);
            let mut tags =
                lines.filter_map(|line| Some(line.strip_prefix(SET_UP_START)?.get(..16)?.to_string()));
            tags.all(|tag| sender.send((index, tag)).is_ok())
        });
    }
    set_ups
}

/// Guards against set-ups that are lost when another connection takes over before the socket has accepted them:
/// their calls were answered a second late or not at all.
#[test]
fn set_ups_that_were_not_sent_are_sent_on_the_connection_that_takes_over() {
    let mut runner = send_calls_until_another_connection_takes_over("dest:1");
    let set_ups = read_set_ups(&mut runner, &["s1", "s1b"]);
    let mut tags = [vec![], vec![]];
    for _ in 1..=CALLS_OVER_THE_BUFFERS {
        let (index, tag) = set_ups.recv_timeout(HANG_TIMEOUT).expect("a further set-up");
        tags[index].push(tag);
    }
    println!("{} set-ups on the first connection, {} on the second", tags[0].len(), tags[1].len());
    assert!(!tags[0].is_empty() && !tags[1].is_empty());
    let all_tags = (1..=CALLS_OVER_THE_BUFFERS).map(|call| format!("{call:016x}"));
    assert_eq!(tags.concat(), all_tags.collect::<Vec<String>>());
}

/// Guards against transit calls that reach another exchange: their set-ups were not sent before another connection
/// took over, and the process there may be a new one.
#[test]
fn transit_set_ups_that_were_not_sent_are_refused_when_another_connection_takes_over() {
    let mut runner = send_calls_until_another_connection_takes_over("dest:1;via:2;transit:1");
    let set_ups = read_set_ups(&mut runner, &["s1"]);
    let mut sent = 0;
    let first_refused = runner.read_tag("c1");
    while sent + 1 < first_refused {
        let (_, tag) = set_ups.recv_timeout(HANG_TIMEOUT).expect("a further set-up");
        sent += 1;
        assert_eq!(tag, format!("{sent:016x}"));
    }
    println!("{sent} set-ups on the first connection");
    for call in first_refused + 1..=CALLS_OVER_THE_BUFFERS {
        runner.execute(&format!(r#"c1 < #(0c {call:016x} d0#(2a) c0#("2000"))"#));
    }
}

#[test]
fn invalid_configuration_gives_one_line_of_error_and_exit_code_1() {
    let without_group_size = read_exchange_file("config.json").replace("\"groupSize\": 3,", "");
    let cases = [
        ("{", "EOF while parsing"),
        ("{\"listen\": \"127.0.0.1:0\"}", "missing field `settings`"),
        (without_group_size.as_str(), "settings: groupSize: missing"),
        // The file as it is, with @feed in the place of an address.
        (&read_exchange_file("config.json"), "feed: \"@feed\" is not an IP address with a port"),
    ];
    for (index, (config, expected_error)) in cases.iter().enumerate() {
        let path = std::env::temp_dir().join(format!("wheatpier-bad-{}-{index}", std::process::id()));
        std::fs::write(&path, config).unwrap();
        for command in ["check", "serve"] {
            let output = Command::new(env!("CARGO_BIN_EXE_wheatpier"))
                .args([command, "--config", path.to_str().unwrap()])
                .output()
                .unwrap();
            let stderr = String::from_utf8(output.stderr).unwrap();
            assert_eq!((output.status.code(), stderr.lines().count()), (Some(1), 1), "{stderr}");
            assert!(stderr.contains(expected_error), "{stderr}");
        }
        std::fs::remove_file(path).unwrap();
    }
}
