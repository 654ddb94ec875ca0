//! Faulty configuration files: the message and exit code of `coralstep check`.
use serde_json::{Value, json};

use crate::stand_ins::SETTINGS;
use crate::{Folder, golden, run, run_with};

/// A JSON pointer into the valid file, and the JSON that replaces the value; an empty text removes the key.
type Case = (&'static str, &'static str);

/// Longer values are truncated in the golden file.
const MAX_SHOWN_LENGTH: usize = 120;

const CONFIG: &[Case] = &[
    // Process.
    ("/name", ""),
    ("/name", "3"),
    ("/name", "\"\""),
    ("/listen", ""),
    ("/listen", "7"),
    ("/listen", "\"here\""),
    ("/engine", ""),
    ("/engine", "\"here\""),
    ("/engine", "true"),
    ("/store", ""),
    ("/store", "\"here\""),
    ("/store", "1"),
    ("/control", ""),
    ("/control", "\"here\""),
    ("/seed", ""),
    ("/seed", "12"),
    ("/seed", "\"xyz\""),
    ("/stop_ms", "0"),
    ("/stop_ms", "-1"),
    ("/stop_ms", "\"1500\""),
    ("/stop_ms", "1e12"),
    ("/limits", "[]"),
    ("/limits", "\"few\""),
    ("/limits/memory_mb", "0"),
    ("/limits/memory_mb", "\"192\""),
    ("/limits/sockets", "0"),
    ("/limits/sockets", "19"),
    ("/limits/sockets", "true"),
    ("/settings", ""),
    ("/settings", "[]"),
    ("/settings", "\"all\""),
    // Classes.
    ("/settings/classes", ""),
    ("/settings/classes", "[]"),
    ("/settings/classes", "\"read\""),
    ("/settings/classes", "[\"read\", \"book\"]"),
    ("/settings/classes", "{\"count\": \"many\"}"),
    ("/settings/classes/0/name", ""),
    ("/settings/classes/0/name", "\"\""),
    ("/settings/classes/0/name", "7"),
    ("/settings/classes/1/name", "\"read\""),
    ("/settings/classes/0/idempotency", "\"perhaps\""),
    ("/settings/classes/0/idempotency", "1"),
    ("/settings/classes/0/promise", ""),
    ("/settings/classes/0/promise", "0"),
    ("/settings/classes/0/promise", "99999"),
    ("/settings/classes/0/promise", "1.5"),
    ("/settings/classes/0/promise", "-1"),
    ("/settings/classes/0/promise", "\"2000000000\""),
    ("/settings/classes/0/promise", "\"long\""),
    ("/settings/classes/1/deadline", ""),
    ("/settings/classes/1/deadline", "0"),
    ("/settings/classes/1/deadline", "true"),
    ("/settings/classes/0/worth", ""),
    ("/settings/classes/0/worth", "-1"),
    ("/settings/classes/0/worth", "\"1\""),
    ("/settings/classes/0/worth", "{\"much\": 1}"),
    ("/settings/classes/0/late_worth", "1.5"),
    ("/settings/classes/0/late_worth", "\"0.2\""),
    ("/settings/classes/0/late_worth", "-0.1"),
    ("/settings/classes/2/window", ""),
    ("/settings/classes/2/window", "0"),
    ("/settings/classes/2/window", "-5"),
    // Tenants.
    ("/settings/realms", "\"north\""),
    ("/settings/realms", "[\"north\"]"),
    ("/settings/realms/0/name", ""),
    ("/settings/realms/0/name", "4"),
    (
        "/settings/realms/1",
        "{\"name\": \"north\", \"quota_rps\": 5}",
    ),
    ("/settings/realms/0/quota_rps", ""),
    ("/settings/realms/0/quota_rps", "-5"),
    ("/settings/realms/0/quota_rps", "\"50\""),
    // The domain.
    ("/settings/domain", ""),
    ("/settings/domain", "3"),
    ("/settings/domain/cores", ""),
    ("/settings/domain/cores", "0"),
    ("/settings/domain/cores", "65537"),
    ("/settings/domain/cores", "\"2\""),
    ("/settings/domain/cores", "\"two\""),
    ("/settings/domain/memory_kb", ""),
    ("/settings/domain/memory_kb", "0"),
    ("/settings/domain/memory_kb", "-1"),
    ("/settings/domain/run_factor", ""),
    ("/settings/domain/run_factor", "0.5"),
    ("/settings/domain/run_factor", "1000001"),
    ("/settings/domain/key_kb", "-1"),
    ("/settings/domain/key_kb", "\"50\""),
    ("/settings/domain/depends_on", "\"nobody\""),
    ("/settings/domain/call_share", ""),
    ("/settings/domain/call_share", "0"),
    ("/settings/domain/call_share", "-1"),
    ("/settings/domain/call_share", "\"20\""),
    ("/settings/domain/calls_by_class", "[\"maybe\"]"),
    ("/settings/domain/class_skip_worth", "[0.5]"),
    ("/settings/domain/class_skip_worth", "[1.5]"),
    ("/settings/domain/class_skip_worth", "[-1]"),
    ("/settings/domain/class_skip_worth", "[\"x\"]"),
    ("/settings/domain/preemption", "\"pause\""),
    ("/settings/domain/preemption", "\"stop\""),
    ("/settings/domain/advert", "\"loud\""),
    ("/settings/domain/callers", "-1"),
    ("/settings/domain/callers", "\"3\""),
    ("/settings/domain/caller_idle", "-1"),
    ("/settings/domain/caller_idle", "\"1\""),
    ("/settings/domain/linger", "0.5"),
    ("/settings/domain/passes_deadline", "\"perhaps\""),
    ("/settings/domain/passes_deadline", "\"1\""),
    ("/settings/domain/fresh_start", "2"),
    ("/settings/domain/fresh_start", "\"true\""),
    // Safety, goal and other top-level keys.
    ("/settings/safety/cold_from", "1.5"),
    ("/settings/safety/cold_from", "\"0.3\""),
    ("/settings/safety/warm_after", "-1"),
    ("/settings/safety/fall_multiple", "0.5"),
    ("/settings/safety/fall_multiple", "\"8\""),
    ("/settings/safety/drain_grace", "\"soon\""),
    ("/settings/feedback", "{\"how\": \"by_post\"}"),
    ("/settings/goal/whole", "1.5"),
    ("/settings/goal/worst_class", "-1"),
    ("/settings/goal/worst_class", "2"),
    ("/settings/goal/worst_tenant", "2"),
    ("/settings/goal/worst_tenant", "\"0\""),
    ("/settings/group_size", "-1"),
    ("/settings/group_size", "\"4\""),
    ("/settings/over_share_worth", "1.5"),
    ("/settings/over_share_worth", "[1,2]"),
];

const SITE: &[Case] = &[
    ("/fly", "1"),
    ("/$schema", "3"),
    // SCGI.
    ("/scgi", "3"),
    ("/scgi/fly", "1"),
    ("/scgi/listen", ""),
    ("/scgi/listen", "[]"),
    ("/scgi/listen", "[\"here\"]"),
    ("/scgi/listen", "\"127.0.0.1:1\""),
    ("/scgi/trusted", "[\"127.0.0.1\"]"),
    ("/scgi/routes", ""),
    ("/scgi/routes", "[]"),
    ("/scgi/routes/0/fly", "1"),
    ("/scgi/routes/0/verb", ""),
    ("/scgi/routes/0/verb", "\"post\""),
    ("/scgi/routes/0/verb", "\"\""),
    ("/scgi/routes/0/path", "\"read\""),
    ("/scgi/routes/0/path", "\"/read?x\""),
    ("/scgi/routes/0/path", "\"/a//b\""),
    ("/scgi/routes/0/path", "\"/*/b\""),
    ("/scgi/routes/0/path", "\"/a{b}\""),
    (
        "/scgi/routes/0/path",
        "\"/1/2/3/4/5/6/7/8/9/10/11/12/13/14/15/16/17\"",
    ),
    ("/scgi/routes/0/method", "\"fly\""),
    (
        "/scgi/routes/1",
        "{\"verb\": \"POST\", \"path\": \"/pay\", \"method\": \"pay\"}",
    ),
    ("/scgi/health", "\"health\""),
    ("/scgi/health", "3"),
    (
        "/scgi/routes/1",
        "{\"verb\": \"GET\", \"path\": \"/health\", \"method\": \"pay\"}",
    ),
    ("/scgi/headers/fly", "\"X\""),
    ("/scgi/headers/tenant", "\"\""),
    ("/scgi/headers/id", "\"A B\""),
    ("/scgi/headers/token", "\"HTTP_X_TENANT\""),
    ("/scgi/headers/arrived", "\"CONTENT_LENGTH\""),
    ("/scgi/headers/patience", "\"SCGI\""),
    ("/scgi/headers/retry", "\"REQUEST_METHOD\""),
    ("/scgi/headers/rank", "\"PATH_INFO\""),
    ("/scgi/headers/room", "3"),
    ("/scgi/room_kb", "0"),
    ("/scgi/room_kb", "2001"),
    ("/scgi/room_kb", "\"32\""),
    ("/scgi/body_kb", "0"),
    ("/scgi/body_kb", "65"),
    ("/scgi/body_kb", "-1"),
    // Applications.
    ("/applications", "[]"),
    ("/applications/fly", "1"),
    ("/applications/addresses", ""),
    ("/applications/addresses", "[]"),
    ("/applications/addresses", "[\"here\"]"),
    (
        "/applications/addresses",
        "[\"127.0.0.1:9\", \"127.0.0.1:9\"]",
    ),
    ("/applications/paths", "{\"fly\": \"/fly\"}"),
    ("/applications/paths", "{\"pay\": \"pay\"}"),
    ("/applications/paths", "{\"pay\": \"/a\\u0000b\"}"),
    ("/applications/connect_ms", "0"),
    ("/applications/connect_ms", "60001"),
    ("/applications/each_most", "0"),
    ("/applications/each_most", "1048577"),
    ("/applications/repeats", "1.5"),
    ("/applications/repeats", "-0.5"),
    ("/applications/attempts", "0"),
    ("/applications/attempts", "11"),
    ("/applications/slow_start_ms", "600001"),
    ("/applications/cold_rate", "-1"),
    ("/applications/cold_rate", "1000001"),
    ("/applications/processes", "0"),
    ("/applications/processes", "100001"),
    ("/applications/result_kb", "0"),
    ("/applications/result_kb", "1025"),
    // Operators, state, log.
    ("/operator", "{}"),
    ("/operator/fly", "1"),
    ("/operator/listen", "\"here\""),
    ("/operator/listen", "\"unix:\""),
    ("/operator/listen", "\"192.0.2.1:80\""),
    ("/state", "{}"),
    ("/state/fly", "1"),
    ("/state/folder", "3"),
    ("/state/every_s", "0"),
    ("/state/every_s", "3601"),
    ("/log", "{\"format\": \"verse\"}"),
    ("/log", "{\"fly\": 1}"),
    ("/log", "{\"levels\": \"loud\"}"),
    ("/log", "{\"levels\": 3}"),
    // The fleet.
    ("/fleet", "{}"),
    ("/fleet", ""),
    ("/fleet/fly", "1"),
    ("/fleet/name", "\"\""),
    (
        "/fleet/name",
        "\"12345678901234567890123456789012345678901234567890123456789012345\"",
    ),
    ("/fleet/listen", "\"here\""),
    ("/fleet/listen", "\"0.0.0.0:7000\""),
    ("/fleet/advertise", "\"[::]:7000\""),
    ("/fleet/advertise", "\"here\""),
    ("/fleet/peers", ""),
    ("/fleet/peers", "[\"here\"]"),
    ("/fleet/networks", "[]"),
    ("/fleet/networks", "[\"all\"]"),
    ("/fleet/behind_s", "0"),
    ("/fleet/behind_s", "3601"),
    ("/fleet/silent_s", "0"),
    ("/fleet/silent_s", "3601"),
    ("/fleet/silent", "\"panic\""),
    ("/fleet/keepers", "[]"),
    ("/fleet/keepers", "[\"\"]"),
    ("/fleet/keepers", "[\"a\", \"a\"]"),
    (
        "/fleet/keepers",
        "[\"a\",\"b\",\"c\",\"d\",\"e\",\"f\",\"g\",\"h\",\"i\",\"j\"]",
    ),
    ("/fleet/lease_ms", "1999"),
    ("/fleet/lease_ms", "600001"),
    ("/fleet/lease_ms", "10000"),
    ("/fleet/verdicts", "{\"fly\": true}"),
    ("/fleet/verdicts", "{\"trials\": 1}"),
    ("/fleet/clock_steps", "1"),
    // Limits.
    ("/limits", "{}"),
    ("/limits/0/fly", "1"),
    ("/limits/0/name", ""),
    ("/limits/0/name", "\"\""),
    (
        "/limits/0/name",
        "\"12345678901234567890123456789012345678901234567890123456789012345\"",
    ),
    ("/limits/0/tenant", "\"west\""),
    ("/limits/0/method", "\"fly\""),
    ("/limits/0/dependency", "\"disk\""),
    ("/limits/0/tenant", ""),
    (
        "/limits/0",
        "{\"name\": \"x\", \"method\": \"pay\", \"dependency\": \"store\", \"rps\": 5}",
    ),
    ("/limits/0/rps", ""),
    ("/limits/0/rps", "0"),
    ("/limits/0/rps", "1000001"),
    ("/limits/0/rps", "\"40\""),
    ("/limits/0/burst", "1"),
    ("/limits/0/burst", "1000001"),
    ("/limits/0/burst", "10"),
    ("/limits/0/in_hand", "5"),
    ("/limits/1/in_hand", "0"),
    ("/limits/1/in_hand", "1000001"),
    ("/limits/1/burst", "5"),
    ("/limits/1/name", "\"north\""),
    ("/limits/0/cut_off", "\"open\""),
    (
        "/limits/0/cut_off",
        "{\"open\": {\"each\": -1, \"most\": 5}}",
    ),
    (
        "/limits/0/cut_off",
        "{\"open\": {\"each\": 1, \"most\": 1000001}}",
    ),
    ("/limits/0/cut_off", "{\"open\": {\"each\": 1}}"),
    (
        "/limits/2",
        "{\"name\": \"part\", \"tenant\": \"north\", \"method\": \"pay\", \"rps\": 50, \"burst\": 50}",
    ),
    (
        "/limits",
        "[{\"name\": \"all\", \"tenant\": \"north\", \"rps\": 50}, {\"name\": \"a\", \"tenant\": \"north\", \"method\": \"pay\", \"rps\": 30}, {\"name\": \"b\", \"tenant\": \"north\", \"method\": \"read\", \"rps\": 30}]",
    ),
    (
        "/limits",
        "[{\"name\": \"all\", \"dependency\": \"store\", \"rps\": 4}, {\"name\": \"a\", \"dependency\": \"store\", \"tenant\": \"north\", \"rps\": 3}, {\"name\": \"b\", \"dependency\": \"store\", \"tenant\": \"north\", \"rps\": 3}]",
    ),
    // Levels.
    ("/levels", "3"),
    ("/levels/fly", "1"),
    ("/levels/stay_ms", "999"),
    ("/levels/stay_ms", "3600001"),
    ("/levels/smooth_ms", "99"),
    ("/levels/smooth_ms", "60001"),
    ("/levels/record_ms", "-1"),
    ("/levels/list", "[]"),
    ("/levels/list/0/name", "\"\""),
    ("/levels/list/1/name", "\"a b\""),
    ("/levels/list/1/name", "\"full\""),
    ("/levels/list/1/fly", "1"),
    (
        "/levels/list/0/when",
        "[{\"signal\": \"cold\", \"enter\": 0.5, \"leave\": 0.1}]",
    ),
    ("/levels/list/1/when", "[]"),
    ("/levels/list/1/when/0/signal", "\"mood\""),
    ("/levels/list/1/when/0/enter", ""),
    (
        "/levels/list/1/when/1",
        "{\"signal\": \"memory\", \"enter\": 0.9, \"leave\": 0.1}",
    ),
    ("/levels/list/1/when/0/enter", "0"),
    ("/levels/list/1/when/0/enter", "1"),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"hold\", \"enter\": 4, \"leave\": 0.1}",
    ),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"running\", \"enter\": 4, \"leave\": 0.1}",
    ),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"unread\", \"enter\": 20, \"leave\": 0.1}",
    ),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"slowness\", \"enter\": 1000, \"leave\": 0.1}",
    ),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"pushed_back\", \"enter\": 1, \"leave\": 0.1}",
    ),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"breaker\", \"enter\": 1, \"leave\": 0.1}",
    ),
    (
        "/levels/list/1/when/0",
        "{\"signal\": \"cold\", \"enter\": 1, \"leave\": 0.1}",
    ),
    ("/levels/list/1/when/0/leave", "-0.1"),
    ("/levels/list/1/when/0/leave", "0.85"),
    ("/levels/list/1/when/0/enter_ms", "99"),
    ("/levels/list/1/when/0/leave_ms", "600001"),
    (
        "/levels/list/2",
        "{\"name\": \"x\", \"when\": [{\"signal\": \"memory\", \"enter\": 0.8, \"leave\": 0.1}]}",
    ),
    ("/levels/list/1/does", "{\"fly\": 1}"),
    ("/levels/list/1/does", "{\"least_criticality\": -1}"),
    ("/levels/list/1/does", "{\"hold\": 1.5}"),
    ("/levels/list/1/does", "{\"value\": 1.5}"),
    ("/levels/list/0/does", "{\"closed\": true}"),
    ("/levels/list/0/does", "{\"effects_only\": true}"),
    ("/levels/list/0/does", "{\"least_criticality\": 2}"),
    ("/levels/list/0/does", "{\"hold\": 0.01}"),
    ("/levels/list/0/does", "{\"value\": 0}"),
];

/// Files that are not an object at all.
const NOT_OBJECTS: [&str; 6] = [
    "",
    "nothing",
    "[]",
    "{",
    "{} {}",
    "{\"name\": 1, \"name\": 2}",
];

fn config() -> Value {
    let address = "127.0.0.1:9";
    json!({"name": "n3", "listen": address, "engine": address, "store": address, "control": address, "seed": "8c1f",
        "stop_ms": 1500, "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": serde_json::from_str::<Value>(SETTINGS).unwrap()})
}

fn site() -> Value {
    json!({
        "scgi": {"listen": ["127.0.0.1:9"], "headers": {},
            "routes": [{"verb": "POST", "path": "/pay", "method": "pay"}]},
        "applications": {"addresses": ["127.0.0.1:9"]},
        "operator": {"listen": "unix:operator.sock"},
        "state": {"folder": "kept"},
        "fleet": {"name": "alps", "listen": "127.0.0.1:9", "peers": [], "keepers": ["n3"], "lease_ms": 20_000},
        "limits": [{"name": "north", "tenant": "north", "rps": 40.0, "burst": 40},
            {"name": "pays", "method": "pay", "in_hand": 50}],
        "levels": {"list": [{"name": "full"},
            {"name": "lean", "when": [{"signal": "memory", "enter": 0.9, "leave": 0.5}]}]}
    })
}

/// Returns the file with `value` at `pointer`; an index past the end of an array appends to it.
fn with_value(file: &Value, pointer: &str, value: &str) -> String {
    let mut file = file.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let value: Option<Value> = (!value.is_empty()).then(|| serde_json::from_str(value).unwrap());
    match (
        file.pointer_mut(parent)
            .unwrap_or_else(|| panic!("{pointer}")),
        value,
    ) {
        (Value::Object(members), Some(value)) => drop(members.insert(key.to_owned(), value)),
        (Value::Object(members), None) => {
            drop(members.remove(key).unwrap_or_else(|| panic!("{pointer}")))
        }
        (Value::Array(items), Some(value)) => {
            let at = key.parse().unwrap();
            items.truncate(at);
            items.push(value);
        }
        _ => panic!("{pointer}"),
    }
    file.to_string()
}

/// Arrays that are too long to write out: pointer, length and element, in which `#` is the element's number.
const LONG_ARRAYS: [(&str, usize, &str); 8] = [
    ("/scgi/listen", 17, "\"127.0.0.1:#\""),
    (
        "/scgi/routes",
        4_097,
        "{\"verb\": \"POST\", \"path\": \"/#\", \"method\": \"pay\"}",
    ),
    ("/applications/addresses", 4_097, "\"127.0.0.1:#\""),
    ("/fleet/peers", 257, "\"127.0.0.1:#\""),
    ("/fleet/networks", 257, "\"127.0.0.0/8\""),
    (
        "/limits",
        10_001,
        "{\"name\": \"l#\", \"method\": \"pay\", \"rps\": 5}",
    ),
    ("/levels/list", 17, "{\"name\": \"l#\"}"),
    (
        "/levels/list/1/when",
        17,
        "{\"signal\": \"memory\", \"enter\": 0.9, \"leave\": 0.#}",
    ),
];

fn long_array(count: usize, element: &str) -> String {
    let items: Vec<String> = (1..=count)
        .map(|at| element.replace('#', &at.to_string()))
        .collect();
    format!("[{}]", items.join(","))
}

fn truncated(value: &str) -> String {
    match value.char_indices().nth(MAX_SHOWN_LENGTH) {
        Some((at, _)) => format!("{}… ({} bytes)", &value[..at], value.len()),
        None => value.to_owned(),
    }
}

/// Runs `coralstep check` on valid files, except for `file`, which contains `text`.
fn check_file(folder: &Folder, file: &str, text: &str) -> String {
    folder.write("config.json", config().to_string());
    folder.write("site.json", site().to_string());
    folder.write(file, text);
    let files = ["--config", "config.json", "--site", "site.json"];
    // Keys that may be missing with a site file are required without one.
    let words = if file == "config.json" {
        &files[..2]
    } else {
        &files[..]
    };
    let (code, out, errors) = run(&folder.0, &[&["check"], words].concat());
    format!("    {code} {out}{errors}")
}

/// Guards against a lost error, or a changed exit code, key or message.
#[test]
fn messages_about_faulty_files_match_golden_file() {
    let folder = Folder::new("faults");
    let mut text = String::new();
    for (name, file, rows) in [
        ("config.json", config(), CONFIG),
        ("site.json", site(), SITE),
    ] {
        text += &format!("{name}\n{}", check_file(&folder, name, &file.to_string()));
        for content in NOT_OBJECTS {
            text += &format!("{name} {content:?}\n{}", check_file(&folder, name, content));
        }
        for (pointer, value) in rows {
            let output = check_file(&folder, name, &with_value(&file, pointer, value));
            let value = if value.is_empty() {
                "left out".to_owned()
            } else {
                truncated(value)
            };
            text += &format!("{name} {pointer} {value}\n{output}");
        }
    }
    for (pointer, count, element) in LONG_ARRAYS {
        let output = check_file(
            &folder,
            "site.json",
            &with_value(&site(), pointer, &long_array(count, element)),
        );
        text += &format!("site.json {pointer} {count} times {element}\n{output}");
    }
    golden::assert_matches("faulty-files.txt", &text);
}

/// Guards against a server that starts with faulty files, or exits with another code than `check`.
#[test]
fn server_does_not_start_with_faulty_files() {
    let folder = Folder::new("serve");
    let faulty = with_value(&config(), "/seed", "\"xyz\"");
    let check_file = check_file(&folder, "config.json", &faulty);
    let (code, out, errors) = run(&folder.0, &["serve", "--config", "config.json"]);
    assert_eq!((code, format!("    {code} {out}{errors}")), (2, check_file));
}

/// Guards against renamed environment variables, and against variables that override the file.
#[test]
fn environment_variables_fill_missing_keys() {
    let folder = Folder::new("variables");
    let mut without = config();
    let members = without.as_object_mut().unwrap();
    members.retain(|key, _| key != "name" && key != "listen");
    folder.write("without.json", without.to_string());
    folder.write("whole.json", config().to_string());
    let [file, whole] = ["without.json", "whole.json"].map(|file| ("RELAY_CONFIG", file));
    let (name, listen) = (("RELAY_NAME", "n9"), ("RELAY_LISTEN", "127.0.0.1:99"));
    let calls: [&[(&str, &str)]; 6] = [
        &[file],
        &[file, name],
        &[file, name, listen],
        &[file, name, ("RELAY_LISTEN", "here")],
        &[whole, name, listen],
        &[("RELAY_CONFIG", "nowhere.json")],
    ];
    let mut text = String::new();
    for variables in calls {
        let (code, out, errors) = run_with(&folder.0, &["check"], variables);
        let variables: Vec<String> = variables
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        text += &format!(
            "{} coralstep check\n    {code} {out}{errors}",
            variables.join(" ")
        );
    }
    golden::assert_matches("variables.txt", &text);
}
