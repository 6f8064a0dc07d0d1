//! The decision module by itself, driven through its events: the rules for set-ups and final responses, the
//! routing, the overload control, and faults found earlier.

mod common;
use common::{CLOCK_STEP, Harness, list_entry, millis, secs};
use std::ops::Range;
use wheatpier::interface::*;

const SWITCH_101_SUSPECTED: &str = "switch 101 does not answer: trial calls only";

#[test]
fn a_call_goes_direct_while_its_group_has_room() {
    let mut harness = Harness::new(|_| {});
    assert_eq!(harness.new_call(1, 1), vec![101]);
}

#[test]
fn a_blocked_call_takes_one_tandem_and_a_transit_call_only_its_direct_group() {
    let mut harness = Harness::new(|_| {});
    harness.report_free_circuits(101, 0.0);
    assert_eq!(harness.new_call(1, 1), vec![102]);
    // A transit call goes on to its destination or is turned back; it never takes another tandem.
    harness.new_transit_call(2, 1);
    assert!(harness.switches_tried(2).is_empty() && harness.has_final_response(2));
    harness.report_free_circuits(101, 29.0);
    harness.new_transit_call(3, 1);
    assert_eq!(harness.switches_tried(3), vec![101]);
}

#[test]
fn trunk_reservation_keeps_circuits_from_tandem_traffic_and_grows_with_blocking() {
    let mut harness = Harness::new(|_| {});
    harness.report_free_circuits(101, 0.0);
    harness.report_free_circuits(102, 1.0);
    assert!(harness.new_call(1, 1).is_empty(), "a call over a tandem took the reserved circuit");
    harness.report_free_circuits(102, 4.0);
    assert_eq!(harness.new_call(2, 1), vec![102]);
    // Direct calls to exchange 2 are blocked, which raises the reservation in its group above four circuits.
    harness.report_free_circuits(102, 0.0);
    for id in 10..20 {
        harness.new_call(id, 2);
    }
    harness.report_free_circuits(102, 4.0);
    harness.advance(millis(1200));
    assert!(harness.new_call(30, 1).is_empty());
}

#[test]
fn no_call_goes_to_a_switch_that_drains_or_has_left_the_list() {
    let mut harness = Harness::new(|_| {});
    harness.update_switch(101, 1, Health::Draining, None);
    assert!(harness.new_call(1, 1).is_empty() && harness.has_final_response(1));
    harness.update_switch(101, 1, Health::InService, None);
    assert_eq!(harness.new_call(2, 1), vec![101]);
    harness.handle(Event::SwitchList(SwitchListUpdate::Full(vec![])));
    assert!(harness.new_call(3, 1).is_empty() && harness.has_final_response(3));
}

#[test]
fn an_unanswered_call_gets_one_final_response_before_its_deadline() {
    let mut harness = Harness::new(|_| {});
    assert_eq!(harness.new_call(1, 1), vec![101]);
    harness.advance(secs(5));
    assert_eq!(harness.final_response_count(1), 1);
    assert!(harness.final_response_time(1) < harness.deadline(1));
}

#[test]
fn after_a_reset_the_next_attempt_waits_for_the_release() {
    let mut harness = Harness::new(|_| {});
    harness.new_call(1, 1);
    let reset_at = harness.now;
    harness.end_attempt(1, 0, 101, Outcome::Reset, EndReason::Unknown, false);
    harness.advance(secs(1));
    let second_set_up = harness.set_ups_of(1).nth(1).expect("a second attempt");
    // The release wait in the settings is 200 ms.
    assert!(second_set_up.sent_at >= reset_at + millis(200));
}

#[test]
fn a_cold_processor_gets_a_share_of_its_warm_traffic() {
    let mut harness = Harness::new(|_| {});
    let mut id = 0;
    for _ in 0..200 {
        id += 1;
        harness.new_call(id, 1);
        harness.answer(id, 0, millis(60));
        harness.advance(millis(100));
    }
    let warm_set_ups = harness.set_ups.len();
    let started_at = harness.now;
    harness.update_switch(101, 1, Health::Gone, None);
    harness.update_switch(201, 1, Health::InService, Some(started_at));
    for _ in 0..40 {
        id += 1;
        harness.new_call(id, 1);
        harness.answer(id, 0, millis(60));
        harness.advance(millis(100));
    }
    let cold_set_ups = harness.set_ups.len() - warm_set_ups;
    // The warm processor got 10 calls per second. The cold one may get 2 x 0.3 of that at first
    // (cold_overload_factor x cold_capacity_share), and a little more by the end of the 4 s.
    assert!((8..=26).contains(&cold_set_ups), "{cold_set_ups} set-ups to the cold processor");
}

#[test]
fn processors_replaced_one_after_the_other_still_get_their_share() {
    // The share of a cold processor depends on the traffic of its warm predecessors. If that average faded
    // while each new processor is cold, almost no calls would be left after a few replacements.
    let mut harness = Harness::new(|_| {});
    let mut id = 0;
    let mut set_up_counts = vec![];
    let mut switch = 101;
    for replacements in 0..4 {
        if replacements > 0 {
            let started_at = harness.now;
            harness.update_switch(switch, 1, Health::Gone, None);
            switch = 201 + replacements;
            harness.update_switch(switch, 1, Health::InService, Some(started_at));
        }
        let set_ups_before = harness.set_ups.len();
        for _ in 0..80 {
            id += 1;
            harness.new_call(id, 1);
            harness.answer_if_pending(id, millis(60));
            harness.advance(millis(100));
        }
        set_up_counts.push(harness.set_ups.len() - set_ups_before);
    }
    // The warm processor gets all 80 calls. Each cold one gets 2 x 0.3 of them at first and a growing share
    // within its 8 s.
    let cold_counts_in_range = set_up_counts[1..].iter().all(|count| (45..80).contains(count));
    assert!(set_up_counts[0] == 80 && cold_counts_in_range, "{set_up_counts:?}");
}

#[test]
fn a_processor_that_does_not_answer_gets_single_trial_calls_until_it_answers() {
    // The reject ratio is at most 0.9. By itself it would let a processor that takes set-ups and answers none
    // keep getting a tenth of the calls.
    let mut harness = Harness::new(|_| {});
    let mut id = 100;
    for _ in 0..40 {
        // Answers of another processor show that the own processor is not the cause.
        id += 1;
        harness.new_call(id, 2);
        harness.answer(id, 0, millis(60));
        id += 1;
        harness.new_call(id, 1);
        harness.advance(millis(150));
        harness.time_out_attempts(101);
    }
    assert!(harness.has_logged(SWITCH_101_SUSPECTED));
    let set_ups_before = harness.set_ups_at(101).count();
    for _ in 0..30 {
        id += 1;
        harness.new_call(id, 1);
        harness.advance(millis(100));
        harness.time_out_attempts(101);
    }
    let trials: Vec<u64> = harness.set_ups_at(101).skip(set_ups_before).map(|set_up| set_up.call).collect();
    assert!((1..=4).contains(&trials.len()), "{} trial calls in 3 s", trials.len());
    let last_trial = *trials.last().unwrap();
    if harness.has_pending_attempt(last_trial) {
        harness.answer(last_trial, 0, millis(60));
    } else {
        let trial = harness.offer_until_sent(101, 1, 5000);
        harness.answer(trial, 0, millis(60));
    }
    assert!(harness.has_logged("switch 101 answers again"));
}

#[test]
fn trial_calls_come_more_often_where_the_set_up_target_is_shorter() {
    // With targets of half a second, trial calls up to two seconds apart led to the rejection of nearly all
    // calls to a processor that had been silent for a moment.
    let longest_trial_interval = |set_up_target: Micros| {
        let mut harness = Harness::new(|settings| settings.classes[0].set_up_target = set_up_target);
        for id in 1..100 {
            // Answers of another processor show that the own processor is not the cause.
            harness.new_call(1000 + id, 2);
            harness.answer_if_pending(1000 + id, millis(60));
            harness.new_call(id, 1);
            harness.advance(millis(150));
            harness.time_out_attempts(101);
        }
        assert!(harness.has_logged(SWITCH_101_SUSPECTED));
        let sent_at: Vec<Micros> = harness.set_ups_at(101).map(|set_up| set_up.sent_at).collect();
        sent_at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap()
    };
    let with_usual_target = longest_trial_interval(millis(1500));
    let with_short_target = longest_trial_interval(millis(375));
    assert!(with_usual_target > 2 * with_short_target, "{with_usual_target} and {with_short_target} us");
}

#[test]
fn set_ups_lost_with_a_connection_do_not_make_their_processor_suspected() {
    // Set-ups that were lost with a connection time out one by one, even after the processor has answered on
    // a new connection. Without that answer the same time-outs make it suspected.
    for answered in [true, false] {
        let mut harness = Harness::new(|_| {});
        harness.run_steady_traffic(100..130, millis(60), millis(100));
        for id in 1..=5 {
            harness.new_call(id, 1);
        }
        harness.advance(millis(200));
        // An answer on a new connection is passed to the controller as an answered probe.
        harness.handle(Event::SwitchStatus {
            switch: SwitchId(101),
            answered,
            round_trip: millis(20),
            report: LoadReport::default(),
        });
        // A call answered after the lost set-ups were sent shows that the own processor is not the cause.
        harness.run_steady_traffic(130..131, millis(60), millis(1800));
        harness.time_out_attempts(101);
        assert_eq!(harness.has_logged(SWITCH_101_SUSPECTED), !answered);
    }
}

#[test]
fn all_resets_by_one_broken_connection_count_as_one_unanswered_attempt() {
    // One malformed answer closes the connection, which resets all attempts on it. If each counted, a working
    // processor would be suspected.
    let mut harness = Harness::new(|_| {});
    let reset_calls = |harness: &mut Harness, ids: Range<u64>| {
        for id in ids.clone() {
            harness.new_call(id, 1);
        }
        for id in ids {
            harness.end_attempt(id, 0, 101, Outcome::Reset, EndReason::Unknown, false);
        }
    };
    reset_calls(&mut harness, 1..5);
    assert!(harness.log_lines.is_empty(), "{:?}", harness.log_lines);
    // If the connection breaks again without an answer in between, the processor is taken to be down.
    harness.advance(millis(50));
    reset_calls(&mut harness, 5..7);
    assert!(harness.has_logged(SWITCH_101_SUSPECTED));
}

#[test]
fn delay_at_all_far_processors_at_once_is_own_overload_and_none_is_suspected() {
    // A wait at the own processor makes every far processor look slow.
    let mut harness = Harness::new(|_| {});
    harness.run_steady_traffic(1..60, millis(60), millis(100));
    harness.run_steady_traffic(100..160, millis(900), millis(50));
    assert!(harness.rejected_count > 5, "{} calls rejected", harness.rejected_count);
    assert!(harness.log_lines.iter().all(|line| !line.contains("does not answer")));
}

#[test]
fn traffic_that_moves_to_a_more_distant_exchange_is_not_taken_for_own_overload() {
    // If the own processor's base delay were that of the nearest exchange, calls that all go to a more
    // distant exchange would look like pressure on the own processor, and be rejected while it is idle.
    let mut harness = Harness::new(|_| {});
    let mut id = 0;
    let mut run_calls = |harness: &mut Harness, to_near_exchange_too: bool| {
        for _ in 0..60 {
            if to_near_exchange_too {
                id += 1;
                harness.new_call(id, 1);
                harness.answer(id, 0, millis(20));
            }
            id += 1;
            assert_eq!(harness.new_call(id, 2), vec![102]);
            harness.answer(id, 0, millis(80));
            harness.advance(millis(50));
        }
    };
    run_calls(&mut harness, true);
    run_calls(&mut harness, false);
    assert!(!harness.has_logged("own processor overloaded"));
}

#[test]
fn a_slow_far_processor_is_throttled_and_the_others_are_not() {
    let mut harness = Harness::new(|_| {});
    harness.run_steady_traffic(1..80, millis(60), millis(100));
    let mut rejected_to_slow = 0;
    let mut rejected_to_other = 0;
    for id in 200..300 {
        let destination = 1 + (id % 2) as i64;
        let is_slow = destination == 1;
        let tried = harness.new_call(id, destination);
        if tried.is_empty() && harness.has_final_response(id) {
            let rejected = if is_slow { &mut rejected_to_slow } else { &mut rejected_to_other };
            *rejected += 1;
        }
        harness.answer_if_pending(id, if is_slow { millis(900) } else { millis(60) });
        harness.advance(millis(60));
    }
    assert!(
        rejected_to_slow > 5 && rejected_to_other == 0,
        "rejected: {rejected_to_slow} to the slow one, {rejected_to_other} to the other"
    );
}

#[test]
fn without_new_samples_the_reject_ratio_falls_slowly() {
    // Rejected calls give no delay samples, and the pressure decays without samples. If the reject ratio fell
    // as fast, all calls would be admitted at once and overload the processor again.
    let mut harness = Harness::new(|_| {});
    harness.run_steady_traffic(1..60, millis(60), millis(100));
    harness.run_steady_traffic(100..160, millis(1200), millis(50));
    harness.advance(millis(600));
    let rejected_before = harness.rejected_count;
    for id in 300..340 {
        harness.new_call(id, 1 + (id % 2) as i64);
    }
    assert!(harness.rejected_count > rejected_before, "no calls rejected shortly after the last sample");
    harness.advance(secs(6));
    let rejected_before = harness.rejected_count;
    for id in 400..420 {
        harness.new_call(id, 1 + (id % 2) as i64);
    }
    assert_eq!(harness.rejected_count, rejected_before, "calls still rejected 6 s later");
}

#[test]
fn a_rejection_has_a_back_off_well_within_the_set_up_target() {
    // A redial after the set-up target has a quarter of the value and takes as much work to decide on.
    let mut harness = Harness::new(|_| {});
    harness.handle(Event::SwitchList(SwitchListUpdate::Full(vec![])));
    harness.new_call(1, 1);
    // A quarter of the set-up target, which is 1500 ms.
    assert_eq!(harness.back_offs, vec![millis(375)]);
}

#[test]
fn a_busy_number_gets_no_calls_for_a_while_but_its_exchange_does() {
    let mut harness = Harness::new(|_| {});
    harness.new_call_to(1, 1, "hot");
    harness.end_attempt(1, 0, 101, Outcome::Failed, EndReason::SubscriberBusy, false);
    assert!(harness.new_call_to(2, 1, "hot").is_empty());
    assert_eq!(harness.new_call_to(3, 1, "other"), vec![101]);
    // The first wait is 1 s.
    harness.advance(millis(1100));
    assert_eq!(harness.new_call_to(4, 1, "hot"), vec![101]);
}

#[test]
fn a_tandem_that_rejected_a_call_is_avoided_for_its_destination_for_longer_each_time() {
    // In a mesh of many exchanges most groups from a tandem to a destination are full or do not exist, and
    // each attempt in vain loads three processors.
    let mut harness = Harness::new(|_| {});
    harness.report_free_circuits(101, 0.0);
    assert_eq!(harness.new_call(1, 1), vec![102]);
    harness.end_attempt(1, 0, 102, Outcome::Congested, EndReason::RejectedByTandem, false);
    // The tandem is avoided for 8 s at first, and for 16 s after a second rejection.
    assert!(harness.new_call(2, 1).is_empty());
    harness.advance(millis(8100));
    assert_eq!(harness.new_call(3, 1), vec![102]);
    harness.end_attempt(3, 0, 102, Outcome::Congested, EndReason::RejectedByTandem, false);
    harness.advance(millis(8100));
    assert!(harness.new_call(4, 1).is_empty(), "not avoided for twice as long after a second rejection");
    harness.advance(millis(8000));
    assert_eq!(harness.new_call(5, 1), vec![102]);
}

#[test]
fn the_origin_of_a_transit_call_is_not_tried_as_tandem_to_the_same_destination() {
    // The transit call shows that the group from its origin to its destination is full: an attempt over the
    // origin would be in vain.
    let mut harness = Harness::new(|_| {});
    harness.report_free_circuits(101, 0.0);
    harness.new_transit_call(1, 1);
    assert!(harness.new_call(2, 1).is_empty());
    // What was seen of that group is relied on for 8 s.
    harness.advance(millis(8100));
    assert_eq!(harness.new_call(3, 1), vec![102]);
}

/// Guards against transit set-ups of an unknown caller that name groups at will and so take the tandem routes
/// from other callers.
#[test]
fn a_transit_call_of_a_caller_without_an_answered_call_shows_nothing_of_a_group() {
    let mut harness = Harness::new(|_| {});
    harness.report_free_circuits(101, 0.0);
    let untrusted = CallSource { connection: 1, is_trusted: false };
    let claim = NewCall { via_exchange: 2, transit: true, source: untrusted, ..harness.call(1, 1, "n") };
    assert!(harness.offer_call(claim).is_empty());
    assert_eq!(harness.new_call(2, 1), vec![102]);
}

#[test]
fn tandems_whose_second_leg_was_last_seen_with_room_come_first() {
    // The second leg is the group from the tandem to the destination.
    let mut harness = Harness::new(|_| {});
    let entries = (3..40).map(|n| list_entry(100 + n, n as i64, Health::InService, None)).collect();
    harness.handle(Event::SwitchList(SwitchListUpdate::Changes(entries)));
    for switch in 103..140 {
        harness.report_free_circuits(switch, 100.0);
    }
    harness.report_free_circuits(101, 0.0);
    let first_tandem = harness.new_call(1, 1);
    harness.answer(1, 0, millis(60));
    for id in 2..6 {
        assert_eq!(harness.new_call(id, 1), first_tandem);
        harness.answer(id, 0, millis(60));
    }
}

#[test]
fn an_at_most_once_call_that_may_have_been_processed_is_failed_and_never_sent_again() {
    let mut harness = Harness::new(|settings| settings.classes[0].repeat_policy = RepeatPolicy::AtMostOnce);
    harness.new_call(1, 1);
    harness.end_attempt(1, 0, 101, Outcome::Reset, EndReason::Unknown, false);
    harness.advance(secs(2));
    assert_eq!(harness.switches_tried(1).len(), 1);
    assert_eq!((harness.final_response_count(1), harness.failed_count), (1, 1));
}

#[test]
fn late_repeated_and_unknown_events_change_nothing() {
    let mut harness = Harness::new(|_| {});
    let report = LoadReport { free_circuits: Some(f64::NAN), wait_us: Some(-5.0), ..LoadReport::default() };
    harness.handle(Event::CallAnswered { call: CallId(77), attempt_number: 3, set_up_delay: millis(5) });
    harness.end_attempt(77, 0, 101, Outcome::TimedOut, EndReason::Unknown, false);
    harness.end_attempt(77, 9, 999, Outcome::Completed, EndReason::Unknown, true);
    harness.handle(Event::CallerGone(CallId(77)));
    harness.handle(Event::Timer(u64::MAX));
    harness.handle(Event::SwitchStatus { switch: SwitchId(999), answered: true, round_trip: 0, report });
    harness.handle(Event::SwitchStatus { switch: SwitchId(101), answered: true, round_trip: 0, report });
    harness.handle(Event::PeerMessage { from: 9, data: vec![1, 2, 3] });
    harness.advance(millis(100));
    assert_eq!(harness.new_call(1, 1), vec![101]);
}

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(|_| {});
        harness.report_free_circuits(101, 0.0);
        harness.run_steady_traffic(1..90, millis(700), millis(40));
        harness.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn a_gatekeeper_that_starts_during_an_outage_still_rejects_calls() {
    // A gatekeeper that starts during an outage has measured no delay without load. Without an upper bound on
    // the base delay the pressure would stay 0.
    let mut harness = Harness::new(|_| {});
    for id in 1..200 {
        harness.new_call(id, 1 + (id % 2) as i64);
        harness.advance(millis(50));
        harness.time_out_attempts(101);
        harness.time_out_attempts(102);
    }
    let late_set_ups = harness.set_ups.iter().filter(|set_up| set_up.call >= 100).count();
    assert!(late_set_ups < 40, "{late_set_ups} set-ups for the last 100 calls");
}

#[test]
fn overload_of_the_own_processor_is_logged_when_it_begins_and_when_it_ends() {
    let mut harness = Harness::new(|_| {});
    harness.run_steady_traffic(1..60, millis(60), millis(100));
    harness.run_steady_traffic(100..160, millis(900), millis(50));
    harness.advance(secs(8));
    let own_lines: Vec<_> = harness.log_lines.iter().filter(|line| line.starts_with("own")).collect();
    assert!(
        own_lines.len() >= 2
            && own_lines[0] == "own processor overloaded"
            && own_lines[1] == "own processor no longer overloaded",
        "{own_lines:?}"
    );
}

#[test]
fn where_answers_are_quick_an_unanswered_set_up_is_repeated_within_its_target() {
    // Answers can get lost although the set-up was processed. An attempt that may take the whole set-up
    // target leaves no time for another.
    let mut harness = Harness::new(|_| {});
    harness.run_steady_traffic(100..130, millis(60), millis(100));
    let offered_at = harness.now;
    harness.new_call(1, 1);
    // The attempt times out after 750 ms, half the set-up target.
    harness.advance(millis(755));
    harness.time_out_attempts(101);
    harness.advance(millis(300));
    assert_eq!(harness.switches_tried(1), vec![101, 101]);
    let second_set_up = harness.set_ups_of(1).nth(1).expect("a second attempt");
    // The release wait of 200 ms follows the time-out.
    let earliest = offered_at + millis(750 + 200);
    assert!(second_set_up.sent_at >= earliest && second_set_up.sent_at < offered_at + millis(1500));
}

#[test]
fn where_set_ups_fail_one_after_the_other_the_next_call_is_attempted_again() {
    // Without further attempts, nearly all callers would have to redial where a processor fails most set-ups
    // immediately.
    let mut harness = Harness::new(|_| {});
    let set_ups_and_final_responses =
        |harness: &Harness, id: u64| (harness.set_ups_of(id).count(), harness.final_response_count(id));
    let fail_attempt = |harness: &mut Harness, id: u64, attempt: u32| {
        harness.end_attempt(id, attempt, 101, Outcome::Failed, EndReason::Unknown, false);
    };
    harness.run_steady_traffic(100..130, millis(60), millis(100));
    // A single failure may be due to the call itself.
    harness.new_call(1, 1);
    fail_attempt(&mut harness, 1, 0);
    assert_eq!(set_ups_and_final_responses(&harness, 1), (1, 1));
    // The settings allow four attempts.
    harness.new_call(2, 1);
    for attempt in 0..3 {
        fail_attempt(&mut harness, 2, attempt);
    }
    assert_eq!(set_ups_and_final_responses(&harness, 2), (4, 0));
    fail_attempt(&mut harness, 2, 3);
    assert_eq!(set_ups_and_final_responses(&harness, 2), (4, 1));
    // A call that is answered ends the series of failures.
    harness.new_call(3, 1);
    harness.answer(3, 0, millis(60));
    harness.new_call(4, 1);
    fail_attempt(&mut harness, 4, 0);
    assert_eq!(set_ups_and_final_responses(&harness, 4), (1, 1));
}

#[test]
fn a_redial_is_known_by_its_number_and_its_target_runs_from_the_first_try() {
    // Callers that do not mark their redials would otherwise get the full value of a call without an
    // earlier try.
    let mut harness = Harness::new(|_| {});
    harness.run_steady_traffic(100..130, millis(60), millis(100));
    harness.report_free_circuits(101, 0.0);
    harness.report_free_circuits(102, 0.0);
    assert!(harness.new_call_to(1, 1, "n").is_empty());
    harness.advance(millis(1000));
    harness.report_free_circuits(101, 10.0);
    harness.new_call_to(2, 1, "n");
    harness.new_call_to(3, 1, "other");
    let timeout = |id: u64| {
        let pending = harness.pending.iter().find(|pending| pending.call == id);
        pending.map(|pending| pending.times_out_at - harness.now)
    };
    // Of the set-up target of 1500 ms the redial has 500 ms left. A first try may take half of the target, as
    // answers are quick.
    assert_eq!(timeout(2), Some(millis(500)));
    assert_eq!(timeout(3), Some(millis(750)));
}

/// Guards against a table of called numbers that grows with each refused call, and against a limit on it
/// that lets a flood of refused calls displace the numbers of honest callers.
#[test]
fn a_redial_is_known_beside_a_flood_of_refused_calls() {
    let mut harness = Harness::new(|settings| {
        settings.history_limits = HistoryLimits { called_numbers: 100, ..HistoryLimits::default() }
    });
    harness.run_steady_traffic(100..130, millis(60), millis(100));
    harness.report_free_circuits(101, 0.0);
    harness.report_free_circuits(102, 0.0);
    let honest = CallSource { connection: 1, is_trusted: true };
    let newcomer = CallSource { connection: 2, is_trusted: false };
    assert!(harness.offer_call(NewCall { source: honest, ..harness.call(1, 1, "n1") }).is_empty());
    assert!(harness.offer_call(NewCall { source: newcomer, ..harness.call(2, 1, "n2") }).is_empty());
    for id in 1000..20_000 {
        let source = CallSource { connection: 3 + id % 6, is_trusted: false };
        let refused = harness.call(id, if id % 2 == 0 { 1 } else { 99 }, &format!("{id:064}"));
        assert!(harness.offer_call(NewCall { source, ..refused }).is_empty());
    }
    harness.advance(millis(1000));
    harness.report_free_circuits(101, 10.0);
    for (id, number, timeout) in [(3, "n1", 500), (4, "n2", 500), (5, "other", 750)] {
        harness.new_call_to(id, 1, number);
        let pending = harness.pending.iter().find(|pending| pending.call == id).unwrap();
        assert_eq!(pending.times_out_at - harness.now, millis(timeout), "{number}");
    }
}

#[test]
fn set_ups_sent_before_a_stall_do_not_make_their_processor_suspected() {
    // After a stall of the gatekeeper's own process all that came in meanwhile looks late, and every far
    // processor would be suspected at once. Without a stall the same time-outs make it suspected.
    for stalled in [true, false] {
        let mut harness = Harness::new(|_| {});
        harness.run_steady_traffic(100..130, millis(60), millis(100));
        for id in 1..=3 {
            harness.new_call(id, 1);
        }
        if stalled {
            harness.now += millis(1800);
        } else {
            // A call answered after the set-ups were sent shows that the own processor is not the cause.
            harness.run_steady_traffic(130..131, millis(60), millis(1800));
        }
        harness.time_out_attempts(101);
        assert_eq!(harness.has_logged(SWITCH_101_SUSPECTED), !stalled);
    }
}

#[test]
fn many_gatekeepers_together_do_not_overload_a_cold_processor() {
    // The limit of a cold processor holds for the sum over all gatekeepers. If each of 77 could send at least
    // one call at once, their sum would overload it.
    let gatekeeper_count = 77u64;
    // As in the settings.
    let warm_up_time = secs(12);
    // Times of all set-ups since the start of the cold processor.
    let mut sent_after: Vec<Micros> = vec![];
    for gatekeeper in 0..gatekeeper_count {
        let mut harness = Harness::with_seed(gatekeeper, |_| {});
        // Each gatekeeper has a call to exchange 1 every 8 s; their times are spread evenly over the 8 s.
        let offset_in_10_s = millis((10_000 / gatekeeper_count * gatekeeper) as i64);
        let first_call_offset = offset_in_10_s * 8 / 10;
        harness.advance(first_call_offset);
        let mut id = 1;
        for _ in 0..5 {
            harness.new_call(id, 1);
            harness.answer_if_pending(id, millis(60));
            id += 1;
            harness.advance(millis(8000));
        }
        // All gatekeepers learn of the new processor at the same time.
        let started_at = secs(160);
        harness.advance(started_at - harness.now);
        harness.update_switch(101, 1, Health::Gone, None);
        harness.update_switch(201, 1, Health::InService, Some(started_at));
        let set_ups_before = harness.set_ups.len();
        // The traffic rises at the same time: each gatekeeper has a call at once and then one every 2 s, four
        // times as many as before. The times after the first are spread evenly over the 2 s.
        let mut interval = millis(2000 * gatekeeper as i64 / gatekeeper_count as i64).max(CLOCK_STEP);
        while harness.now < started_at + warm_up_time {
            harness.new_call(id, 1);
            harness.answer_if_pending(id, millis(60));
            id += 1;
            harness.advance(interval);
            interval = millis(2000);
        }
        sent_after.extend(harness.set_ups[set_ups_before..].iter().map(|set_up| set_up.sent_at - started_at));
    }
    sent_after.sort_unstable();
    // The warm processor handled 77 calls in 8 s, and as many that it originated itself. The cold one has 0.3
    // of that capacity, rising to all of it over 12 s, and fails when it gets twice its capacity for 2 s.
    let capacity_per_s = |elapsed: Micros| {
        let capacity_share = 0.3 + 0.7 * (elapsed as f64 / warm_up_time as f64).min(1.0);
        capacity_share * 2.0 * gatekeeper_count as f64 / 8.0
    };
    let overload_factor = 2.0;
    let overload_duration_s = 2.0;
    let tolerated_calls = 4.0;
    for (index, start) in sent_after.iter().enumerate() {
        let in_two_s = sent_after[index..].iter().take_while(|sent| **sent < start + secs(2)).count() as f64;
        let middle = *start + secs(1);
        let overload_calls = overload_factor * overload_duration_s * capacity_per_s(middle);
        assert!(
            in_two_s <= overload_calls + tolerated_calls,
            "{in_two_s} set-ups in 2 s from {start} us on; {overload_calls} overload the processor"
        );
    }
    assert!(sent_after.len() > 40, "only {} set-ups to the cold processor", sent_after.len());
}

#[test]
fn invalid_input_changes_nothing_and_hundreds_of_exchanges_are_handled() {
    let mut harness = Harness::new(|_| {});
    let entries = (3..400).map(|n| list_entry(100 + n, n as i64, Health::InService, None)).collect();
    harness.handle(Event::SwitchList(SwitchListUpdate::Changes(entries)));
    // There is no group to exchange 1, and no tandem's group to exchange 1 has been seen: the call takes one
    // tandem at random.
    let no_group = LoadReport { free_circuits: Some(0.0), group_size: Some(0.0), ..LoadReport::default() };
    harness.handle(Event::SwitchStatus {
        switch: SwitchId(101),
        answered: true,
        round_trip: 0,
        report: no_group,
    });
    assert_eq!(harness.new_call(1, 1).len(), 1);
    // A call to a destination that is on no list is rejected at once, whether it comes from a caller or in
    // transit.
    assert!(harness.new_call(2, 9_999).is_empty() && harness.has_final_response(2));
    harness.new_transit_call(3, 9_999);
    assert!(harness.has_final_response(3));
    // Unknown calls, switches and timers, invalid load reports, and peer messages with any bytes.
    let set_ups_before = harness.set_ups.len();
    let final_responses_before = harness.final_responses.len();
    harness.handle(Event::CallerGone(CallId(77)));
    harness.handle(Event::CallAnswered { call: CallId(77), attempt_number: 3, set_up_delay: -5 });
    harness.end_attempt(77, 9, 55_555, Outcome::Reset, EndReason::RejectedByTandem, true);
    harness.handle(Event::Timer(u64::MAX));
    for data in [vec![], vec![0xff; 256], vec![7; 10_000]] {
        harness.handle(Event::PeerMessage { from: u32::MAX, data });
    }
    let report = LoadReport {
        free_circuits: Some(f64::NAN),
        group_size: Some(-1.0),
        wait_us: Some(f64::INFINITY),
        ..LoadReport::default()
    };
    harness.handle(Event::SwitchStatus { switch: SwitchId(102), answered: true, round_trip: -1, report });
    assert_eq!(harness.set_ups.len(), set_ups_before);
    assert_eq!(harness.final_responses.len(), final_responses_before);
    // The clock jumps by seconds between events; the call in progress still gets its final response.
    harness.now += secs(7);
    harness.advance(millis(20));
    assert!(harness.has_final_response(1));
}
