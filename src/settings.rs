//! Reads the controller's [`Settings`] from flat key-value pairs. The adapter receives these pairs directly;
//! the nested JSON of the configuration file is first flattened to the same paths. Unknown keys are ignored.

use crate::interface::{
    CallClass, DeduplicationScope, HistoryLimits, LoadReport, Micros, RepeatPolicy, Settings, Tenant,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

#[cfg(test)]
mod tests;

/// Numbers in the controller's settings are below this in absolute value; those in seconds then fit into
/// [`Micros`].
const NUMBER_LIMIT: f64 = 1e12;
/// Lists of objects in the settings have fewer items than this.
const LIST_LENGTH_LIMIT: usize = 10_000;
/// Numbers that only the network code uses are below this.
const NETWORK_NUMBER_LIMIT: f64 = 1e9;

/// Settings by path, such as `services.0.aimS`.
pub type FlatSettings = BTreeMap<String, String>;

/// Names from the settings; the controller refers to them by their index only.
#[derive(Debug)]
pub struct IndexedNames {
    /// Classes of call.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// A setting that is missing or invalid.
#[derive(Debug)]
pub struct SettingError {
    path: String,
    reason: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

type SettingResult<T> = Result<T, SettingError>;

/// Converts seconds to microseconds.
pub fn seconds_to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Stores one named value of a load report in its field. Unknown names are ignored; a value that is negative
/// or not finite is stored as `None`.
pub fn set_report_value(report: &mut LoadReport, name: &str, value: f64) {
    let valid = (value.is_finite() && value >= 0.0).then_some(value);
    match name {
        "free" | "x0" => report.free_circuits = valid,
        "size" | "x1" => report.group_size = valid,
        "active" | "inflight" => report.active_messages = valid,
        "waiting" | "queue" => report.waiting_messages = valid,
        "cpu" | "util" => report.utilization = valid,
        "avg_ms" | "latency_ms" => report.wait_us = valid.map(|ms| ms * 1000.0),
        "can_take" | "qps" => report.max_set_ups_per_s = valid,
        "hold_back" | "eps" => report.requested_reduction = valid,
        _ => {}
    }
}

/// Flattens nested JSON to dotted paths. A list of scalars is joined with commas. A list that contains
/// objects or lists gives its length under `.count` and its items under `.0`, `.1` and so on. Nulls are
/// omitted.
pub fn flatten_json(value: &Value) -> FlatSettings {
    let mut pairs = FlatSettings::new();
    flatten_into("", value, &mut pairs);
    pairs
}

fn flatten_into(path: &str, value: &Value, pairs: &mut FlatSettings) {
    let child_path = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, child)| flatten_into(&child_path(key), child, pairs));
        }
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            pairs.insert(child_path("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten_into(&child_path(&index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let scalars: Vec<_> = items.iter().filter_map(scalar_text).collect();
            pairs.insert(path.to_string(), scalars.join(","));
        }
        _ => {
            if let Some(text) = scalar_text(value) {
                pairs.insert(path.to_string(), text);
            }
        }
    }
}

fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

/// Typed access to flat settings; each error names the path of the setting.
struct SettingsReader<'a> {
    pairs: &'a FlatSettings,
}

impl<'a> SettingsReader<'a> {
    fn text(&self, key: &str) -> SettingResult<&'a str> {
        match self.pairs.get(key) {
            Some(text) => Ok(text),
            None => self.error(key, "missing"),
        }
    }

    fn error<T>(&self, key: &str, reason: &str) -> SettingResult<T> {
        Err(SettingError { path: key.to_string(), reason: reason.to_string() })
    }

    fn number(&self, key: &str) -> SettingResult<f64> {
        match self.text(key)?.parse::<f64>() {
            Ok(value) if value.is_finite() && value.abs() < NUMBER_LIMIT => Ok(value),
            _ => self.error(key, &format!("must be a number between -{NUMBER_LIMIT:e} and {NUMBER_LIMIT:e}")),
        }
    }

    fn non_negative(&self, key: &str) -> SettingResult<f64> {
        let value = self.number(key)?;
        if value < 0.0 { self.error(key, "must not be negative") } else { Ok(value) }
    }

    fn seconds(&self, key: &str) -> SettingResult<Micros> {
        Ok(seconds_to_micros(self.non_negative(key)?))
    }

    fn integer(&self, key: &str, min: f64) -> SettingResult<f64> {
        match self.number(key)? {
            value if value >= min && value.fract() == 0.0 => Ok(value),
            _ => self.error(key, &format!("must be an integer of at least {min}")),
        }
    }

    fn boolean(&self, key: &str) -> SettingResult<bool> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            _ => self.error(key, "must be true, false, 1 or 0"),
        }
    }

    fn one_of<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> SettingResult<T> {
        let text = self.text(key)?;
        match choices.iter().find(|(name, _)| *name == text) {
            Some((_, choice)) => Ok(*choice),
            None => {
                let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
                self.error(key, &format!("must be one of {}", names.join(", ")))
            }
        }
    }

    /// Length of a list of objects, from its `.count`. An empty list is an empty text without a `.count`.
    fn list_length(&self, list: &str) -> SettingResult<usize> {
        let Some(count) = self.pairs.get(&format!("{list}.count")) else {
            return match self.text(list)? {
                "" => Ok(0),
                _ => self.error(list, "must be a list of objects"),
            };
        };
        match count.parse() {
            Ok(length) if length < LIST_LENGTH_LIMIT => Ok(length),
            _ => self.error(list, &format!("must be a list of fewer than {LIST_LENGTH_LIMIT} items")),
        }
    }
}

/// Builds the controller's settings, and the tables of names that events refer to.
///
/// # Errors
/// The first setting that is missing or invalid, with its path.
pub fn build_settings(pairs: &FlatSettings) -> Result<(Settings, IndexedNames), SettingError> {
    let reader = SettingsReader { pairs };
    let mut names = IndexedNames { classes: vec![], tenants: vec![], zones: vec![] };
    let mut classes = Vec::new();
    for index in 0..reader.list_length("services")? {
        let key = |name: &str| format!("services.{index}.{name}");
        names.classes.push(reader.text(&key("name"))?.to_string());
        // Items that are not numbers are ignored.
        let eligible_pools = match pairs.get(&format!("familyInfo.skilledPools.{index}")) {
            Some(list) => list.split(',').filter_map(|number| number.parse().ok()).collect(),
            None => vec![],
        };
        classes.push(CallClass {
            set_up_target: reader.seconds(&key("aimS"))?,
            value: reader.non_negative(&key("worth"))?,
            late_value_factor: reader.non_negative(&key("lateWorth"))?,
            repeat_policy: reader.one_of(
                &key("repeat"),
                &[
                    ("pure", RepeatPolicy::Idempotent),
                    ("token", RepeatPolicy::Deduplicated),
                    ("side_effect", RepeatPolicy::AtMostOnce),
                ],
            )?,
            deduplication_scope: reader.one_of(
                &key("group"),
                &[
                    ("all", DeduplicationScope::AllExchanges),
                    ("zone", DeduplicationScope::Zone),
                    ("cell", DeduplicationScope::Exchange),
                ],
            )?,
            deduplication_window: reader.seconds(&key("repeatWindowS"))?,
            eligible_pools,
        });
    }
    if classes.is_empty() {
        return reader.error("services.count", "must be at least 1");
    }
    let mut tenants = Vec::new();
    for index in 0..reader.list_length("tenants")? {
        names.tenants.push(reader.text(&format!("tenants.{index}.name"))?.to_string());
        tenants.push(Tenant { quota_per_s: reader.non_negative(&format!("tenants.{index}.quotaPerS"))? });
    }
    names.zones = reader.text("failureDomains")?.split(',').map(str::to_string).collect();
    let settings = Settings {
        own_exchange: reader.integer("familyInfo.here", -1.0)? as i64,
        gatekeeper_count: reader.integer("groupSize", 1.0)? as u32,
        pool_topology: reader.one_of("familyInfo.topology", &[("mesh", false), ("pools", true)])?,
        must_subscribe: reader.one_of("membershipMode", &[("automatic", false), ("subscribe", true)])?,
        list_known_after: reader.seconds("rules.askWithinS")?,
        classes,
        tenants,
        over_quota_value_factor: reader.non_negative("overShareWorth")?,
        release_wait: reader.seconds("familyInfo.releaseS")?,
        retransmit_after: reader.seconds("familyInfo.resendS")?,
        min_batch_interval: reader.seconds("stepS")?,
        max_attempts: reader.integer("limits.mostTries", 0.0)? as u32,
        may_cancel: reader.boolean("limits.cancel")?,
        may_probe: reader.boolean("limits.probes")?,
        probe_cost: reader.number("prices.probe")?,
        may_send_back_off: reader.boolean("limits.retryAfter")?,
        max_back_off: reader.seconds("limits.maxRetryAfterS")?,
        drain_grace: reader.seconds("rules.drainGraceS")?,
        cold_capacity_share: reader.non_negative("rules.coldFrom")?,
        warm_up_time: reader.seconds("rules.warmWithinS")?,
        cold_overload_factor: reader.non_negative("rules.tipMultiple")?,
        cold_overload_duration: reader.seconds("rules.fallS")?,
        load_reports_enabled: reader.text("reporting.via")? == "answers",
        history_limits: HistoryLimits::default(),
    };
    Ok((settings, names))
}

/// Longest `caller_timeout` that a set-up may state: the longest `deadlineS` of any class plus half of it as
/// a margin, or `default` where no class has one. An invalid `deadlineS` counts as `default`.
pub fn max_caller_timeout(pairs: &FlatSettings, default: Micros) -> Micros {
    let deadlines = pairs.keys().filter(|key| key.starts_with("services.") && key.ends_with(".deadlineS"));
    let longest_deadline = deadlines.map(|key| duration_or(pairs, key, default)).max();
    longest_deadline.map_or(default, |longest| longest / 2 * 3)
}

/// Circuits that a call of each class takes, in the order of the classes. Empty where the settings don't say;
/// the list ends at the first value that is not a number.
pub fn circuits_by_class(pairs: &FlatSettings) -> Vec<f64> {
    let list = pairs.get("familyInfo.circuitsByClass").map_or("", String::as_str);
    list.split(',').map_while(|circuits| circuits.parse().ok()).collect()
}

/// A duration, set in seconds, that only the network code uses and [`Settings`] does not contain; `default`
/// where it is missing or is not a number above 0 and below `NETWORK_NUMBER_LIMIT`.
pub fn duration_or(pairs: &FlatSettings, key: &str, default: Micros) -> Micros {
    positive_number(pairs, key).map_or(default, seconds_to_micros)
}

/// A count that only the network code uses, rounded down; `default` where it is missing or is not a number
/// above 0 and below `NETWORK_NUMBER_LIMIT`.
pub fn count_or(pairs: &FlatSettings, key: &str, default: usize) -> usize {
    positive_number(pairs, key).map_or(default, |count| count as usize)
}

/// A number above 0 and below [`NETWORK_NUMBER_LIMIT`]; anything else is `None`.
fn positive_number(pairs: &FlatSettings, key: &str) -> Option<f64> {
    let number = pairs.get(key).and_then(|text| text.parse::<f64>().ok());
    number.filter(|number| *number > 0.0 && *number < NETWORK_NUMBER_LIMIT)
}
