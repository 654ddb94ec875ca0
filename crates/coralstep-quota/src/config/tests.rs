use super::*;
use crate::limit::{Limit, LimitKind, stricter_limits};
use serde_json::{Value, json};

fn resolve(limits: Value) -> Result<Vec<Limit>, String> {
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

fn assert_rejected(cases: &[(Value, &str)]) {
    for (limits, message) in cases {
        let error = resolve(limits.clone()).unwrap_err();
        assert!(
            error.starts_with(message),
            "{error:?} does not start with {message:?}"
        );
    }
}

#[test]
fn consistent_limits_are_resolved() {
    let limits = resolve(json!([
        {"name": "a", "tenant": "a", "rps": 100},
        {"name": "a reads", "tenant": "a", "method": "read", "rps": 60},
        {"name": "a saves", "tenant": "a", "method": "save", "rps": 40},
        {"name": "store", "dependency": "store", "in_hand": 40, "cut_off": {"open": {"each": 1, "most": 20}}},
    ]));
    let limits = limits.unwrap();
    assert_eq!(
        limits[0].kind,
        LimitKind::Rate {
            rps: 100.0,
            burst: 100
        }
    );
    assert!(
        limits[3].scope.calls_dependency
            && limits[3].cut_off
                == CutOff::Open {
                    per_server: 1.0,
                    fleet_total: 20.0
                }
    );
}

#[test]
fn invalid_limit_is_rejected_with_path_of_its_setting() {
    assert_rejected(&[
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
fn rejects_unreachable_limit_and_limit_below_sum_of_its_parts() {
    assert_rejected(&[
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
fn lower_values_of_two_versions_apply() {
    let one = resolve(
        json!([{"name": "a", "tenant": "a", "rps": 100}, {"name": "s", "method": "save", "in_hand": 4}]),
    )
    .unwrap();
    let two = resolve(
        json!([{"name": "a", "tenant": "a", "rps": 10}, {"name": "s", "method": "save", "in_hand": 40}]),
    )
    .unwrap();
    let mut kinds: Vec<LimitKind> = stricter_limits(&one, &two)
        .into_iter()
        .map(|limit| limit.kind)
        .collect();
    kinds.sort_by_key(|kind| matches!(kind, LimitKind::InFlight(_)));
    assert_eq!(
        kinds,
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
