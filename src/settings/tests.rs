//! Tests the reading of settings and of the names in load reports.

use super::*;

#[test]
fn nested_json_is_flattened_to_the_paths_of_the_adapter() {
    let json = r#"{"a":{"b":1.5,"none":null},"l":["x","y"],"e":[],"o":[{"n":"p"}],"s":[[1,2],[]],"t":true}"#;
    let pairs = flatten_json(&serde_json::from_str(json).unwrap());
    let text: Vec<_> = pairs.iter().map(|(key, value)| format!("{key}={value}")).collect();
    assert_eq!(text.join(" "), "a.b=1.5 e= l=x,y o.0.n=p o.count=1 s.0=1,2 s.1= s.count=2 t=true");
}

#[test]
fn missing_and_invalid_settings_are_reported_with_their_path() {
    let mut pairs = FlatSettings::new();
    assert_eq!(build_settings(&pairs).unwrap_err().to_string(), "services: missing");
    pairs.insert("services.count".into(), "-3".into());
    assert_eq!(
        build_settings(&pairs).unwrap_err().to_string(),
        "services: must be a list of fewer than 10000 items"
    );
}

#[test]
fn missing_or_invalid_network_settings_get_their_default() {
    let pairs: FlatSettings =
        [("a", "0.5"), ("b", "-1"), ("c", "x")].map(|(k, v)| (k.to_string(), v.to_string())).into();
    assert_eq!(["a", "b", "c", "d"].map(|key| duration_or(&pairs, key, 7)), [500_000, 7, 7, 7]);
    assert_eq!((count_or(&pairs, "b", 9), count_or(&pairs, "a", 9)), (9, 0));
}

#[test]
fn limits_of_a_set_up_come_from_the_settings_or_the_default() {
    let mut pairs = FlatSettings::new();
    assert_eq!((max_caller_timeout(&pairs, 7), circuits_by_class(&pairs)), (7, vec![]));
    for (key, value) in
        [("services.0.deadlineS", "2"), ("services.1.deadlineS", "3"), ("familyInfo.circuitsByClass", "1,2")]
    {
        pairs.insert(key.into(), value.into());
    }
    assert_eq!((max_caller_timeout(&pairs, 7), circuits_by_class(&pairs)), (4_500_000, vec![1.0, 2.0]));
}

#[test]
fn load_reports_are_read_by_either_set_of_names() {
    let read_report = |values: &[(&str, f64)]| {
        let mut report = LoadReport::default();
        values.iter().for_each(|(name, value)| set_report_value(&mut report, name, *value));
        report
    };
    let first = read_report(&[("free", 3.0), ("avg_ms", 2.0), ("new", 1.0)]);
    let second = read_report(&[("x0", 3.0), ("latency_ms", 2.0), ("x1", -1.0)]);
    assert_eq!(first, second);
    assert_eq!((first.free_circuits, first.wait_us, first.group_size), (Some(3.0), Some(2000.0), None));
}
