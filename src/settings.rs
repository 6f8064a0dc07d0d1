//! One builder of the module's [`Settings`]: from the adapter's flat pairs, and from the nested JSON of the
//! configuration, which is flattened to the same paths first. Unknown keys are ignored.

use crate::interface::{CallClass, DeduplicationScope, LoadReport, Micros, RepeatPolicy, Settings, Tenant};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Settings by path, such as `services.0.aimS`.
pub type Pairs = BTreeMap<String, String>;

/// Names that the module knows only as indices.
#[derive(Debug)]
pub struct Names {
    /// Classes of call.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// What is wrong with a setting.
#[derive(Debug)]
pub struct Problem {
    key: String,
    what: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}

type Res<T> = Result<T, Problem>;

/// Seconds to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Puts a named value of a load report in its place; unknown names and values that make no sense are left out.
pub fn set_report(report: &mut LoadReport, name: &str, value: f64) {
    let v = (value.is_finite() && value >= 0.0).then_some(value);
    match name {
        "free" | "x0" => report.free_circuits = v,
        "size" | "x1" => report.group_size = v,
        "active" | "inflight" => report.active_messages = v,
        "waiting" | "queue" => report.waiting_messages = v,
        "cpu" | "util" => report.utilization = v,
        "avg_ms" | "latency_ms" => report.wait_us = v.map(|ms| ms * 1000.0),
        "can_take" | "qps" => report.max_set_ups_per_s = v,
        "hold_back" | "eps" => report.requested_reduction = v,
        _ => {}
    }
}

/// Flattens nested JSON to paths: a list of plain values is joined with commas; of a list of objects or lists
/// the length stands under `.count` and the items under `.0`, `.1` and so on.
pub fn flatten(value: &Value) -> Pairs {
    let mut pairs = Pairs::new();
    walk("", value, &mut pairs);
    pairs
}

fn walk(path: &str, value: &Value, pairs: &mut Pairs) {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, v)| walk(&below(key), v, pairs)),
        Value::Array(items) if items.iter().any(|i| i.is_object() || i.is_array()) => {
            pairs.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| walk(&below(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            pairs.insert(path.to_string(), items.iter().filter_map(plain).collect::<Vec<_>>().join(","));
        }
        _ => {
            plain(value).map(|text| pairs.insert(path.to_string(), text));
        }
    }
}

fn plain(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::String(s) => Some(s.clone()),
        other => Some(other.to_string()),
    }
}

struct Info<'a>(&'a Pairs);

impl<'a> Info<'a> {
    fn text(&self, key: &str) -> Res<&'a str> {
        match self.0.get(key) {
            Some(v) => Ok(v),
            None => Err(Problem { key: key.to_string(), what: "missing" }),
        }
    }

    fn bad<T>(&self, key: &str) -> Res<T> {
        Err(Problem { key: key.to_string(), what: "makes no sense" })
    }

    fn number(&self, key: &str) -> Res<f64> {
        match self.text(key)?.parse::<f64>() {
            Ok(v) if v.is_finite() && v.abs() < 1e12 => Ok(v),
            _ => self.bad(key),
        }
    }

    fn amount(&self, key: &str) -> Res<f64> {
        let v = self.number(key)?;
        if v < 0.0 { self.bad(key) } else { Ok(v) }
    }

    fn seconds(&self, key: &str) -> Res<Micros> {
        Ok(micros(self.amount(key)?))
    }

    fn whole(&self, key: &str, least: f64) -> Res<f64> {
        match self.number(key)? {
            v if v >= least && v.fract() == 0.0 => Ok(v),
            _ => self.bad(key),
        }
    }

    fn flag(&self, key: &str) -> Res<bool> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            _ => self.bad(key),
        }
    }

    fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Res<T> {
        let t = self.text(key)?;
        match words.iter().find(|(w, _)| *w == t) {
            Some((_, v)) => Ok(*v),
            None => self.bad(key),
        }
    }

    fn count(&self, list: &str) -> Res<usize> {
        match self.0.get(&format!("{list}.count")) {
            Some(v) => match v.parse() {
                Ok(n) if n < 10_000 => Ok(n),
                _ => self.bad(list),
            },
            None if self.0.get(list).is_some_and(|v| v.is_empty()) => Ok(0),
            None => self.text(list).and_then(|_| self.bad(list)),
        }
    }
}

/// Builds the settings, and the names that events use.
///
/// # Errors
/// The first setting that is missing or makes no sense, by its path.
pub fn build(pairs: &Pairs) -> Result<(Settings, Names), Problem> {
    let info = Info(pairs);
    let mut names = Names { classes: vec![], tenants: vec![], zones: vec![] };
    let mut classes = Vec::new();
    for i in 0..info.count("services")? {
        let key = |k: &str| format!("services.{i}.{k}");
        names.classes.push(info.text(&key("name"))?.to_string());
        let eligible_pools = match pairs.get(&format!("familyInfo.skilledPools.{i}")) {
            Some(list) => list.split(',').filter_map(|n| n.parse().ok()).collect(),
            None => vec![],
        };
        classes.push(CallClass {
            set_up_target: info.seconds(&key("aimS"))?,
            value: info.amount(&key("worth"))?,
            late_value_factor: info.amount(&key("lateWorth"))?,
            repeat_policy: info.one_of(
                &key("repeat"),
                &[
                    ("pure", RepeatPolicy::Idempotent),
                    ("token", RepeatPolicy::Deduplicated),
                    ("side_effect", RepeatPolicy::AtMostOnce),
                ],
            )?,
            deduplication_scope: info.one_of(
                &key("group"),
                &[
                    ("all", DeduplicationScope::AllExchanges),
                    ("zone", DeduplicationScope::Zone),
                    ("cell", DeduplicationScope::Exchange),
                ],
            )?,
            deduplication_window: info.seconds(&key("repeatWindowS"))?,
            eligible_pools,
        });
    }
    if classes.is_empty() {
        return info.bad("services.count");
    }
    let mut tenants = Vec::new();
    for i in 0..info.count("tenants")? {
        names.tenants.push(info.text(&format!("tenants.{i}.name"))?.to_string());
        tenants.push(Tenant { quota_per_s: info.amount(&format!("tenants.{i}.quotaPerS"))? });
    }
    names.zones = info.text("failureDomains")?.split(',').map(str::to_string).collect();
    let settings = Settings {
        own_exchange: info.whole("familyInfo.here", -1.0)? as i64,
        gatekeeper_count: info.whole("groupSize", 1.0)? as u32,
        pool_topology: info.one_of("familyInfo.topology", &[("mesh", false), ("pools", true)])?,
        must_subscribe: info.one_of("membershipMode", &[("automatic", false), ("subscribe", true)])?,
        list_known_after: info.seconds("rules.askWithinS")?,
        classes,
        tenants,
        over_quota_value_factor: info.amount("overShareWorth")?,
        release_wait: info.seconds("familyInfo.releaseS")?,
        retransmit_after: info.seconds("familyInfo.resendS")?,
        min_batch_interval: info.seconds("stepS")?,
        max_attempts: info.whole("limits.mostTries", 0.0)? as u32,
        may_cancel: info.flag("limits.cancel")?,
        may_probe: info.flag("limits.probes")?,
        probe_cost: info.number("prices.probe")?,
        may_send_back_off: info.flag("limits.retryAfter")?,
        max_back_off: info.seconds("limits.maxRetryAfterS")?,
        drain_grace: info.seconds("rules.drainGraceS")?,
        cold_capacity_share: info.amount("rules.coldFrom")?,
        warm_up_time: info.seconds("rules.warmWithinS")?,
        cold_overload_factor: info.amount("rules.tipMultiple")?,
        cold_overload_duration: info.seconds("rules.fallS")?,
        load_reports_enabled: info.text("reporting.via")? == "answers",
    };
    Ok((settings, names))
}

/// The longest time that a caller may say it waits: with some room, the longest deadline that the settings name.
pub fn longest_wait(pairs: &Pairs, usual: Micros) -> Micros {
    let deadlines = pairs.keys().filter(|k| k.starts_with("services.") && k.ends_with(".deadlineS"));
    deadlines.map(|key| span_or(pairs, key, usual)).max().map_or(usual, |longest| longest / 2 * 3)
}

/// The circuits that a call of each class takes; none where the settings don't say.
pub fn widths(pairs: &Pairs) -> Vec<f64> {
    let list = pairs.get("familyInfo.circuitsByClass").map_or("", String::as_str);
    list.split(',').map_while(|w| w.parse().ok()).collect()
}

/// A span of the network side, which the module's settings don't hold.
pub fn span_or(pairs: &Pairs, key: &str, usual: Micros) -> Micros {
    amount_or(pairs, key).map_or(usual, micros)
}

/// A count of the network side.
pub fn count_or(pairs: &Pairs, key: &str, usual: usize) -> usize {
    amount_or(pairs, key).map_or(usual, |n| n as usize)
}

fn amount_or(pairs: &Pairs, key: &str) -> Option<f64> {
    pairs.get(key).and_then(|v| v.parse::<f64>().ok()).filter(|v| *v > 0.0 && *v < 1e9)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nested_json_is_flattened_to_the_paths_of_the_wire() {
        let json =
            r#"{"a":{"b":1.5,"none":null},"l":["x","y"],"e":[],"o":[{"n":"p"}],"s":[[1,2],[]],"t":true}"#;
        let pairs = flatten(&serde_json::from_str(json).unwrap());
        let text: Vec<_> = pairs.iter().map(|(k, v)| format!("{k}={v}")).collect();
        assert_eq!(text.join(" "), "a.b=1.5 e= l=x,y o.0.n=p o.count=1 s.0=1,2 s.1= s.count=2 t=true");
    }

    #[test]
    fn a_setting_that_is_missing_or_senseless_is_named() {
        let mut pairs = Pairs::new();
        assert_eq!(build(&pairs).unwrap_err().to_string(), "services: missing");
        pairs.insert("services.count".into(), "-3".into());
        assert_eq!(build(&pairs).unwrap_err().to_string(), "services: makes no sense");
    }

    #[test]
    fn what_only_the_network_side_reads_may_be_missing_or_odd() {
        let pairs: Pairs =
            [("a", "0.5"), ("b", "-1"), ("c", "x")].map(|(k, v)| (k.to_string(), v.to_string())).into();
        assert_eq!(["a", "b", "c", "d"].map(|key| span_or(&pairs, key, 7)), [500_000, 7, 7, 7]);
        assert_eq!((count_or(&pairs, "b", 9), count_or(&pairs, "a", 9)), (9, 0));
    }

    #[test]
    fn bounds_of_a_set_up_come_from_the_settings_where_they_are_named() {
        let mut pairs = Pairs::new();
        assert_eq!((longest_wait(&pairs, 7), widths(&pairs)), (7, vec![]));
        for (key, value) in [
            ("services.0.deadlineS", "2"),
            ("services.1.deadlineS", "3"),
            ("familyInfo.circuitsByClass", "1,2"),
        ] {
            pairs.insert(key.into(), value.into());
        }
        assert_eq!((longest_wait(&pairs, 7), widths(&pairs)), (4_500_000, vec![1.0, 2.0]));
    }

    #[test]
    fn reports_are_read_by_either_set_of_names() {
        let (mut a, mut b) = (LoadReport::default(), LoadReport::default());
        [("free", 3.0), ("avg_ms", 2.0), ("new", 1.0)].iter().for_each(|(n, v)| set_report(&mut a, n, *v));
        [("x0", 3.0), ("latency_ms", 2.0), ("x1", -1.0)].iter().for_each(|(n, v)| set_report(&mut b, n, *v));
        assert_eq!(a, b);
        assert_eq!((a.free_circuits, a.wait_us, a.group_size), (Some(3.0), Some(2000.0), None));
    }
}
