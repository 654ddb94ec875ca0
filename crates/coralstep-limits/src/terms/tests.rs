use super::*;
use serde_json::{Value, json};

fn tried(limits: Value) -> Result<Vec<Limit>, String> {
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
    let names = Names {
        methods: &methods,
        calls: &[true, false],
        tenants: &tenants,
        dependencies: &dependencies,
    };
    let terms: Vec<LimitTerms> = serde_json::from_value(limits).map_err(|why| why.to_string())?;
    look_up(&terms, &names)
}

#[test]
fn what_can_not_be_reached_or_is_under_its_parts_is_refused_by_its_key() {
    let good = tried(json!([
        {"name": "a", "tenant": "a", "rps": 100},
        {"name": "a reads", "tenant": "a", "method": "read", "rps": 60},
        {"name": "a saves", "tenant": "a", "method": "save", "rps": 40},
        {"name": "store", "dependency": "store", "in_hand": 40, "cut_off": {"open": {"each": 1, "most": 20}}},
    ]));
    let good = good.unwrap();
    assert_eq!(
        good[0].kind,
        Kind::Rate {
            rps: 100.0,
            burst: 100
        }
    );
    assert!(
        good[3].calls
            && good[3].cut_off
                == CutOff::Open {
                    each: 1.0,
                    most: 20.0
                }
    );
    for (bad, why) in [
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
    ] {
        let said = tried(bad).unwrap_err();
        assert!(said.starts_with(why), "{said} instead of {why}");
    }
}

#[test]
fn of_two_versions_the_lower_figures_hold() {
    let one = tried(
        json!([{"name": "a", "tenant": "a", "rps": 100}, {"name": "s", "method": "save", "in_hand": 4}]),
    )
    .unwrap();
    let two = tried(
        json!([{"name": "a", "tenant": "a", "rps": 10}, {"name": "s", "method": "save", "in_hand": 40}]),
    )
    .unwrap();
    let mut held: Vec<Kind> = lower(&one, &two)
        .into_iter()
        .map(|limit| limit.kind)
        .collect();
    held.sort_by_key(|kind| matches!(kind, Kind::InHand(_)));
    assert_eq!(
        held,
        [
            Kind::Rate {
                rps: 10.0,
                burst: 10
            },
            Kind::InHand(4)
        ]
    );
    assert_eq!(lower(&one, &two), lower(&two, &one));
}
