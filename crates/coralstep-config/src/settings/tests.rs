use coralstep::{LoadReportKind, Preemption, Span};
use serde_json::Value;

use super::{from_json, from_pairs};

#[test]
fn pairs_and_json_give_the_same_configuration() {
    let line = "classes.count=2 classes.0.name=read classes.0.promise=2300000050 classes.0.deadline=4000000000 classes.0.worth=1.5 \
            classes.1.name=save classes.1.idempotency=once classes.1.promise=1000000 classes.1.deadline=12000000000 classes.1.worth=1 domain.cores=6 \
            domain.memory_kb=20000 domain.run_factor=8 \
            domain.depends_on=shared domain.call_share=5.41 domain.calls_by_class=true,false domain.linger=50 \
            domain.class_skip_worth=0.5,0.0 domain.fresh_start=true domain.gauges=cpu_busy,sockets realms.count=1 \
            realms.0.name=north realms.0.quota_rps=65.0 goal.whole=0.4";
    let json = serde_json::json!({
        "classes": [{"name": "read", "promise": 2_300_000_050u64, "deadline": 4_000_000_000u64, "worth": 1.5},
                    {"name": "save", "idempotency": "once", "promise": 1_000_000u64, "deadline": 12_000_000_000u64, "worth": 1}],
        "domain": {"cores": 6, "memory_kb": 20_000, "run_factor": 8, "depends_on": "shared", "call_share": 5.41, "calls_by_class": [true, false],
                   "linger": 50, "class_skip_worth": [0.5, 0.0], "fresh_start": true,
                   "gauges": ["cpu_busy", "sockets"], "unknown": null},
        "realms": [{"name": "north", "quota_rps": 65.0}], "goal": {"whole": 0.4}, "stages": [[1], [2]]
    });
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    let (config_of_pairs, names_of_pairs) = from_pairs(pairs).unwrap();
    let (config, names) = from_json(&json).unwrap();
    assert_eq!(
        format!("{config:?} {names:?}"),
        format!("{config_of_pairs:?} {names_of_pairs:?}")
    );
    assert_eq!(
        (
            config.methods[0].latency_objective,
            config.abandoned_call_time
        ),
        (Span(23_000), Span(1))
    );
    assert_eq!(
        (config.methods[1].calls, config.methods[0].skip_value),
        (false, 0.5)
    );
    assert_eq!(names.tenants, ["north"]);
}

#[test]
fn error_names_the_invalid_setting() {
    for (path, value, expected) in [
        ("domain.advert", "loud", "domain.advert=loud is unknown"),
        (
            "domain.preemption",
            "kill",
            "domain.preemption=kill is unknown",
        ),
        ("domain.memory_kb", "-1", "domain.memory_kb=-1 is no amount"),
        (
            "domain.fresh_start",
            "yes",
            "domain.fresh_start=yes is neither 1 nor 0",
        ),
        (
            "safety.drain_grace",
            "2s",
            "safety.drain_grace=2s is no proper value",
        ),
        (
            "domain.passes_deadline",
            "soon",
            "domain.passes_deadline=soon is neither 1 nor 0",
        ),
        ("feedback.how", "probe", "feedback.how=probe is unknown"),
        ("realms.count", "few", "realms.count=few is no proper value"),
    ] {
        assert_eq!(
            from_pairs([(path, value)].into_iter())
                .unwrap_err()
                .to_string(),
            expected
        );
    }
    assert_eq!(
        from_json(&Value::Null).unwrap_err().to_string(),
        "settings: not an object"
    );
}

#[test]
fn optional_settings_are_read_and_have_defaults() {
    let read =
        |path: &str, value: &str| from_pairs([(path, value)].into_iter()).map(|(config, _)| config);
    let default = read("unknown", "1").unwrap();
    assert_eq!(
        (default.load_report, default.preemption),
        (LoadReportKind::Off, Preemption::Off)
    );
    assert!(default.tenant_quotas.is_empty() && default.methods.is_empty());
    assert_eq!(
        read("domain.advert", "level").unwrap().load_report,
        LoadReportKind::Threshold
    );
    assert_eq!(
        read("domain.preemption", "pause").unwrap().preemption,
        Preemption::Pause
    );
    assert_eq!(
        read("domain.preemption", "off").unwrap().preemption,
        Preemption::Off
    );
    // How callers receive feedback, and whether they pass a deadline, does not change the configuration.
    let unused = [
        ("feedback.how", "on_probe"),
        ("feedback.how", "off"),
        ("domain.passes_deadline", "true"),
    ];
    for (path, value) in unused {
        assert_eq!(
            format!("{:?}", read(path, value).unwrap()),
            format!("{default:?}")
        );
    }
}
