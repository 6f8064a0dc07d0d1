//! The clauses of the mechanism against values worked out by hand.

use super::*;

const T: Micros = 100 * SECOND;

fn close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-6, "{a} is not {b}");
}

/// Loops at traffic of ten calls in three seconds and more.
fn busy() -> Loops {
    let mut l = Loops::default();
    l.fit(10.0);
    l
}

fn filled(delay: Micros) -> Loops {
    let mut l = busy();
    (0..10).for_each(|_| l.sample(T, delay));
    l
}

#[test]
fn pressure_is_one_less_d0_over_d_and_nought_at_d0() {
    let mut l = filled(100 * MS);
    close(l.measure(T, &[], 0.5, SECOND), 0.0);
    (0..10).for_each(|_| l.sample(T, 400 * MS));
    close(l.measure(T, &[], 0.5, SECOND), 0.75);
    // A quicker delay than d0 floors at nought and becomes d0.
    (0..10).for_each(|_| l.sample(T, 50 * MS));
    close(l.measure(T, &[], 0.5, SECOND), 0.0);
    assert_eq!(l.quiet(), Some(50 * MS));
    // d0 is forgotten after a minute.
    (0..10).for_each(|_| l.sample(T + 61 * SECOND, 200 * MS));
    l.measure(T + 61 * SECOND, &[], 0.5, SECOND);
    assert_eq!(l.quiet(), Some(200 * MS));
}

#[test]
fn too_few_or_old_samples_say_nothing_and_endless_ones_fill_the_pressure() {
    let mut l = busy();
    l.sample(T, 900 * MS);
    l.sample(T, 900 * MS);
    close(l.measure(T, &[], 0.5, 100 * MS), 0.0);
    l.sample(T, 900 * MS);
    close(l.measure(T, &[], 0.5, 100 * MS), 1.0 - 1.0 / 9.0);
    close(l.measure(T + 4 * SECOND, &[], 0.5, 100 * MS), 0.0);
    let mut l = filled(ENDLESS);
    assert!(l.measure(T, &[], 0.5, 100 * MS) > 0.999);
}

#[test]
fn the_filter_and_one_pi_step_match_the_formulas() {
    let mut l = Loops { fresh: T, pressure: 0.9, ..Loops::default() };
    l.step(T, 1.0);
    // 0.9 + 0.1 (1 - e^-0.2), then 5 e + 5 e 0.02.
    let pressure = 0.9 + 0.1 * 0.181_269_246_9;
    close(l.pressure, pressure);
    let error = pressure - TARGET;
    close(l.integral, 5.0 * error * 0.02);
    close(l.ratio, (5.0 * error + 5.0 * error * 0.02).min(0.9));
}

#[test]
fn the_integral_winds_up_at_neither_end_and_the_ratio_is_capped() {
    let mut l = Loops { pressure: 1.0, ..Loops::default() };
    for i in 0..500 {
        l.fresh = T + i * PERIOD;
        l.step(l.fresh, 1.0);
    }
    close(l.integral, RATIO_CAP);
    close(l.ratio, RATIO_CAP);
    for i in 500..1000 {
        l.fresh = T + i * PERIOD;
        l.step(l.fresh, 0.0);
    }
    close(l.integral, 0.0);
    close(l.ratio, 0.0);
}

#[test]
fn without_fresh_samples_pressure_decays_over_two_seconds() {
    let mut l = Loops { fresh: T, pressure: 0.5, ..Loops::default() };
    l.step(T + SECOND, 1.0);
    close(l.pressure, 0.5);
    l.step(T + 2 * SECOND, 1.0);
    close(l.pressure, 0.5 - 0.5 * 0.181_269_246_9);
}

#[test]
fn the_hold_drains_toward_its_target() {
    let mut l = Loops::default();
    l.held.push_back(CallId(1));
    l.step(T, 0.0);
    // Nothing offered: e = 1, integral 130 x 0.02 = 2.6, drain 22.6 a second, 0.452 calls a period.
    close(l.hold_integral, 2.6);
    close(l.credit, 0.452);
    l.ratio = 0.5;
    let mut due = vec![];
    l.drained(&mut due);
    assert!(due.is_empty(), "less than one call's credit");
    l.step(T + PERIOD, 0.0);
    l.step(T + 2 * PERIOD, 0.0);
    l.ratio = 0.5;
    l.drained(&mut due);
    assert_eq!(due, vec![CallId(1)]);
}

#[test]
fn one_sample_speaks_where_a_call_comes_every_ten_seconds_and_for_as_long() {
    // Danger: with many exchanges three samples in three seconds never come, and pressure stays nought.
    let mut l = Loops::default();
    l.fit(0.1);
    l.sample(T, 900 * MS);
    close(l.measure(T + 8 * SECOND, &[], 0.5, 100 * MS), 1.0 - 1.0 / 9.0);
    close(l.measure(T + 13 * SECOND, &[], 0.5, 100 * MS), 0.0);
}
