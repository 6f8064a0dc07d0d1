//! The gatekeeper on sockets: one loop on one thread, and the connections that hang in it.

pub mod binary;
pub mod callers;
pub mod feed;
pub mod lines;
pub mod link;
pub mod switches;

use crate::call::{CallControl, CallLimits, Command, ConnectionId, TimerEvent};
use crate::clock::Clock;
use crate::interface::{Micros, Settings, SwitchId};
use crate::settings::{self, IndexedNames};
use callers::Callers;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Dispatcher, EventLoop};
use feed::{Feed, Known};
use serde::Deserialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use switches::Switches;

/// After SIGTERM, callers go on coming for so long.
const STILL_COMING: Micros = 800_000;
/// And after so long whoever still waits is told that its call failed, before the program would be killed.
const LAST_ANSWER: Micros = 3_300_000;
/// Each time limit of the rules is so much longer on sockets. The wait for a release is told to the module so.
const ON_SOCKETS: Micros = 50_000;
/// How long the loop's timer rests with nothing due.
const REST: Duration = Duration::from_secs(3600);
/// Connection time-out where the settings name none.
const CONNECT: Micros = 500_000;
/// Longest that a caller may say it waits, where the settings name no deadline.
const LONGEST: Micros = 60_000_000;
/// After so long idle connections are closed, where the settings say nothing.
const KEEPALIVE: Micros = 600_000_000;

/// A line of the log. Nothing is done where the log can't be written: calls come first.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

#[derive(Deserialize)]
struct File {
    listen: String,
    #[serde(default)]
    name: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    feed: String,
    #[serde(default)]
    known: Known,
    settings: serde_json::Value,
}

#[derive(Default, Deserialize)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// What may be held at once, from the limits in the configuration. The program takes a few MB by itself.
struct Budget {
    /// Callers' connections. Usual callers hold a third of the descriptors at most; a quarter is for switches,
    /// the control feed and the program's own.
    callers: usize,
    /// Bytes unsent to one caller; with each caller at its limit, an eighth of the memory.
    caller_unsent: usize,
    /// Bytes unsent to one switch, and of a line of the control feed.
    peer: usize,
    /// Calls, open or standing, at about a kilobyte each in call control and the module.
    calls: usize,
    /// Bytes of the descriptions that open calls hold.
    descriptions: usize,
}

impl Budget {
    fn new(sockets: usize, memory: usize) -> Self {
        let callers = (sockets - sockets / 4).max(8);
        let caller_unsent = (memory / 8 / callers).max(2 * binary::MAX_MESSAGE_BYTES);
        Budget { callers, caller_unsent, peer: memory / 64, calls: memory / 8192, descriptions: memory / 8 }
    }
}

/// What a gatekeeper is told at its start, and again with each SIGHUP.
pub struct Config {
    /// The file that says so.
    path: PathBuf,
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    seed: u64,
    budget: Budget,
    feed: Option<SocketAddr>,
    known: Known,
    settings: Settings,
    names: IndexedNames,
    connect_timeout: Micros,
    keepalive: Micros,
    call_limits: CallLimits,
}

impl Config {
    /// Reads a configuration file. The environment has the last word on where to listen, and under which name.
    ///
    /// # Errors
    /// What is wrong with it, in one line.
    pub fn load(path: &Path) -> Result<Self, String> {
        let said = |problem: String| format!("{}: {problem}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| said(e.to_string()))?;
        let mut config = Self::parse(path, &text).map_err(said)?;
        if let Ok(listen) = std::env::var("BALANCER_LISTEN") {
            config.listen =
                listen.parse().map_err(|_| format!("BALANCER_LISTEN: {listen:?} is no address"))?;
        }
        config.name = std::env::var("BALANCER_NAME").unwrap_or(config.name);
        Ok(config)
    }

    fn parse(path: &Path, text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let pairs = settings::flatten_json(&file.settings);
        let (mut settings, names) = settings::build_settings(&pairs).map_err(|p| format!("settings: {p}"))?;
        settings.release_wait += ON_SOCKETS;
        let budget = Budget::new(
            file.limits.sockets.unwrap_or(1024),
            (file.limits.memory_mb.unwrap_or(192.0).clamp(8.0, 1e6) * 1e6) as usize,
        );
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("{key}: {text:?} is no address with a port"))
        };
        Ok(Config {
            path: path.to_path_buf(),
            listen: address("listen", &file.listen)?,
            name: file.name,
            // Sixteen hex digits; of any other text the bytes serve as well.
            seed: u64::from_str_radix(&file.seed, 16)
                .unwrap_or_else(|_| file.seed.bytes().fold(7, |n, b| n.rotate_left(9) ^ u64::from(b))),
            feed: if file.feed.is_empty() { None } else { Some(address("feed", &file.feed)?) },
            known: file.known,
            connect_timeout: settings::duration_or(&pairs, "limits.connectTimeoutS", CONNECT),
            call_limits: CallLimits {
                max_calls: settings::count_or(&pairs, "limits.openCap", usize::MAX).min(budget.calls),
                max_description_bytes: budget.descriptions,
                max_caller_timeout: settings::max_caller_wait(&pairs, LONGEST),
                circuits_by_class: settings::circuits_by_class(&pairs),
            },
            budget,
            keepalive: settings::duration_or(&pairs, "limits.keepaliveS", KEEPALIVE),
            settings,
            names,
        })
    }

    /// What it says, in one line.
    pub fn summary(&self) -> String {
        let (events, classes, here) =
            (self.known.events.len(), self.settings.classes.len(), self.settings.own_exchange);
        format!("{}: exchange {here}, {classes} classes, {events} events known", self.name)
    }
}

/// A connection on which more may have come than was read in one turn.
#[derive(Clone, Copy)]
enum Unread {
    Caller(ConnectionId),
    Switch(SwitchId),
    Feed,
}

/// The gatekeeper: what the callbacks of the loop work on.
pub struct Node {
    clock: Clock,
    call_control: CallControl,
    callers: Callers,
    switches: Switches,
    feed: Feed,
    unread: Vec<Unread>,
    /// What the loop's timer is set for.
    armed: Option<Micros>,
    ready: bool,
    /// When the program was told to stop.
    stopping: Option<Micros>,
    /// The configuration's file, which SIGHUP has read again.
    path: PathBuf,
}

/// Runs a gatekeeper until it is told to stop and has answered all it took.
///
/// # Errors
/// What kept it from starting, or broke the loop.
pub fn serve(config: Config) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, Node> = EventLoop::try_new().map_err(|e| format!("loop: {e}"))?;
    let handle = event_loop.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    handle
        .insert_source(signals, |event, _, node: &mut Node| match event.signal() {
            Signal::SIGHUP => node.reload(),
            _ => node.stop(),
        })
        .map_err(|e| format!("signals: {}", e.error))?;
    let timer = Dispatcher::new(Timer::immediate(), |_, _, node: &mut Node| {
        // Guards against a lost wake-up: the turn's time may have been read just before the timer was due, so
        // that what it was set for comes out of the queue in the next turn only. It is set again in any case.
        node.armed = None;
        TimeoutAction::ToDuration(REST)
    });
    let timer_token = handle.register_dispatcher(timer.clone()).map_err(|e| format!("timer: {e}"))?;

    let mut clock = Clock::start();
    let now = clock.now();
    let here = config.settings.own_exchange;
    let budget = config.budget;
    let callers = Callers::listen(handle.clone(), config.listen, budget.callers, budget.caller_unsent)
        .map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let mut node = Node {
        clock,
        call_control: CallControl::new(config.settings, config.names, config.call_limits, config.seed, now),
        callers,
        switches: Switches::new(handle.clone(), config.connect_timeout, config.keepalive, here, budget.peer),
        feed: Feed::new(handle.clone(), config.feed, budget.peer),
        unread: vec![],
        armed: None,
        ready: false,
        stopping: None,
        path: config.path,
    };
    node.start_feed(config.known);
    node.run_caller_maintenance();

    while !node.turn() {
        let next = node.call_control.next_deadline();
        node.clock.end_iteration();
        if next.is_none() || next != node.armed {
            node.armed = next;
            // With nothing due the timer rests; the module's own tick never lets that happen.
            let at = next.map_or_else(|| Instant::now() + REST, |at| node.clock.to_instant(at));
            timer.as_source_mut().set_deadline(at);
            handle.update(&timer_token).map_err(|e| format!("timer: {e}"))?;
        }
        let wait = if node.unread.is_empty() { None } else { Some(Duration::ZERO) };
        event_loop.dispatch(wait, &mut node).map_err(|e| format!("loop: {e}"))?;
        node.read_on();
    }
    log("stopped");
    Ok(())
}

impl Node {
    /// The end of a turn: what is due, a batch for the module, and all that is to be written. True at the end.
    fn turn(&mut self) -> bool {
        let now = self.clock.now();
        while let Some(due) = self.call_control.timers.pop_due(now) {
            match due {
                TimerEvent::SwitchConnection(switch) => self.link_due(switch),
                TimerEvent::ControlFeed => self.feed_due(),
                TimerEvent::CallerMaintenance => self.run_caller_maintenance(),
                TimerEvent::Shutdown => {
                    if self.stopping.is_some_and(|since| now >= since + LAST_ANSWER) {
                        self.call_control.fail_unanswered_calls(now);
                    }
                }
                other => self.call_control.handle_timer(now, other),
            }
        }
        self.call_control.run_batch(now);
        self.carry_out();
        if !self.ready && self.switches.all_heard() {
            self.ready = true;
            log("ready");
        }
        if self.callers.has_pending_health_checks() && (self.ready || self.stopping.is_some()) {
            // One that stops takes no more in: the front should turn elsewhere.
            self.callers.answer_health_checks(self.stopping.is_none());
        }
        self.flush();
        let quiet = |since: Micros| {
            let flushed = self.callers.is_flushed() && self.switches.is_flushed();
            now >= since + STILL_COMING && self.call_control.unanswered_count() == 0 && flushed
        };
        self.stopping.is_some_and(|since| quiet(since) || now >= since + LAST_ANSWER + 100_000)
    }

    /// Edge-triggered, the loop tells of nothing again: what was left unread has its turn here.
    fn read_on(&mut self) {
        for unread in std::mem::take(&mut self.unread) {
            match unread {
                Unread::Caller(origin) => self.handle_caller_io(origin),
                Unread::Switch(switch) => self.switch_ready(switch),
                Unread::Feed => self.feed_ready(),
            }
        }
    }

    fn carry_out(&mut self) {
        let now = self.clock.now();
        // Carrying a command out may bring about more, as when a switch can't be reached.
        while !self.call_control.commands.is_empty() {
            for command in std::mem::take(&mut self.call_control.commands) {
                match command {
                    Command::SetUp { switch, tag, class, called_number, deadline, description } => {
                        let message = switches::set_up(tag, class, called_number, description);
                        self.send_set_up(switch, tag, message, deadline);
                    }
                    Command::ReleaseAtSwitch { switch, tag } => self.switches.give_up(switch, tag),
                    Command::ReleaseAtAllSwitches(tag) => self.switches.give_up_anywhere(tag),
                    Command::Probe { switch, tag } => self.switches.probe(switch, tag),
                    Command::Answer { connection, tag, description } => {
                        self.callers.answer(now, connection, tag, description);
                    }
                    Command::Reject { connection, tag, cause, back_off } => {
                        self.callers.reject(connection, tag, cause, back_off);
                    }
                    Command::ReleaseToCaller { connection, tag, cause } => {
                        self.callers.release(now, connection, tag, cause);
                    }
                    Command::Log(line) => log(&line),
                }
            }
        }
    }

    fn flush(&mut self) {
        let call_control = &self.call_control;
        for origin in self.callers.flush(|origin| call_control.unanswered_set_up(origin).is_some()) {
            self.close_caller(origin);
        }
        for switch in self.switches.flush() {
            self.drop_link(switch);
        }
        if !self.feed.flush() {
            self.close_feed("broke the connection", 0);
        }
    }

    /// Reads the configuration again. The numbers of events, the calls and the connections stay; what the rest
    /// of the file says counts from the next start.
    fn reload(&mut self) {
        match Config::load(&self.path) {
            Ok(config) => {
                log("configuration read again");
                self.move_feed(config.feed, config.known);
            }
            // Guards against a file that is bad or half written: the gatekeeper goes on as it was.
            Err(problem) => log(&format!("the old configuration stays: {problem}")),
        }
    }

    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.clock.now();
        log(&format!("told to stop: {} calls wait for their answer", self.call_control.unanswered_count()));
        self.stopping = Some(now);
        for after in [STILL_COMING, LAST_ANSWER, LAST_ANSWER + 100_000] {
            self.call_control.timers.push(now + after, TimerEvent::Shutdown);
        }
    }
}

/// For tests of the codecs: passes on 20,000 mutations of an encoded message, each with one to four bytes
/// overwritten and, in about one of eight, the last byte cut off. A decoder must not panic on any of them,
/// since a panic ends the program.
#[cfg(test)]
fn for_each_mutation(whole: &[u8], mut each: impl FnMut(&[u8])) {
    use rand_core::{RngCore, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut bytes = whole.to_vec();
        for _ in 0..=rng.next_u32() % 4 {
            let at = rng.next_u32() as usize % bytes.len();
            bytes[at] = rng.next_u32() as u8;
        }
        bytes.truncate(bytes.len() - rng.next_u32() as usize % 8 / 7);
        each(&bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn budgets_follow_the_configuration_and_fit_into_it() {
        for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 128), (1024, 192)] {
            let memory = memory_mb * 1_000_000;
            let budget = Budget::new(sockets, memory);
            // Usual callers hold a third; switches, the feed and the program itself need the rest.
            assert!(budget.callers > sockets / 3 && sockets - budget.callers >= 64);
            let unsent = budget.callers * budget.caller_unsent + 9 * budget.peer;
            assert!(budget.caller_unsent >= binary::MAX_MESSAGE_BYTES);
            assert!(unsent + budget.calls * 1024 + budget.descriptions < memory * 3 / 4, "{memory_mb} MB");
        }
    }
}
