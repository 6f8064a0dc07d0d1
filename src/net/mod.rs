//! The gatekeeper on sockets: a single-threaded event loop and the connections registered with it.

pub mod binary;
pub mod buffer_limit;
pub mod callers;
pub mod feed;
pub mod lines;
pub mod link;
pub mod pending_reads;
pub mod switches;

use crate::call::{CallControl, CallLimits, Command, TimerEvent};
use crate::clock::Clock;
use crate::interface::{HistoryLimits, MILLISECOND, Micros, SECOND, Settings};
use crate::settings::{self, IndexedNames};
use callers::{BufferLimits, Callers};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Dispatcher, EventLoop};
use feed::{ControlFeed, KnownEvents};
use pending_reads::{PendingRead, PendingReads};
use serde::Deserialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use switches::{SetUp, SwitchLimits, Switches};

#[cfg(test)]
mod tests;

/// Shortest time that the program keeps running after the start of a shutdown (SIGTERM or SIGINT), since
/// callers go on sending set-ups.
const MIN_SHUTDOWN_TIME: Micros = 800 * MILLISECOND;
/// Time after the start of a shutdown at which unanswered calls are rejected, so that their callers are told
/// before the program would be killed.
const SHUTDOWN_REJECT_AFTER: Micros = 3300 * MILLISECOND;
/// Time after the start of a shutdown at which the program exits in any case: 100 ms are left to send the
/// rejections.
const MAX_SHUTDOWN_TIME: Micros = SHUTDOWN_REJECT_AFTER + 100 * MILLISECOND;
/// Added to the release wait that the settings give: over sockets, each time limit of the deployment is
/// longer by this margin.
const RELEASE_WAIT_MARGIN: Micros = 50 * MILLISECOND;
/// Interval of the event loop's timer while the timer queue is empty.
const IDLE_TIMER_INTERVAL: Duration = Duration::from_secs(3600);
/// Time-out of an attempt to connect to a switch, unless the settings give one.
const DEFAULT_SWITCH_CONNECT_TIMEOUT: Micros = 500 * MILLISECOND;
/// Longest `caller_timeout` that a set-up may state, where the settings give no deadline for any class. Also
/// stands for a deadline that is invalid.
const DEFAULT_MAX_CALLER_TIMEOUT: Micros = 60 * SECOND;
/// Idle time after which a switch closes its connection, unless the settings give one.
const DEFAULT_SWITCH_IDLE_TIMEOUT: Micros = 600 * SECOND;
/// Most sockets of the program, unless the configuration gives a limit.
const DEFAULT_MAX_SOCKETS: usize = 1024;
/// Memory limit of the program, unless the configuration gives one.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// A memory limit below this value is raised to it.
const MIN_MEMORY_MB: f64 = 8.0;
/// A memory limit above this value is lowered to it.
const MAX_MEMORY_MB: f64 = 1e6;
/// Number of caller connections that is always allowed, however low the limit on sockets is.
const MIN_CALLER_CONNECTIONS: usize = 8;
/// Memory that a call takes in call control and the controller, approximately.
const BYTES_PER_CALL: usize = 1024;

/// Most releases that switches have not acknowledged, as a multiple of the calls that the call table may hold: a
/// call may have to be released at more than one.
const MAX_UNACKNOWLEDGED_RELEASES_PER_CALL: usize = 2;
/// Memory that the controller takes for a called number that it keeps, approximately.
const BYTES_PER_CALLED_NUMBER: usize = 128;

/// Memory that the controller takes for a group of circuits between other exchanges, approximately.
const BYTES_PER_REMOTE_GROUP: usize = 192;

/// Writes a line to the log, which is standard error. A failure to write is ignored, so that calls are served
/// even without a log.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// The configuration file; fields have the names of its keys.
#[derive(Deserialize)]
struct ConfigFile {
    listen: String,
    #[serde(default)]
    name: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: ConfigFileLimits,
    #[serde(default)]
    feed: String,
    #[serde(default)]
    known: KnownEvents,
    settings: serde_json::Value,
}

#[derive(Default, Deserialize)]
struct ConfigFileLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// Limits on what the program holds at a time, derived from the limits in the configuration. The program
/// itself takes a few MB besides.
struct ResourceLimits {
    /// Connections of callers. In normal operation callers hold at most a third of the descriptors; a quarter
    /// is reserved for the switches, the control feed and the program itself.
    max_caller_connections: usize,
    /// Unsent bytes and incomplete messages of callers: an eighth of the memory for all together. Each may
    /// have an equal part of it unsent, and never less than two messages of the largest size.
    caller_buffers: BufferLimits,
    /// Bytes that are read in an iteration of the event loop from callers with an answered call.
    max_input_bytes: usize,
    /// The size of a line of the control feed.
    max_feed_buffer_bytes: usize,
    /// What the connections to switches hold: an eighth of the memory for all together.
    switches: SwitchLimits,
    /// Releases that wait for a caller to connect. Each is of a call that was in the call table.
    pending_releases_to_callers: usize,
    /// Calls, answered or not. At this limit they take about an eighth of the memory.
    max_calls: usize,
    /// Total bytes of the session descriptions that unanswered calls hold.
    max_description_bytes: usize,
    /// What the controller keeps of calls that have ended. At these limits it takes three 32nds of the memory.
    history: HistoryLimits,
}

impl ResourceLimits {
    fn new(max_sockets: usize, memory_bytes: usize) -> Self {
        let max_caller_connections = (max_sockets - max_sockets / 4).max(MIN_CALLER_CONNECTIONS);
        let eighth_of_memory = memory_bytes / 8;
        let max_calls = eighth_of_memory / BYTES_PER_CALL;
        ResourceLimits {
            max_caller_connections,
            caller_buffers: BufferLimits {
                unsent_per_connection: (eighth_of_memory / max_caller_connections)
                    .max(2 * binary::MAX_MESSAGE_BYTES),
                total: eighth_of_memory,
            },
            max_input_bytes: memory_bytes / 512,
            max_feed_buffer_bytes: memory_bytes / 64,
            switches: SwitchLimits {
                unsent_per_switch: memory_bytes / 64,
                total_unsent: eighth_of_memory,
                unacknowledged_releases: MAX_UNACKNOWLEDGED_RELEASES_PER_CALL * max_calls,
            },
            pending_releases_to_callers: max_calls,
            max_calls,
            max_description_bytes: eighth_of_memory,
            history: HistoryLimits {
                called_numbers: memory_bytes / 32 / BYTES_PER_CALLED_NUMBER,
                remote_groups: memory_bytes / 32 / BYTES_PER_REMOTE_GROUP,
            },
        }
    }
}

/// The configuration of a gatekeeper, which is read at its start and again on SIGHUP.
pub struct Config {
    /// Path of the configuration file.
    path: PathBuf,
    /// Name of the gatekeeper.
    pub name: String,
    /// Address on which callers connect.
    pub listen_address: SocketAddr,
    seed: u64,
    resource_limits: ResourceLimits,
    feed_address: Option<SocketAddr>,
    known_events: KnownEvents,
    settings: Settings,
    names: IndexedNames,
    switch_connect_timeout: Micros,
    switch_idle_timeout: Micros,
    call_limits: CallLimits,
}

impl Config {
    /// Reads a configuration file. The environment variables BALANCER_LISTEN and BALANCER_NAME override the
    /// listen address and the name in it.
    ///
    /// # Errors
    /// The first error in the configuration, in one line.
    pub fn load(path: &Path) -> Result<Self, String> {
        let with_path = |problem: String| format!("{}: {problem}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
        let mut config = Self::parse(path, &text).map_err(with_path)?;
        if let Ok(address) = std::env::var("BALANCER_LISTEN") {
            config.listen_address = address
                .parse()
                .map_err(|_| format!("BALANCER_LISTEN: {address:?} is not an IP address with a port"))?;
        }
        config.name = std::env::var("BALANCER_NAME").unwrap_or(config.name);
        Ok(config)
    }

    fn parse(path: &Path, text: &str) -> Result<Self, String> {
        let file: ConfigFile = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let pairs = settings::flatten_json(&file.settings);
        let (mut settings, names) =
            settings::build_settings(&pairs).map_err(|error| format!("settings: {error}"))?;
        settings.release_wait += RELEASE_WAIT_MARGIN;
        let max_sockets = file.limits.sockets.unwrap_or(DEFAULT_MAX_SOCKETS);
        let memory_mb =
            file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
        let resource_limits = ResourceLimits::new(max_sockets, (memory_mb * 1e6) as usize);
        settings.history_limits = resource_limits.history;
        let parse_address = |key: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| format!("{key}: {text:?} is not an IP address with a port"))
        };
        Ok(Config {
            path: path.to_path_buf(),
            listen_address: parse_address("listen", &file.listen)?,
            name: file.name,
            // The seed is a hexadecimal number of up to 64 bits; any other text is hashed to one.
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| {
                file.seed.bytes().fold(7, |hash, byte| hash.rotate_left(9) ^ u64::from(byte))
            }),
            feed_address: if file.feed.is_empty() { None } else { Some(parse_address("feed", &file.feed)?) },
            known_events: file.known,
            switch_connect_timeout: settings::duration_or(
                &pairs,
                "limits.connectTimeoutS",
                DEFAULT_SWITCH_CONNECT_TIMEOUT,
            ),
            call_limits: CallLimits {
                max_calls: settings::count_or(&pairs, "limits.openCap", usize::MAX)
                    .min(resource_limits.max_calls),
                max_description_bytes: resource_limits.max_description_bytes,
                max_caller_timeout: settings::max_caller_timeout(&pairs, DEFAULT_MAX_CALLER_TIMEOUT),
                circuits_by_class: settings::circuits_by_class(&pairs),
            },
            resource_limits,
            switch_idle_timeout: settings::duration_or(
                &pairs,
                "limits.keepaliveS",
                DEFAULT_SWITCH_IDLE_TIMEOUT,
            ),
            settings,
            names,
        })
    }

    /// Returns a summary in one line.
    pub fn summary(&self) -> String {
        let exchange = self.settings.own_exchange;
        let classes = self.settings.classes.len();
        let events = self.known_events.events.len();
        format!("{}: exchange {exchange}, {classes} classes, {events} events known", self.name)
    }
}

/// The state of the gatekeeper, which the callbacks of the event loop work on.
pub struct Gatekeeper {
    clock: Clock,
    call_control: CallControl,
    callers: Callers,
    switches: Switches,
    feed: ControlFeed,
    pending_reads: PendingReads,
    /// The deadline that the event loop's timer is set to.
    timer_deadline: Option<Micros>,
    /// Set once every switch in service has sent a message, could not be reached or was silent for too long
    /// (see [`Switches::all_initial_states_known`]). Health checks pass from then on until a shutdown.
    ready: bool,
    /// When the program was told to shut down.
    shutdown_started_at: Option<Micros>,
    /// Path of the configuration file, which SIGHUP reloads.
    config_path: PathBuf,
}

/// Runs a gatekeeper until it is told to shut down and has answered or rejected the calls that it has
/// taken.
///
/// # Errors
/// Why it could not start, or a failure of the event loop.
pub fn serve(config: Config) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, Gatekeeper> =
        EventLoop::try_new().map_err(|error| format!("cannot create the event loop: {error}"))?;
    let loop_handle = event_loop.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|error| format!("cannot receive signals: {error}"))?;
    loop_handle
        .insert_source(signals, |event, _, gatekeeper: &mut Gatekeeper| match event.signal() {
            Signal::SIGHUP => gatekeeper.reload_config(),
            _ => gatekeeper.start_shutdown(),
        })
        .map_err(|error| format!("cannot receive signals: {}", error.error))?;
    let timer = Dispatcher::new(Timer::immediate(), |_, _, gatekeeper: &mut Gatekeeper| {
        // Makes the loop below set the timer again. The time of this iteration may have been read just before
        // the deadline; the timer event that is due then stays in the queue until the next iteration.
        gatekeeper.timer_deadline = None;
        TimeoutAction::ToDuration(IDLE_TIMER_INTERVAL)
    });
    let timer_token = loop_handle
        .register_dispatcher(timer.clone())
        .map_err(|error| format!("cannot create the timer: {error}"))?;

    let mut clock = Clock::start();
    let now = clock.now();
    let own_exchange = config.settings.own_exchange;
    let limits = config.resource_limits;
    let callers = Callers::listen(
        loop_handle.clone(),
        config.listen_address,
        limits.max_caller_connections,
        limits.caller_buffers,
        limits.pending_releases_to_callers,
    )
    .map_err(|error| format!("cannot listen on {}: {error}", config.listen_address))?;
    let mut gatekeeper = Gatekeeper {
        clock,
        call_control: CallControl::new(config.settings, config.names, config.call_limits, config.seed, now),
        callers,
        switches: Switches::new(
            loop_handle.clone(),
            config.switch_connect_timeout,
            config.switch_idle_timeout,
            own_exchange,
            limits.switches,
        ),
        feed: ControlFeed::new(loop_handle.clone(), config.feed_address, limits.max_feed_buffer_bytes),
        pending_reads: PendingReads::new(limits.max_input_bytes),
        timer_deadline: None,
        ready: false,
        shutdown_started_at: None,
        config_path: config.path,
    };
    gatekeeper.start_feed(config.known_events);
    gatekeeper.run_caller_maintenance();

    while !gatekeeper.complete_iteration() {
        let next_deadline = gatekeeper.call_control.next_deadline();
        gatekeeper.clock.end_iteration();
        if next_deadline.is_none() || next_deadline != gatekeeper.timer_deadline {
            gatekeeper.timer_deadline = next_deadline;
            // The queue is never empty in practice: the controller has a periodic timer.
            let instant = next_deadline.map_or_else(
                || Instant::now() + IDLE_TIMER_INTERVAL,
                |deadline| gatekeeper.clock.to_instant(deadline),
            );
            timer.as_source_mut().set_deadline(instant);
            loop_handle.update(&timer_token).map_err(|error| format!("cannot set the timer: {error}"))?;
        }
        let max_wait = if gatekeeper.pending_reads.is_empty() { None } else { Some(Duration::ZERO) };
        event_loop
            .dispatch(max_wait, &mut gatekeeper)
            .map_err(|error| format!("event loop failed: {error}"))?;
        gatekeeper.resume_reads();
    }
    log("stopped");
    Ok(())
}

impl Gatekeeper {
    /// Completes an iteration of the event loop: handles the timers that are due, passes the events to the
    /// controller if a batch is due, executes the resulting commands and sends the output. Returns true if
    /// the program is to exit.
    fn complete_iteration(&mut self) -> bool {
        let now = self.clock.now();
        self.pending_reads.start_iteration();
        while let Some(event) = self.call_control.timers.pop_due(now) {
            match event {
                TimerEvent::SwitchConnection(switch) => self.handle_switch_connection_timer(switch),
                TimerEvent::ControlFeed => self.handle_feed_timer(),
                TimerEvent::CallerMaintenance => self.run_caller_maintenance(),
                TimerEvent::CallerInput(connection) => {
                    self.pending_reads.push(PendingRead::Caller(connection))
                }
                TimerEvent::Shutdown => {
                    if self.shutdown_started_at.is_some_and(|start| now >= start + SHUTDOWN_REJECT_AFTER) {
                        self.call_control.reject_unanswered_calls(now);
                    }
                }
                other => self.call_control.handle_timer(now, other),
            }
        }
        self.call_control.run_batch(now);
        self.execute_commands();
        if !self.ready && self.switches.all_initial_states_known() {
            self.ready = true;
            log("ready");
        }
        if self.callers.has_pending_health_checks() && (self.ready || self.shutdown_started_at.is_some()) {
            // During a shutdown health checks fail, so that new calls are directed to another gatekeeper.
            self.callers.answer_health_checks(self.shutdown_started_at.is_none());
        }
        self.flush_connections();
        let is_finished = |start: Micros| {
            let flushed = self.callers.is_flushed() && self.switches.is_flushed();
            now >= start + MIN_SHUTDOWN_TIME && self.call_control.unanswered_count() == 0 && flushed
        };
        self.shutdown_started_at.is_some_and(|start| is_finished(start) || now >= start + MAX_SHUTDOWN_TIME)
    }

    /// Continues to read connections that had more input than was read at once. Readiness is edge-triggered,
    /// so the event loop does not report it again.
    fn resume_reads(&mut self) {
        let mut not_read = Vec::new();
        for pending_read in self.pending_reads.take() {
            match pending_read {
                PendingRead::Caller(connection) if !self.may_read_caller(connection) => {
                    not_read.push(pending_read);
                }
                PendingRead::Caller(connection) => self.read_caller(connection),
                PendingRead::Switch(switch) => self.handle_switch_readiness(switch),
                PendingRead::Feed => self.handle_feed_readiness(),
            }
        }
        self.pending_reads.put_back(not_read);
    }

    fn execute_commands(&mut self) {
        let now = self.clock.now();
        // A command can cause further commands, for example if its switch cannot be reached.
        while !self.call_control.commands.is_empty() {
            for command in std::mem::take(&mut self.call_control.commands) {
                match command {
                    Command::SetUp {
                        switch,
                        tag,
                        class,
                        called_number,
                        deadline,
                        session_description,
                        withdrawn,
                        bound_to_exchange,
                    } => {
                        withdrawn.into_iter().for_each(|attempt| self.end_withdrawn_attempt(tag, attempt));
                        let message =
                            switches::set_up_message(tag, class, called_number, session_description);
                        self.send_set_up(switch, SetUp { tag, message, deadline, bound_to_exchange });
                    }
                    Command::ReleaseAtSwitch { switch, tag } => self.switches.release(now, switch, tag),
                    Command::WithdrawAttempt { tag, attempt, next } => {
                        self.withdraw_attempt(tag, attempt, next);
                    }
                    Command::ReleaseAtAllSwitches(tag) => self.switches.release_at_all(now, tag),
                    Command::Probe { switch, tag } => self.switches.probe(switch, tag),
                    Command::Answer { connection, tag, session_description } => {
                        self.callers.answer(now, connection, tag, session_description);
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

    /// Sends the output of all connections and closes those that have failed or ended.
    fn flush_connections(&mut self) {
        self.flush_callers();
        self.enforce_caller_buffer_limit();
        for switch in self.switches.flush() {
            self.lose_open_connection(switch, false);
        }
        if !self.feed.flush() {
            self.close_feed_connection("connection failed", 0);
        }
    }

    /// Reloads the configuration file. Only the address of the control feed and the known events take effect;
    /// everything else in the file takes effect at the next start. Event numbers continue, and the calls and
    /// the connections stay.
    fn reload_config(&mut self) {
        match Config::load(&self.config_path) {
            Ok(config) => {
                log("configuration reloaded: only `feed` and `known` take effect");
                self.reconfigure_feed(config.feed_address, config.known_events);
            }
            // The file may be invalid or only partly written. The gatekeeper goes on unchanged.
            Err(error) => log(&format!("configuration not reloaded: {error}")),
        }
    }

    fn start_shutdown(&mut self) {
        if self.shutdown_started_at.is_some() {
            return;
        }
        let now = self.clock.now();
        log(&format!("shutting down: {} unanswered calls", self.call_control.unanswered_count()));
        self.shutdown_started_at = Some(now);
        for delay in [MIN_SHUTDOWN_TIME, SHUTDOWN_REJECT_AFTER, MAX_SHUTDOWN_TIME] {
            self.call_control.timers.push(now + delay, TimerEvent::Shutdown);
        }
    }
}
