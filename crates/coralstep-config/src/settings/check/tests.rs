use serde_json::{Value, json};

use crate::from_json;

fn valid_settings() -> Value {
    json!({
        "classes": [{"name": "read", "promise": 2_300_000_000u64, "deadline": 4_000_000_000u64, "worth": 1},
            {"name": "pay", "idempotency": "by_key", "promise": 1_000_000_000u64, "deadline": 2_000_000_000u64,
             "worth": 2.5, "window": 20_000_000_000u64, "late_worth": 0.2}],
        "domain": {"cores": 6, "memory_kb": 26_622.0, "run_factor": 8, "depends_on": "shared", "call_share": 0.4},
        "realms": [{"name": "north", "quota_rps": 65.0}], "safety": {"cold_from": 0.3, "fall_multiple": 8}
    })
}

#[test]
fn accepts_valid_settings() {
    let (config, names) = from_json(&valid_settings()).unwrap();
    assert_eq!(
        (config.cores, config.methods.len(), names.tenants.len()),
        (6, 2, 1)
    );
}

/// Each required setting is missing, of the wrong type or out of range in turn.
#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn rejects_each_missing_or_invalid_setting_by_its_path() {
    for (path, value, expected) in [
        ("/classes/0/name", Value::Null, "classes.0.name: missing"),
        ("/classes/0/name", json!(5), "classes.0.name=5 is no text"),
        (
            "/classes/1/name",
            json!("read"),
            "classes.1.name=read is there twice",
        ),
        (
            "/classes/0/promise",
            Value::Null,
            "classes.0.promise: missing",
        ),
        (
            "/classes/0/promise",
            json!(0),
            "classes.0.promise=0 is not from 100000 to",
        ),
        (
            "/classes/0/promise",
            json!("2300000000"),
            "classes.0.promise=2300000000 is text",
        ),
        (
            "/classes/0/deadline",
            json!(-5),
            "classes.0.deadline=-5 is no proper value",
        ),
        (
            "/classes/0/deadline",
            json!(true),
            "classes.0.deadline=true is no proper value",
        ),
        ("/classes/0/worth", Value::Null, "classes.0.worth: missing"),
        (
            "/classes/1/late_worth",
            json!(1.5),
            "classes.1.late_worth=1.5 is not from 0 to 1",
        ),
        (
            "/classes/1/window",
            Value::Null,
            "classes.1.window: missing",
        ),
        (
            "/classes/1/idempotency",
            json!("maybe"),
            "classes.1.idempotency=maybe is unknown",
        ),
        ("/classes/1", json!(7), "classes.1.name: missing"),
        (
            "/realms/0/quota_rps",
            Value::Null,
            "realms.0.quota_rps: missing",
        ),
        (
            "/realms/0/quota_rps",
            json!(-1),
            "realms.0.quota_rps=-1 is no amount",
        ),
        (
            "/realms",
            json!("north"),
            "realms=north is no list of objects",
        ),
        ("/domain/cores", Value::Null, "domain.cores: missing"),
        (
            "/domain/cores",
            json!(0),
            "domain.cores=0 is not from 1 to 65536",
        ),
        ("/domain/cores", json!("6"), "domain.cores=6 is text"),
        (
            "/domain/memory_kb",
            json!(0),
            "domain.memory_kb=0 is not from 1 to",
        ),
        (
            "/domain/run_factor",
            json!(0.5),
            "domain.run_factor=0.5 is not from 1 to",
        ),
        (
            "/domain/call_share",
            Value::Null,
            "domain.call_share: missing",
        ),
        ("/domain", json!(5), "domain.cores: missing"),
        (
            "/safety/cold_from",
            json!(22),
            "safety.cold_from=22 is not from 0 to 1",
        ),
        (
            "/safety/fall_multiple",
            json!(0),
            "safety.fall_multiple=0 is not from 1 to",
        ),
    ] {
        let mut settings = valid_settings();
        *settings.pointer_mut(path).unwrap() = value.clone();
        let message = from_json(&settings).unwrap_err().to_string();
        assert!(message.starts_with(expected), "{path} {value}: {message:?}");
    }
}
