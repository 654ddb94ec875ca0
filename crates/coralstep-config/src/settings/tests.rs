use coralstep::{LoadReportKind, Preemption, Span};
use serde_json::Value;

use super::{from_json, from_pairs};

#[test]
fn the_wire_and_json_say_the_same() {
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
                   "gauges": ["cpu_busy", "sockets"], "unheard": null},
        "realms": [{"name": "north", "quota_rps": 65.0}], "goal": {"whole": 0.4}, "stages": [[1], [2]]
    });
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    let (wire, wire_names) = from_pairs(pairs).unwrap();
    let (terms, names) = from_json(&json).unwrap();
    assert_eq!(
        format!("{terms:?} {names:?}"),
        format!("{wire:?} {wire_names:?}")
    );
    assert_eq!(
        (
            terms.methods[0].latency_objective,
            terms.abandoned_call_time
        ),
        (Span(23_000), Span(1))
    );
    assert_eq!(
        (terms.methods[1].calls, terms.methods[0].skip_value),
        (false, 0.5)
    );
    assert_eq!(names.tenants, ["north"]);
}

#[test]
fn a_faulty_setting_is_named() {
    for (path, value, why) in [
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
            why
        );
    }
    assert_eq!(
        from_json(&Value::Null).unwrap_err().to_string(),
        "settings: not an object"
    );
}

/// What further operators set: without it and with it; out of range is above.
#[test]
fn each_setting_is_read_where_it_is_there() {
    let read =
        |path: &str, value: &str| from_pairs([(path, value)].into_iter()).map(|(terms, _)| terms);
    let without = read("unheard", "1").unwrap();
    assert_eq!(
        (without.load_report, without.preemption),
        (LoadReportKind::Off, Preemption::Off)
    );
    assert!(without.tenant_quotas.is_empty() && without.methods.is_empty());
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
    // How callers hear of the load, and whether they say how long they wait, changes no term.
    let plain = [
        ("feedback.how", "on_probe"),
        ("feedback.how", "off"),
        ("domain.passes_deadline", "true"),
    ];
    for (path, value) in plain {
        assert_eq!(
            format!("{:?}", read(path, value).unwrap()),
            format!("{without:?}")
        );
    }
}
