//! Recorded exchanges, one text file each in tests/exchanges/, played against the program over sockets.
//!
//! A line names a party, what it does and the bytes. Callers are c1, c2 and so on, carrier switches s1 and s2,
//! a further connection to one has a letter more (s1b), and `feed` is the control feed.
//!
//!     PARTY opens | accepts | closes | resets | refuses     its connection, or with `refuses` its address
//!     PARTY > BYTES     it sends          PARTY < BYTES     it gets these     PARTY < end   it is closed
//!     signal TERM       exits 0           log TEXT          the program's log has a line with this text
//!     with A => B       first line of a file: the configuration has B in place of A
//!     config @moved     its file now names this address for the feed; any other text is written as it is
//!
//! A caller's bytes are hex digits and "text" (also "text"*N); #( ) puts a length of two bytes before what it
//! holds. Others speak lines, where * stands for anything and @s1 for the address of s1.

use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Only a program that hangs takes so long; nothing passes or fails by being slower or faster.
const HANG: Option<Duration> = Some(Duration::from_secs(20));

fn read(name: &str) -> String {
    std::fs::read_to_string(format!("{}/tests/exchanges/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

struct Play {
    program: Child,
    log: Receiver<String>,
    path: PathBuf,
    at: String,
    listeners: BTreeMap<&'static str, TcpListener>,
    addresses: BTreeMap<&'static str, String>,
    connections: BTreeMap<String, BufReader<TcpStream>>,
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Whether a text fits a pattern in which * stands for anything.
fn fits(text: &str, pattern: &str) -> bool {
    match pattern.split_once('*') {
        None => text == pattern,
        Some((head, tail)) => text
            .strip_prefix(head)
            .is_some_and(|rest| (0..=rest.len()).any(|i| rest.get(i..).is_some_and(|rest| fits(rest, tail)))),
    }
}

/// A text with the addresses in place of their names.
fn named(text: &str, addresses: &BTreeMap<&str, String>) -> String {
    addresses.iter().fold(text.to_string(), |text, (n, a)| text.replace(&format!("@{n}"), a))
}

/// The bytes of a caller's notation, up to a closing parenthesis.
fn bytes(text: &mut &str) -> Vec<u8> {
    let mut out = Vec::new();
    loop {
        *text = text.trim_start();
        if let Some(rest) = text.strip_prefix("#(") {
            *text = rest;
            let inner = bytes(text);
            out.extend((inner.len() as u16).to_be_bytes());
            out.extend(inner);
        } else if let Some(rest) = text.strip_prefix('"') {
            let (word, rest) = rest.split_once('"').expect("a closing quote");
            let digits = rest.strip_prefix('*').map_or("", |r| &r[..r.find([' ', ')']).unwrap_or(r.len())]);
            *text = if digits.is_empty() { rest } else { &rest[1 + digits.len()..] };
            out.extend(word.repeat(digits.parse().unwrap_or(1)).into_bytes());
        } else if let Some(rest) = text.strip_prefix(')') {
            *text = rest;
            return out;
        } else if text.is_empty() {
            return out;
        } else {
            out.push(u8::from_str_radix(&text[..2], 16).expect("hex"));
            *text = &text[2..];
        }
    }
}

impl Play {
    fn start(change: Option<(&str, &str)>) -> Self {
        let listeners: BTreeMap<_, _> =
            ["s1", "s2", "feed", "moved"].map(|n| (n, TcpListener::bind("127.0.0.1:0").unwrap())).into();
        let addresses: BTreeMap<_, _> =
            listeners.iter().map(|(n, l)| (*n, l.local_addr().unwrap().to_string())).collect();
        listeners.values().for_each(|l| SockRef::from(l).set_read_timeout(HANG).unwrap());
        let path = std::env::temp_dir().join(format!("wheatpier-{}", addresses["feed"].replace(':', "-")));
        let config = read("config.json");
        let config = change.map_or(config.clone(), |(old, new)| {
            assert!(config.contains(old), "{old} is not in the configuration");
            config.replace(old, new)
        });
        std::fs::write(&path, named(&config, &addresses)).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_wheatpier"))
            .args(["serve", "--config", path.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (lines, (send, log)) = (BufReader::new(program.stderr.take().unwrap()).lines(), channel());
        std::thread::spawn(move || lines.map_while(Result::ok).all(|line| send.send(line).is_ok()));
        let connections = BTreeMap::new();
        let mut play = Play { program, log, path, at: String::new(), listeners, addresses, connections };
        play.at = play.wait_for("listening on ").rsplit(' ').next().unwrap().to_string();
        play
    }

    fn wait_for(&mut self, text: &str) -> String {
        let end = Instant::now() + HANG.unwrap();
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("no log line {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    fn perform(&mut self, line: &str) {
        let (party, rest) = line.split_once(' ').expect("a party");
        let (does, what) = rest.split_once(' ').unwrap_or((rest, ""));
        let listener = party.trim_end_matches(['b', 'c']);
        match (party, does) {
            ("signal", name) => {
                let id = self.program.id().to_string();
                let kill = format!("kill -{name} {id}");
                assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
            }
            ("exits", code) => assert_eq!(self.program.wait().unwrap().code(), code.parse().ok()),
            ("config", text) => {
                let moved = read("config.json").replace("@feed", text);
                let text = if text.starts_with('@') { named(&moved, &self.addresses) } else { text.into() };
                std::fs::write(&self.path, text).unwrap();
            }
            ("log", _) => drop(self.wait_for(rest)),
            (_, "opens" | "accepts") => {
                let stream = match does {
                    "opens" => TcpStream::connect(&self.at).unwrap(),
                    _ => self.listeners[listener].accept().expect("a connection").0,
                };
                stream.set_read_timeout(HANG).unwrap();
                self.connections.insert(party.to_string(), BufReader::new(stream));
            }
            (_, "closes") => drop(self.connections.remove(party).expect("its connection")),
            (_, "resets") => {
                let stream = self.connections.remove(party).expect("its connection");
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
            (_, "refuses") => drop(self.listeners.remove(listener).expect("its address")),
            (_, ">") => {
                let bytes = self.said(party, what);
                self.connections[party].get_ref().write_all(&bytes).unwrap();
            }
            (_, "<") if what == "end" => match self.connection(party).read_until(b'\n', &mut vec![]) {
                Ok(0) => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
                other => panic!("{other:?} instead of the end"),
            },
            (_, "<") if party.starts_with('c') => {
                let wanted = self.said(party, what);
                let mut got = vec![0; wanted.len()];
                self.connection(party).read_exact(&mut got).unwrap();
                assert!(got == wanted, "got {}", String::from_utf8_lossy(&got).escape_debug());
            }
            (_, "<") => {
                let mut got = String::new();
                self.connection(party).read_line(&mut got).unwrap();
                assert!(fits(got.trim_end(), what), "got {got}");
            }
            _ => panic!("no such line"),
        }
    }

    fn connection(&mut self, party: &str) -> &mut BufReader<TcpStream> {
        self.connections.get_mut(party).expect("its connection")
    }

    fn said(&self, party: &str, what: &str) -> Vec<u8> {
        if party.starts_with('c') {
            return bytes(&mut &*what);
        }
        let text = named(what, &self.addresses);
        // A line that ends in \ is a part of one.
        text.strip_suffix('\\').map_or(format!("{text}\n"), str::to_string).into_bytes()
    }
}

/// Plays the common start and then an exchange; at its end the program must still run, or have ended as told.
fn play(name: &str) {
    let text = read(name);
    let change = text.strip_prefix("with ").and_then(|t| t.lines().next()?.split_once(" => "));
    let (mut play, mut over) = (Play::start(change), false);
    for file in ["start.txt", name] {
        for (n, line) in read(file).lines().map(str::trim).enumerate() {
            if !line.is_empty() && !line.starts_with("//") && !line.starts_with("with ") {
                println!("{file}:{}: {}", n + 1, line.get(..120).unwrap_or(line));
                play.perform(line);
                over |= line.starts_with("exits");
            }
        }
    }
    assert!(over || play.program.try_wait().unwrap().is_none(), "the program has ended");
}

macro_rules! exchanges {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            play(concat!(stringify!($name), ".txt"));
        })*

        #[test]
        fn every_recorded_exchange_is_played() {
            let files = std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/exchanges")).unwrap();
            let names = [$(stringify!($name)),*];
            for file in files.map(|f| f.unwrap().file_name().into_string().unwrap()) {
                let name = file.trim_end_matches(".txt");
                assert!(names.contains(&name) || ["start", "config.json"].contains(&name), "{file}");
            }
        }
    };
}

exchanges! {
    a_call_from_set_up_to_release
    address_taken_over
    bad_callers
    caller_gives_up
    caller_half_closes
    duplicate_and_unknown_ids
    feed
    flood
    group_full_takes_the_tandem
    idle_close
    long_and_split_messages
    malformed_input
    no_caller_connected
    refused_connection
    refusals
    reload
    reset_waits_for_the_release
    silent_switch
    stuck_connection
    sigterm
    switches_come_and_go
    time_out
}

#[test]
fn a_bad_configuration_gets_one_plain_message_and_a_failure() {
    let missing = read("config.json").replace("\"groupSize\": 3,", "");
    let cases = [
        ("{", "EOF while parsing"),
        ("{\"listen\": \"127.0.0.1:0\"}", "missing field `settings`"),
        (missing.as_str(), "settings: groupSize: missing"),
        (&read("config.json"), "feed: \"@feed\" is not an IP address with a port"),
    ];
    for (n, (text, problem)) in cases.iter().enumerate() {
        let path = std::env::temp_dir().join(format!("wheatpier-bad-{}-{n}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        for command in ["check", "serve"] {
            let run = Command::new(env!("CARGO_BIN_EXE_wheatpier"))
                .args([command, "--config", path.to_str().unwrap()])
                .output()
                .unwrap();
            let said = String::from_utf8(run.stderr).unwrap();
            assert_eq!((run.status.code(), said.lines().count()), (Some(1), 1), "{said}");
            assert!(said.contains(problem), "{said}");
        }
        std::fs::remove_file(path).unwrap();
    }
}
