//! The adapter on hand-written input: replies, separation of instances, and errors on malformed input.

mod common;
use common::{CREATE_SETTINGS, SWITCH_LIST_LINES};
use wheatpier::wire::run_adapter;

const SEED: u64 = 7;

/// The replies to `input`, and the text of the error if there was one.
fn run_on(input: &str) -> (String, Option<String>) {
    let mut output = Vec::new();
    let result = run_adapter(input.as_bytes(), &mut output);
    (String::from_utf8(output).unwrap(), result.err().map(|error| error.to_string()))
}

fn create_line(instance_id: u32) -> String {
    let pairs = CREATE_SETTINGS.trim().lines().collect::<Vec<_>>().join("\t");
    format!("CREATE\t{instance_id}\t{SEED}\t{pairs}\n")
}

/// A batch that creates an instance and gives it the switch list.
fn start_batch(instance_id: u32) -> String {
    format!(
        "MARK\t10\n{}{}COMMIT\n",
        create_line(instance_id),
        SWITCH_LIST_LINES.replace('@', &instance_id.to_string())
    )
}

/// A call of class `read` to exchange 1 that takes one circuit and whose caller gives up at 13 s. The fields
/// are who, rid, tierClass, tenant, object, giveUpAtS, sizeHintS, farEnd, units, tandem, againByClient,
/// update, tandemCall and cameBack.
fn call_line(instance_id: u32, call_id: u64) -> String {
    format!("ORDER\t{instance_id}\t{call_id}\tread\t-\tn/1\t13\t-\t1\t1\t-1\t0\t0\t0\t0\n")
}

#[test]
fn empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    assert_eq!(run_on("MARK\t8.4\nCOMMIT\n"), ("READY\n".into(), None));
    assert_eq!(run_on(""), (String::new(), None));
}

#[test]
fn call_goes_direct_and_does_not_affect_other_instances() {
    let input = format!("{}{}MARK\t10.1\n{}COMMIT\n", start_batch(3), start_batch(4), call_line(3, 99));
    let (output, error) = run_on(&input);
    assert_eq!(error, None);
    assert!(output.contains("HAND_OFF\t3\t99\t101\t"), "{output}");
    assert!(!output.contains("HAND_OFF\t4"), "{output}");
    assert_eq!(output.matches("READY\n").count(), 3);
}

#[test]
fn the_same_input_gives_the_same_output() {
    let mut input = start_batch(3);
    for step in 0..50 {
        input +=
            &format!("MARK\t{}\n{}COMMIT\n", 10.1 + f64::from(step) * 0.05, call_line(3, 100 + step as u64));
    }
    assert_eq!(run_on(&input), run_on(&input));
}

#[test]
fn detached_instance_can_be_created_again_in_the_same_batch() {
    let input = format!("{}MARK\t11\nDETACH\t3\n{}COMMIT\n", start_batch(3), create_line(3));
    assert_eq!(run_on(&input).1, None);
}

#[test]
fn unknown_settings_are_ignored() {
    let input = start_batch(3).replace("groupSize=3", "groupSize=3\tnew.key=1,2");
    assert_eq!(run_on(&input).1, None);
}

#[test]
fn malformed_input_is_reported_with_line_and_field_and_gets_no_reply() {
    let good = start_batch(3);
    // The invalid line is the second one of its batch, after MARK.
    let bad_line_number = good.lines().count() + 2;
    let bad = |text: &str| format!("{good}MARK\t10.1\n{text}\nCOMMIT\n");
    let cases = [
        (bad("WHAT\t3"), "unknown message"),
        (bad("ORDER\t3"), "rid: missing"),
        (bad("ORDER\t3\tx"), "rid: cannot be parsed"),
        (bad("DEADLINE_HIT\t9\t0"), "who: no such instance"),
        (bad("DETACH\t9"), "who: no such instance"),
        (bad("COMPLETED\t3\t1\t0\t101\t77\t0\t1\t-\t-"), "outcome: unknown code"),
        (bad("COMPLETED\t3\t1\t0\t101\t0\t0\t1\t-\tfree=3"), "stats: must be name:value pairs"),
        (bad("TOPOLOGY\t3\tF\t2\t9"), "ref: no such LEDGER"),
        (bad("TOPOLOGY\t3\tQ\t2\t0"), "how: unknown value"),
        (bad("HEARD\t3\t1\t0g"), "contents: must be an even number of hexadecimal digits"),
        (bad("HEARD\t3\t1\té1"), "contents: must be an even number of hexadecimal digits"),
        (bad(call_line(3, 1).replace("read", "nope").trim()), "tierClass: is not in the settings"),
        (bad("ECHO\t3\t101\t0\tnan\t-"), "waitTimeS: must be a number of seconds between -1e12 and 1e12"),
    ];
    for (input, expected) in cases {
        let (output, error) = run_on(&input);
        let error = error.expect(expected);
        let has_line_number = error.contains(&format!("line {bad_line_number}:"));
        assert!(error.contains(expected) && has_line_number, "{error} / {expected}");
        assert!(!error.contains('\n'), "error of more than one line: {error}");
        // The one reply is that to the valid batch.
        assert_eq!(output.matches("READY").count(), 1, "a reply to the invalid batch");
    }
}

#[test]
fn truncated_batch_is_an_error() {
    assert!(run_on("MARK\t8\n").1.unwrap().contains("batch: input ended before COMMIT"));
    assert!(run_on("MARK\t8\nLEDGER\t0\t2\n").1.unwrap().contains("LEDGER: input ended before the last ROW"));
    assert!(run_on("READY\n").1.unwrap().contains("MARK expected"));
    assert!(run_on("MARK\tx\n").1.unwrap().contains("clock: cannot be parsed"));
}

#[test]
fn missing_and_invalid_settings_are_reported_with_their_path() {
    for (from, to, expected) in [
        ("groupSize=3", "x=3", "groupSize: missing"),
        ("groupSize=3", "groupSize=0", "groupSize: must be an integer of at least 1"),
        (
            "services.0.repeat=pure",
            "services.0.repeat=often",
            "services.0.repeat: must be one of pure, token, side_effect",
        ),
        ("rules.coldFrom=0.3", "rules.coldFrom=-1", "rules.coldFrom: must not be negative"),
        ("stepS=0.005", "stepS=inf", "stepS: must be a number between -1e12 and 1e12"),
    ] {
        let error = run_on(&start_batch(3).replace(from, to)).1.expect(expected);
        // The settings are in the CREATE line, the second one.
        assert!(error.contains(expected) && error.contains("line 2:"), "{error}");
    }
}
