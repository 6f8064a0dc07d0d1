//! Tests call control with its controller and the settings of the recorded exchanges, but without sockets.

use super::ended_tags::ENDED_TAG_RETENTION;
use super::*;
use crate::interface::{Health, SwitchEntry};
use crate::settings::{build_settings, flatten_json};

const CALLER: ConnectionId = ConnectionId(1);
const TRUSTED_CALLER: Caller = Caller { connection: CALLER, is_trusted: true };
const SWITCH: SwitchId = SwitchId(11);
const CONNECTION: SwitchConnectionId = SwitchConnectionId(21);

/// Call control of exchange 0 that knows a switch of exchange 1 with free circuits, at a time of 10 s.
struct Fixture {
    call_control: CallControl,
    now: Micros,
}

impl Fixture {
    fn new() -> Self {
        let config: serde_json::Value =
            serde_json::from_str(include_str!("../../tests/exchanges/config.json")).unwrap();
        let (settings, names) = build_settings(&flatten_json(&config["settings"])).unwrap();
        let now = 10_000 * MILLISECOND;
        let limits = CallLimits {
            max_calls: 100,
            max_description_bytes: 10_000,
            max_caller_timeout: 9_000 * MILLISECOND,
            circuits_by_class: vec![1.0],
        };
        let mut call_control = CallControl::new(settings, names, limits, 7, now);
        let listed = [(0, 10), (1, 11)].map(|(exchange_number, switch)| SwitchEntry {
            switch: SwitchId(switch),
            zone_index: 0,
            exchange_number,
            health: Health::InService,
            up_since: None,
        });
        call_control.handle_switch_list(SwitchListUpdate::Full(listed.into()));
        let report = LoadReport { free_circuits: Some(9.0), group_size: Some(9.0), ..LoadReport::default() };
        call_control.handle_load_report(SWITCH, report);
        let mut fixture = Fixture { call_control, now };
        assert_eq!(fixture.run_iteration(), []);
        fixture
    }

    fn run_due_timers(&mut self) {
        while let Some(event) = self.call_control.timers.pop_due(self.now) {
            self.call_control.handle_timer(self.now, event);
        }
    }

    /// Runs the due timers and a batch, as one iteration of the event loop does, and takes the set-ups for
    /// written to the connection; returns the commands.
    fn run_iteration(&mut self) -> Vec<Command> {
        self.run_due_timers();
        self.call_control.run_batch(self.now);
        let commands = std::mem::take(&mut self.call_control.commands);
        for command in &commands {
            if let Command::SetUp { switch, tag, .. } = command {
                self.call_control.handle_set_up_written(*switch, *tag, CONNECTION);
            }
        }
        commands
    }

    /// Runs an iteration each millisecond until one has commands.
    fn run_until_commands(&mut self) -> Vec<Command> {
        for _ in 0..10_000 {
            self.now += MILLISECOND;
            let commands = self.run_iteration();
            if !commands.is_empty() {
                return commands;
            }
        }
        panic!("no command within 10 s");
    }

    /// A set-up to exchange 1.
    fn set_up(&self, tag: Tag) -> SetUp {
        SetUp {
            tag,
            class: "check".into(),
            called_number: format!("n{tag}"),
            caller_timeout: 3000 * MILLISECOND,
            destination: 1,
            circuits: 1.0,
            via_exchange: -1,
            ..SetUp::default()
        }
    }

    /// Passes a set-up to call control and runs the next batch; returns the commands.
    fn offer(&mut self, set_up: SetUp) -> Vec<Command> {
        self.call_control.handle_set_up(self.now, TRUSTED_CALLER, set_up).unwrap();
        self.now += 10 * MILLISECOND;
        self.run_iteration()
    }

    fn set_up_call(&mut self, tag: Tag, caller_timeout: Micros) -> Vec<Command> {
        let set_up = SetUp { caller_timeout, ..self.set_up(tag) };
        self.offer(set_up)
    }

    fn set_up_answered_call(&mut self, tag: Tag) {
        let commands = self.set_up_call(tag, 3000 * MILLISECOND);
        assert!(matches!(commands[..], [Command::SetUp { .. }]), "{commands:?}");
        self.call_control.handle_answer(self.now, SWITCH, CONNECTION, tag, None);
        assert_eq!(
            self.run_iteration(),
            [Command::Answer { connection: CALLER, tag, session_description: None }]
        );
    }
}

/// The controller rejects a call 10 ms before its caller gives up. A batch may contain both the answer and
/// the timer of the rejection; the caller must not get a rejection after the answer.
#[test]
fn call_answered_in_the_batch_of_its_rejection_is_not_rejected() {
    let mut fixture = Fixture::new();
    fixture.set_up_call(1, 300 * MILLISECOND);
    fixture.now += 285 * MILLISECOND;
    fixture.run_due_timers();
    fixture.call_control.handle_answer(fixture.now, SWITCH, CONNECTION, 1, None);
    assert_eq!(
        fixture.run_iteration(),
        [Command::Answer { connection: CALLER, tag: 1, session_description: None }]
    );
    assert_eq!(fixture.call_control.unanswered_count(), 0);
}

#[test]
fn call_is_released_at_the_switch_before_the_rejection_and_again_after_a_late_answer() {
    let mut fixture = Fixture::new();
    fixture.set_up_call(1, 300 * MILLISECOND);
    let commands = fixture.run_until_commands();
    let reject = Command::Reject { connection: CALLER, tag: 1, cause: cause::TEMPORARY_FAILURE, back_off: 0 };
    let attempt = WithdrawnAttempt { switch: SWITCH, connection: Some(CONNECTION) };
    let next = AfterWithdrawal::MayBeSentAgain;
    let withdrawal = Command::WithdrawAttempt { tag: 1, attempt, next };
    assert_eq!(commands, [withdrawal, reject]);
    fixture.call_control.handle_answer(fixture.now, SWITCH, CONNECTION, 1, None);
    assert_eq!(fixture.run_iteration(), [Command::ReleaseAtSwitch { switch: SWITCH, tag: 1 }]);
}

/// Guards against attempts that are taken for ended because another connection to their switch has ended: the
/// call was sent again while its attempt was still in progress.
#[test]
fn a_lost_connection_ends_only_the_attempts_whose_set_ups_were_written_to_it() {
    let mut fixture = Fixture::new();
    // Both are sent at the same time. The second is written to the connection that has taken over.
    for tag in [1, 2] {
        let set_up = fixture.set_up(tag);
        fixture.call_control.handle_set_up(fixture.now, TRUSTED_CALLER, set_up).unwrap();
    }
    fixture.now += 10 * MILLISECOND;
    fixture.run_iteration();
    let successor = SwitchConnectionId(CONNECTION.0 + 1);
    fixture.call_control.handle_set_up_written(SWITCH, 2, successor);
    fixture.call_control.handle_connection_lost(SWITCH, CONNECTION);
    assert!(!fixture.call_control.has_attempts_on(CONNECTION));
    assert!(fixture.call_control.has_attempts_on(successor));
    assert_eq!(fixture.run_iteration(), [Command::ReleaseAtSwitch { switch: SWITCH, tag: 1 }]);
    let commands = fixture.run_until_commands();
    assert!(matches!(commands[..], [Command::SetUp { tag: 1, .. }]), "{commands:?}");
}

#[test]
fn call_whose_connection_is_reset_is_repeated_once_after_the_release_wait() {
    let mut fixture = Fixture::new();
    fixture.set_up_call(1, 3000 * MILLISECOND);
    fixture.call_control.handle_connection_lost(SWITCH, CONNECTION);
    let reset_at = fixture.now;
    assert_eq!(fixture.run_iteration(), [Command::ReleaseAtSwitch { switch: SWITCH, tag: 1 }]);
    let commands = fixture.run_until_commands();
    assert!(matches!(commands[..], [Command::SetUp { tag: 1, .. }]), "{commands:?}");
    assert!(fixture.now - reset_at >= 500 * MILLISECOND);
    // The controller may decide on an older state of the call: no second attempt is sent beside the first.
    fixture.call_control.send_attempt(fixture.now, CallId(1), SWITCH, MILLISECOND);
    assert_eq!(std::mem::take(&mut fixture.call_control.commands), []);
}

#[test]
fn events_wait_until_the_batch_interval_has_passed() {
    let mut fixture = Fixture::new();
    let report = LoadReport { free_circuits: Some(8.0), ..LoadReport::default() };
    fixture.call_control.handle_load_report(SWITCH, report);
    fixture.now += MILLISECOND;
    fixture.run_iteration();
    assert_eq!(fixture.call_control.pending_events.len(), 1);
    assert_eq!(fixture.call_control.next_deadline(), Some(fixture.now + 4 * MILLISECOND));
    fixture.now += 4 * MILLISECOND;
    fixture.run_iteration();
    assert_eq!(fixture.call_control.pending_events.len(), 0);
}

#[test]
fn switch_failure_ends_the_answered_calls_that_were_sent_before_it() {
    let mut fixture = Fixture::new();
    fixture.set_up_answered_call(1);
    fixture.now += 100 * MILLISECOND;
    let failed_at = fixture.now;
    fixture.now += 100 * MILLISECOND;
    fixture.set_up_answered_call(2);
    fixture.call_control.handle_switch_down(fixture.now, SWITCH, failed_at);
    let release =
        Command::ReleaseToCaller { connection: Some(CALLER), tag: 1, cause: cause::TEMPORARY_FAILURE };
    assert_eq!(fixture.run_iteration(), [Command::ReleaseAtSwitch { switch: SWITCH, tag: 1 }, release]);
    assert!(fixture.call_control.has_calls_at(SWITCH), "the second call is still up");
}

#[test]
fn release_of_an_unknown_call_is_passed_on_once_and_its_tag_is_kept_for_the_retention_time() {
    let mut fixture = Fixture::new();
    let release = || Release {
        cause: cause::NORMAL_CLEARING,
        reason: EndReason::Unknown,
        report: LoadReport::default(),
    };
    let command = Command::ReleaseToCaller { connection: None, tag: 5, cause: cause::NORMAL_CLEARING };
    fixture.call_control.handle_switch_release(fixture.now, SWITCH, CONNECTION, 5, release());
    fixture.call_control.handle_switch_release(fixture.now, SWITCH, CONNECTION, 5, release());
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 5);
    assert_eq!(fixture.run_iteration(), [command]);
    fixture.now += ENDED_TAG_RETENTION + MILLISECOND;
    fixture.run_iteration();
    assert!(fixture.call_control.ended_tags.is_empty());
}

#[test]
fn set_up_is_rejected_without_the_controller_when_the_call_table_is_full() {
    let mut fixture = Fixture::new();
    fixture.call_control.limits.max_calls = 1;
    fixture.set_up_call(1, 3000 * MILLISECOND);
    let reject = Command::Reject {
        connection: CALLER,
        tag: 2,
        cause: cause::CONGESTION,
        back_off: CONGESTION_BACK_OFF,
    };
    assert_eq!(fixture.set_up_call(2, 3000 * MILLISECOND), [reject]);
}

/// The descriptions of unanswered calls take memory: their total is limited, and the bytes of a call no
/// longer count once it is answered or released.
#[test]
fn description_bytes_of_unanswered_calls_are_limited() {
    let mut fixture = Fixture::new();
    // Room for one description of 7 bytes, not for two.
    fixture.call_control.limits.max_description_bytes = 10;
    let set_up_with_description = |fixture: &mut Fixture, tag: Tag| {
        let set_up = SetUp { session_description: Some("v=0 s=-".to_string()), ..fixture.set_up(tag) };
        fixture.offer(set_up)
    };
    assert!(matches!(set_up_with_description(&mut fixture, 1)[..], [Command::SetUp { tag: 1, .. }]));
    assert!(matches!(set_up_with_description(&mut fixture, 2)[..], [Command::Reject { tag: 2, .. }]));
    fixture.call_control.handle_answer(fixture.now, SWITCH, CONNECTION, 1, None);
    fixture.run_iteration();
    assert!(matches!(set_up_with_description(&mut fixture, 3)[..], [Command::SetUp { tag: 3, .. }]));
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 3);
    assert_eq!(fixture.call_control.unanswered.description_bytes(), 0);
}

#[test]
fn probe_without_an_answer_times_out_and_a_late_answer_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.call_control.actions.push(Action::Probe(SWITCH));
    fixture.call_control.execute_actions(fixture.now);
    let commands = std::mem::take(&mut fixture.call_control.commands);
    let [Command::Probe { switch: SWITCH, tag }] = commands[..] else { panic!("{commands:?}") };
    fixture.now += PROBE_TIMEOUT;
    fixture.call_control.handle_timer(fixture.now, TimerEvent::ProbeTimeout(tag));
    fixture.call_control.handle_probe_result(fixture.now, tag, true, LoadReport::default());
    assert!(matches!(
        fixture.call_control.pending_events[..],
        [Event::SwitchStatus { answered: false, round_trip: PROBE_TIMEOUT, .. }]
    ));
}

/// Guards against timers that outlive their call: 90,000 refused set-ups a second, each with a timer that
/// ran until its caller's deadline, took the program over its memory limit.
#[test]
fn ended_calls_leave_no_timers() {
    let mut fixture = Fixture::new();
    let timers_before = fixture.call_control.timers.len();
    // Refused at once: no switch serves the destination.
    let refused = SetUp { destination: 99, ..fixture.set_up(1) };
    assert!(matches!(fixture.offer(refused)[..], [Command::Reject { tag: 1, .. }]));
    let transit = SetUp { destination: 99, via_exchange: 1, transit: true, ..fixture.set_up(2) };
    assert!(matches!(fixture.offer(transit)[..], [Command::Reject { tag: 2, .. }]));
    // Withdrawn, before and after its set-up was sent.
    let withdrawn = fixture.set_up(3);
    fixture.call_control.handle_set_up(fixture.now, TRUSTED_CALLER, withdrawn).unwrap();
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 3);
    let withdrawn = fixture.set_up(4);
    assert!(matches!(fixture.offer(withdrawn)[..], [Command::SetUp { tag: 4, .. }]));
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 4);
    // Refused by the switch, and answered.
    let congested = fixture.set_up(5);
    fixture.offer(congested);
    let release = Release {
        cause: cause::NO_CIRCUIT,
        reason: EndReason::ProcessorCongested(0),
        report: LoadReport::default(),
    };
    fixture.call_control.handle_switch_release(fixture.now, SWITCH, CONNECTION, 5, release);
    fixture.now += 10 * MILLISECOND;
    assert!(matches!(fixture.run_iteration()[..], [Command::Reject { tag: 5, .. }]));
    fixture.set_up_answered_call(6);
    // Reset, and withdrawn while it waits for the next attempt.
    let reset = fixture.set_up(7);
    fixture.offer(reset);
    fixture.call_control.handle_connection_lost(SWITCH, CONNECTION);
    fixture.now += 10 * MILLISECOND;
    fixture.run_iteration();
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 7);
    fixture.now += 10 * MILLISECOND;
    fixture.run_iteration();
    assert_eq!(fixture.call_control.timers.len(), timers_before);
}

/// Guards against callers that take the whole call table, or all room for session descriptions, before the
/// controller has seen their calls: set-ups of other callers were rejected.
#[test]
fn a_caller_finds_room_beside_callers_that_hold_all_they_may() {
    let mut fixture = Fixture::new();
    let description = "v".repeat(500);
    for tag in 1..=1000 {
        let flooding = Caller { connection: ConnectionId(2 + tag % 5), is_trusted: false };
        let set_up = SetUp { session_description: Some(description.clone()), ..fixture.set_up(tag) };
        fixture.call_control.handle_set_up(fixture.now, flooding, set_up).unwrap();
    }
    fixture.call_control.commands.clear();
    for (tag, is_trusted) in [(2001, false), (2002, true)] {
        let caller = Caller { connection: ConnectionId(tag), is_trusted };
        let set_up = SetUp { session_description: Some(description.clone()), ..fixture.set_up(tag) };
        fixture.call_control.handle_set_up(fixture.now, caller, set_up).unwrap();
    }
    assert_eq!(fixture.call_control.commands, [], "no set-up is rejected");
}

#[test]
fn a_connection_without_unanswered_calls_keeps_no_entry() {
    let mut fixture = Fixture::new();
    fixture.set_up_answered_call(1);
    let unanswered = fixture.set_up(2);
    fixture.offer(unanswered);
    assert_eq!(fixture.call_control.unanswered_count_of(CALLER), 1);
    assert_eq!(fixture.call_control.unanswered_call(CALLER), Some(2));
    fixture.call_control.handle_caller_disconnect(fixture.now, CALLER);
    assert_eq!(fixture.call_control.unanswered_count(), 0);
    assert_eq!(fixture.call_control.unanswered_count_of(CALLER), 0);
    assert!(fixture.call_control.has_calls_at(SWITCH), "the answered call stays");
}

/// Guards against refused calls that displace the tags of calls that a switch knows: the late answer of a
/// withdrawn call was not released, and the call stayed up at the switch.
#[test]
fn a_late_answer_is_released_after_a_flood_of_refused_calls() {
    let mut fixture = Fixture::new();
    fixture.set_up_call(1, 3000 * MILLISECOND);
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 1);
    for tag in 2..2000 {
        let refused = SetUp { destination: 99, ..fixture.set_up(tag) };
        fixture.offer(refused);
    }
    assert!(fixture.call_control.ended_tags.len() <= 201, "the call table holds 100 calls");
    fixture.call_control.handle_answer(fixture.now, SWITCH, CONNECTION, 1, None);
    assert_eq!(fixture.call_control.commands, [Command::ReleaseAtSwitch { switch: SWITCH, tag: 1 }]);
}

/// Guards against callers that release calls at random: each release went to every switch, and the switches
/// were too busy for the calls of others.
#[test]
fn releases_of_unknown_calls_are_limited_and_leave_those_of_trusted_callers_through() {
    let mut fixture = Fixture::new();
    let flooding = Caller { connection: ConnectionId(2), is_trusted: false };
    for tag in 1..10_000 {
        fixture.call_control.handle_caller_release(fixture.now, flooding, tag);
    }
    let commands = std::mem::take(&mut fixture.call_control.commands);
    assert_eq!(commands.len(), 12, "an eighth of the 100 calls that the call table holds");
    fixture.call_control.handle_caller_release(fixture.now, TRUSTED_CALLER, 20_000);
    fixture.call_control.handle_caller_release(fixture.now, flooding, 20_001);
    assert_eq!(fixture.call_control.commands, [Command::ReleaseAtAllSwitches(20_000)]);
    fixture.now += SECOND;
    fixture.call_control.handle_caller_release(fixture.now, flooding, 20_002);
    assert_eq!(fixture.call_control.commands[1..], [Command::ReleaseAtAllSwitches(20_002)]);
}

/// Offers a call with this tag whose set-up is never sent.
type NeverSent = fn(&mut Fixture, Tag);

/// Guards against a group that is taken for full because of set-ups that were never sent: their callers have left in the
/// batch of the set-up, or the set-ups are too long. No load report puts that right, as the group has not changed.
#[test]
fn set_ups_that_were_never_sent_leave_their_circuits_to_others() {
    let leave_at_once = |fixture: &mut Fixture, tag: Tag| {
        fixture.call_control.handle_set_up(fixture.now, TRUSTED_CALLER, fixture.set_up(tag)).unwrap();
        fixture.call_control.handle_caller_disconnect(fixture.now, CALLER);
        fixture.now += 10 * MILLISECOND;
        assert_eq!(fixture.run_iteration(), []);
    };
    let exceed_the_limit = |fixture: &mut Fixture, tag: Tag| {
        let commands = fixture.set_up_call(tag, 3000 * MILLISECOND);
        assert!(matches!(commands[..], [Command::SetUp { .. }]), "{commands:?}");
        fixture.call_control.fail_oversized_set_up(SWITCH, tag);
        fixture.now += 10 * MILLISECOND;
        assert!(matches!(fixture.run_iteration()[..], [Command::Reject { .. }]));
    };
    let ways: [NeverSent; 2] = [leave_at_once, exceed_the_limit];
    for never_sent in ways {
        let mut fixture = Fixture::new();
        (1..=20).for_each(|tag| never_sent(&mut fixture, tag));
        let commands = fixture.set_up_call(21, 3000 * MILLISECOND);
        assert!(matches!(commands[..], [Command::SetUp { tag: 21, .. }]), "{commands:?}");
    }
}
