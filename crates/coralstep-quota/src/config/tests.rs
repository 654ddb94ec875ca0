use super::*;
use crate::limit::{Limit, LimitKind, stricter_limits};
use serde_json::{Value, json};

fn resolved(limits: Value) -> Result<Vec<Limit>, String> {
    let owned = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let (methods, tenants, dependencies) = (
        owned(&["read", "save"]),
        owned(&["a", "b"]),
        owned(&["store"]),
    );
    let names = KnownNames {
        methods: &methods,
        calls_dependency: &[true, false],
        tenants: &tenants,
        dependencies: &dependencies,
    };
    let configs: Vec<LimitConfig> =
        serde_json::from_value(limits).map_err(|error| error.to_string())?;
    resolve_limits(&configs, &names).map_err(|error| error.to_string())
}

fn assert_refused(cases: &[(Value, &str)]) {
    for (limits, message) in cases {
        let error = resolved(limits.clone()).unwrap_err();
        assert!(error.starts_with(message), "{error} instead of {message}");
    }
}

#[test]
fn consistent_limits_are_resolved() {
    let good = resolved(json!([
        {"name": "a", "tenant": "a", "rps": 100},
        {"name": "a reads", "tenant": "a", "method": "read", "rps": 60},
        {"name": "a saves", "tenant": "a", "method": "save", "rps": 40},
        {"name": "store", "dependency": "store", "in_hand": 40, "cut_off": {"open": {"each": 1, "most": 20}}},
    ]));
    let good = good.unwrap();
    assert_eq!(
        good[0].kind,
        LimitKind::Rate {
            rps: 100.0,
            burst: 100
        }
    );
    assert!(
        good[3].scope.calls_dependency
            && good[3].cut_off
                == CutOff::Open {
                    per_server: 1.0,
                    fleet_total: 20.0
                }
    );
}

#[test]
fn a_faulty_limit_is_refused_by_its_setting() {
    assert_refused(&[
        (json!([{"name": "x", "rps": 1}]), "limits[0].name: names no"),
        (
            json!([{"name": "x", "tenant": "c", "rps": 1}]),
            "limits[0].tenant: \"c\" is unknown",
        ),
        (
            json!([{"name": "x", "tenant": "a"}]),
            "limits[0].rps: one of",
        ),
        (
            json!([{"name": "x", "tenant": "a", "rps": 0}]),
            "limits[0].rps: 0 is not from",
        ),
        (
            json!([{"name": "x", "tenant": "a", "rps": 100, "burst": 10}]),
            "limits[0].burst: 10 lets no more than 20 ",
        ),
        (
            json!([{"name": "x", "method": "save", "dependency": "store", "in_hand": 1}]),
            "limits[0].dependency: unreachable",
        ),
    ]);
}

#[test]
fn unreachable_limits_and_those_under_their_parts_are_refused() {
    assert_refused(&[
        (
            json!([{"name": "x", "tenant": "a", "rps": 1}, {"name": "x", "tenant": "b", "rps": 1}]),
            "limits[1].name",
        ),
        (
            json!([{"name": "w", "tenant": "a", "rps": 5}, {"name": "p", "tenant": "a", "method": "read", "rps": 6}]),
            "limits[1]: 6 is unreachable under limits[0]",
        ),
        (
            json!([{"name": "w", "method": "read", "in_hand": 5}, {"name": "p", "tenant": "a", "method": "read", "in_hand": 3},
                {"name": "q", "tenant": "b", "method": "read", "in_hand": 3}]),
            "limits[0]: 5 is under the sum of its parts, 6",
        ),
    ]);
}

#[test]
fn of_two_versions_the_lower_figures_apply() {
    let one = resolved(
        json!([{"name": "a", "tenant": "a", "rps": 100}, {"name": "s", "method": "save", "in_hand": 4}]),
    )
    .unwrap();
    let two = resolved(
        json!([{"name": "a", "tenant": "a", "rps": 10}, {"name": "s", "method": "save", "in_hand": 40}]),
    )
    .unwrap();
    let mut held: Vec<LimitKind> = stricter_limits(&one, &two)
        .into_iter()
        .map(|limit| limit.kind)
        .collect();
    held.sort_by_key(|kind| matches!(kind, LimitKind::InFlight(_)));
    assert_eq!(
        held,
        [
            LimitKind::Rate {
                rps: 10.0,
                burst: 10
            },
            LimitKind::InFlight(4)
        ]
    );
    assert_eq!(stricter_limits(&one, &two), stricter_limits(&two, &one));
}
