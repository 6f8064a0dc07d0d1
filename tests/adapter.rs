//! The adapter on hand-written transcripts: replies, instances kept apart, and what malformed input gets.

mod common;
use common::{CREATE, TOPOLOGY};
use wheatpier::wire::run_adapter;

/// The replies to `input`, and the fault's text if there was one.
fn drill(input: &str) -> (String, Option<String>) {
    let mut out = Vec::new();
    let result = run_adapter(input.as_bytes(), &mut out);
    (String::from_utf8(out).unwrap(), result.err().map(|f| f.to_string()))
}

fn create(who: u32) -> String {
    let pairs = CREATE.trim().lines().collect::<Vec<_>>().join("\t");
    format!("CREATE\t{who}\t{}\t{pairs}\n", 7)
}

fn start(who: u32) -> String {
    format!("MARK\t10\n{}{}COMMIT\n", create(who), TOPOLOGY.replace('@', &who.to_string()))
}

fn order(who: u32, id: u64) -> String {
    format!("ORDER\t{who}\t{id}\tread\t-\tn/1\t13\t-\t1\t1\t-1\t0\t0\t0\t0\n")
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_clean() {
    assert_eq!(drill("MARK\t8.4\nCOMMIT\n"), ("READY\n".into(), None));
    assert_eq!(drill(""), (String::new(), None));
}

#[test]
fn a_call_goes_direct_and_instances_are_kept_apart() {
    let input = format!("{}{}MARK\t10.1\n{}COMMIT\n", start(3), start(4), order(3, 99));
    let (out, fault) = drill(&input);
    assert_eq!(fault, None);
    assert!(out.contains("HAND_OFF\t3\t99\t101\t"), "{out}");
    assert!(!out.contains("HAND_OFF\t4"), "{out}");
    assert_eq!(out.matches("READY\n").count(), 3);
}

#[test]
fn the_same_input_gives_the_same_output() {
    let mut input = start(3);
    for i in 0..50 {
        input += &format!("MARK\t{}\n{}COMMIT\n", 10.1 + f64::from(i) * 0.05, order(3, 100 + i as u64));
    }
    assert_eq!(drill(&input), drill(&input));
}

#[test]
fn a_killed_instance_starts_anew_in_the_same_batch() {
    let input = format!("{}MARK\t11\nDETACH\t3\n{}COMMIT\n", start(3), create(3));
    assert_eq!(drill(&input).1, None);
}

#[test]
fn unknown_settings_keys_are_skipped() {
    let input = start(3).replace("groupSize=3", "groupSize=3\tnew.key=1,2");
    assert_eq!(drill(&input).1, None);
}

#[test]
fn malformed_input_is_named_by_line_and_field_and_gets_no_reply() {
    let good = start(3);
    let line = good.lines().count() + 2;
    let bad = |text: &str| format!("{good}MARK\t10.1\n{text}\nCOMMIT\n");
    let cases = [
        (bad("WHAT\t3"), "unknown message"),
        (bad("ORDER\t3"), "rid: missing"),
        (bad("ORDER\t3\tx"), "rid: cannot be read"),
        (bad("DEADLINE_HIT\t9\t0"), "who: no such instance"),
        (bad("DETACH\t9"), "who: no such instance"),
        (bad("COMPLETED\t3\t1\t0\t101\t77\t0\t1\t-\t-"), "outcome: unknown code"),
        (bad("COMPLETED\t3\t1\t0\t101\t0\t0\t1\t-\tfree=3"), "stats: holds no name:value pair"),
        (bad("TOPOLOGY\t3\tF\t2\t9"), "ref: no such LEDGER"),
        (bad("TOPOLOGY\t3\tQ\t2\t0"), "how: unknown word"),
        (bad("HEARD\t3\t1\t0g"), "contents: is not hex"),
        (bad("HEARD\t3\t1\té1"), "contents: is not hex"),
        (bad(order(3, 1).replace("read", "nope").trim()), "tierClass: is not in the settings"),
        (bad("ECHO\t3\t101\t0\tnan\t-"), "waitTimeS: is no time"),
    ];
    for (input, says) in cases {
        let (out, fault) = drill(&input);
        let fault = fault.expect(says);
        assert!(fault.contains(says) && fault.contains(&format!("line {line}:")), "{fault} / {says}");
        assert!(!fault.contains('\n'));
        assert_eq!(out.matches("READY").count(), 1, "no half-written reply");
    }
}

#[test]
fn a_batch_cut_short_is_a_fault() {
    assert!(drill("MARK\t8\n").1.unwrap().contains("cut short"));
    assert!(drill("MARK\t8\nLEDGER\t0\t2\n").1.unwrap().contains("cut short"));
    assert!(drill("READY\n").1.unwrap().contains("MARK expected"));
    assert!(drill("MARK\tx\n").1.unwrap().contains("clock: cannot be read"));
}

#[test]
fn missing_or_senseless_settings_are_named() {
    for (from, to, says) in [
        ("groupSize=3", "x=3", "groupSize: missing"),
        ("groupSize=3", "groupSize=0", "groupSize: makes no sense"),
        ("services.0.repeat=pure", "services.0.repeat=often", "services.0.repeat: makes no sense"),
        ("rules.coldFrom=0.3", "rules.coldFrom=-1", "rules.coldFrom: makes no sense"),
        ("stepS=0.005", "stepS=inf", "stepS: makes no sense"),
    ] {
        let fault = drill(&start(3).replace(from, to)).1.expect(says);
        assert!(fault.contains(says) && fault.contains("line 2:"), "{fault}");
    }
}
