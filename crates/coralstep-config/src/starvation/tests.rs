use super::{Idempotency, Names, SchedulerConfig, SiteConfig, check};
use coralstep::Method;
use serde_json::json;

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn a_configuration_that_starves_a_method_for_good_is_refused() {
    let names = Names {
        methods: vec!["read".to_owned(), "save".to_owned()],
        ..Names::default()
    };
    let method = |effect, criticality| Method {
        idempotency: effect,
        priority_weight: criticality,
        ..Method::default()
    };
    let methods = vec![
        method(Idempotency::Idempotent, 1.0),
        method(Idempotency::Keyed, 3.0),
    ];
    let terms = SchedulerConfig {
        methods,
        ..SchedulerConfig::default()
    };
    let site = |does: serde_json::Value, routes: &[&str]| {
        let routes: Vec<_> = routes
            .iter()
            .map(|method| json!({"verb": "POST", "path": format!("/{method}"), "method": method}))
            .collect();
        let when = json!([{"signal": "hold", "enter": 0.9, "leave": 0.5, "enter_ms": 500, "leave_ms": 500}]);
        let list = json!([{"name": "full", "does": does}, {"name": "closed", "when": when, "does": {"closed": true}}]);
        let text = json!({"levels": {"list": list}, "scgi": {"listen": ["127.0.0.1:1"], "routes": routes}});
        SiteConfig::parse(&text.to_string(), &names).unwrap()
    };
    let (all, both) = (json!({}), ["read", "save"]);
    let good = site(all.clone(), &both);
    assert!(check(&good, Some(&good), &names, &terms).is_ok());
    for (does, key) in [
        (json!({"closed": true}), "closed"),
        (json!({"effects_only": true}), "effects_only"),
        (json!({"least_criticality": 2.0}), "least_criticality"),
        (json!({"hold": 0.01}), "hold"),
        (json!({"value": 0.0}), "value"),
    ] {
        let why = check(&site(does, &both), None, &names, &terms)
            .unwrap_err()
            .to_string();
        assert!(
            why.starts_with(&format!("levels.list[0].does.{key}: starves")),
            "{why}"
        );
    }
    let without = site(all, &["read"]);
    assert!(
        check(&without, None, &names, &terms).is_ok(),
        "it never had one"
    );
    let why = check(&without, Some(&good), &names, &terms)
        .unwrap_err()
        .to_string();
    assert_eq!(why, "scgi.routes: starves \"save\": no route leads to it");
}
