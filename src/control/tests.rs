//! Checks the parts of the overload control against values worked out by hand.

use super::*;

const NOW: Micros = 100 * SECOND;
/// Part of the distance to the unfiltered pressure that the filter moves in a control period of 0.02 s with a
/// time constant of 0.1 s: 1 - exp(-0.2).
const FILTER_STEP: f64 = 0.181_269_246_9;

fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-6, "{actual} is not {expected}");
}

/// An overload control with enough traffic for the shortest sample lifetime and all `MAX_REQUIRED_SAMPLES`.
fn with_traffic() -> OverloadControl {
    let mut control = OverloadControl::default();
    control.adapt_to_traffic(10.0);
    control
}

/// An overload control with ten samples of one delay.
fn with_samples(delay: Micros) -> OverloadControl {
    let mut control = with_traffic();
    (0..10).for_each(|_| control.add_sample(NOW, delay));
    control
}

#[test]
fn pressure_is_one_minus_base_delay_over_delay_and_zero_at_the_base_delay() {
    let mut control = with_samples(100 * MILLISECOND);
    assert_close(control.measure_pressure(NOW, &[], FAR_PROCESSOR_QUANTILE, SECOND), 0.0);
    (0..10).for_each(|_| control.add_sample(NOW, 400 * MILLISECOND));
    assert_close(control.measure_pressure(NOW, &[], FAR_PROCESSOR_QUANTILE, SECOND), 0.75);
    // A delay below the base delay gives a pressure of 0 and becomes the base delay.
    (0..10).for_each(|_| control.add_sample(NOW, 50 * MILLISECOND));
    assert_close(control.measure_pressure(NOW, &[], FAR_PROCESSOR_QUANTILE, SECOND), 0.0);
    assert_eq!(control.base_delay(), Some(50 * MILLISECOND));
    // After a minute the base delay has expired.
    (0..10).for_each(|_| control.add_sample(NOW + 61 * SECOND, 200 * MILLISECOND));
    control.measure_pressure(NOW + 61 * SECOND, &[], FAR_PROCESSOR_QUANTILE, SECOND);
    assert_eq!(control.base_delay(), Some(200 * MILLISECOND));
}

#[test]
fn too_few_or_old_samples_give_no_pressure_and_infinite_delays_give_full_pressure() {
    let mut control = with_traffic();
    control.add_sample(NOW, 900 * MILLISECOND);
    control.add_sample(NOW, 900 * MILLISECOND);
    assert_close(control.measure_pressure(NOW, &[], FAR_PROCESSOR_QUANTILE, 100 * MILLISECOND), 0.0);
    control.add_sample(NOW, 900 * MILLISECOND);
    assert_close(
        control.measure_pressure(NOW, &[], FAR_PROCESSOR_QUANTILE, 100 * MILLISECOND),
        1.0 - 1.0 / 9.0,
    );
    assert_close(
        control.measure_pressure(NOW + 4 * SECOND, &[], FAR_PROCESSOR_QUANTILE, 100 * MILLISECOND),
        0.0,
    );
    let mut control = with_samples(INFINITE_DELAY);
    assert!(control.measure_pressure(NOW, &[], FAR_PROCESSOR_QUANTILE, 100 * MILLISECOND) > 0.999);
}

#[test]
fn the_pressure_filter_and_one_period_of_the_reject_ratio_match_the_formulas() {
    let mut control = OverloadControl { last_evidence_at: NOW, pressure: 0.9, ..OverloadControl::default() };
    control.run_control_period(NOW, 1.0);
    // The unfiltered pressure is 1.0. The reject ratio is 5 x error + 5 x error x 0.02.
    let pressure = 0.9 + 0.1 * FILTER_STEP;
    assert_close(control.pressure, pressure);
    let error = pressure - TARGET_PRESSURE;
    assert_close(control.ratio_integral, 5.0 * error * 0.02);
    assert_close(control.reject_ratio, (5.0 * error + 5.0 * error * 0.02).min(0.9));
}

#[test]
fn the_integral_does_not_wind_up_at_either_end_and_the_reject_ratio_is_limited() {
    let mut control = OverloadControl { pressure: 1.0, ..OverloadControl::default() };
    for period in 0..500 {
        control.last_evidence_at = NOW + period * CONTROL_PERIOD;
        control.run_control_period(control.last_evidence_at, 1.0);
    }
    assert_close(control.ratio_integral, MAX_REJECT_RATIO);
    assert_close(control.reject_ratio, MAX_REJECT_RATIO);
    for period in 500..1000 {
        control.last_evidence_at = NOW + period * CONTROL_PERIOD;
        control.run_control_period(control.last_evidence_at, 0.0);
    }
    assert_close(control.ratio_integral, 0.0);
    assert_close(control.reject_ratio, 0.0);
}

#[test]
fn without_new_samples_the_pressure_decays_over_two_seconds() {
    let mut control = OverloadControl { last_evidence_at: NOW, pressure: 0.5, ..OverloadControl::default() };
    control.run_control_period(NOW + SECOND, 1.0);
    assert_close(control.pressure, 0.5);
    control.run_control_period(NOW + 2 * SECOND, 1.0);
    assert_close(control.pressure, 0.5 - 0.5 * FILTER_STEP);
}

#[test]
fn the_hold_is_drained_at_the_rate_of_its_pi_loop() {
    let mut control = OverloadControl::default();
    control.hold.push_back(CallId(1));
    control.run_control_period(NOW, 0.0);
    // With no calls admitted lately, the held call is one above the target: the integral is 130 x 0.02 = 2.6,
    // and the drain rate of 20 + 2.6 per second is 0.452 calls in a period.
    assert_close(control.drain_integral, 2.6);
    assert_close(control.drain_credit, 0.452);
    control.reject_ratio = 0.5;
    let mut drained = vec![];
    control.drain_hold(&mut drained);
    assert!(drained.is_empty(), "less than one call's credit");
    control.run_control_period(NOW + CONTROL_PERIOD, 0.0);
    control.run_control_period(NOW + 2 * CONTROL_PERIOD, 0.0);
    control.reject_ratio = 0.5;
    control.drain_hold(&mut drained);
    assert_eq!(drained, vec![CallId(1)]);
}

#[test]
fn with_a_call_every_ten_seconds_one_sample_gives_a_pressure_and_is_used_for_longer() {
    // In a mesh of many exchanges there are never three samples within three seconds: with fixed limits the
    // pressure would stay 0.
    let mut control = OverloadControl::default();
    control.adapt_to_traffic(0.1);
    control.add_sample(NOW, 900 * MILLISECOND);
    assert_close(
        control.measure_pressure(NOW + 8 * SECOND, &[], FAR_PROCESSOR_QUANTILE, 100 * MILLISECOND),
        1.0 - 1.0 / 9.0,
    );
    assert_close(
        control.measure_pressure(NOW + 13 * SECOND, &[], FAR_PROCESSOR_QUANTILE, 100 * MILLISECOND),
        0.0,
    );
}

/// Guards against state that is kept for each exchange that the switch list has ever named.
#[test]
fn an_exchange_is_forgotten_some_time_after_its_last_switch() {
    let config: serde_json::Value =
        serde_json::from_str(include_str!("../../tests/exchanges/config.json")).unwrap();
    let pairs = crate::settings::flatten_json(&config["settings"]);
    let (settings, _) = crate::settings::build_settings(&pairs).unwrap();
    let mut actions = vec![];
    let mut controller = Controller::new(settings, 7, NOW, &mut actions);
    let mut list = |now: Micros, controller: &mut Controller, health: Health| {
        let entry =
            SwitchEntry { switch: SwitchId(1), zone_index: 0, exchange_number: 5, health, up_since: None };
        controller.handle(now, Event::SwitchList(SwitchListUpdate::Changes(vec![entry])), &mut actions);
        for second in 0..=LEAVING_SWITCH_RETENTION / SECOND + 1 {
            controller.handle(now + second * SECOND, Event::Timer(TIMER_TICK), &mut actions);
        }
        now + LEAVING_SWITCH_RETENTION
    };
    list(NOW, &mut controller, Health::InService);
    let left_at = list(NOW + 1000 * SECOND, &mut controller, Health::Gone);
    assert!(controller.switches.is_empty());
    let mut actions = vec![];
    controller.handle(left_at + EXCHANGE_RETENTION - SECOND, Event::Timer(TIMER_TICK), &mut actions);
    assert_eq!(controller.exchanges.len(), 1);
    controller.handle(left_at + EXCHANGE_RETENTION + SECOND, Event::Timer(TIMER_TICK), &mut actions);
    assert!(controller.exchanges.is_empty());
}
