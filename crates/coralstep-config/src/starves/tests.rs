use super::*;
use coralstep::Method;
use serde_json::json;

#[test]
fn what_turns_a_method_away_for_good_is_named_and_what_does_so_for_a_while_is_not() {
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
        SiteTerms::parse(&text.to_string(), &names).unwrap()
    };
    let (all, both) = (json!({}), ["read", "save"]);
    let good = site(all.clone(), &both);
    assert_eq!(check(&good, Some(&good), &names, &terms), Ok(()));
    for (does, key) in [
        (json!({"closed": true}), "closed"),
        (json!({"effects_only": true}), "effects_only"),
        (json!({"least_criticality": 2.0}), "least_criticality"),
        (json!({"hold": 0.01}), "hold"),
        (json!({"value": 0.0}), "value"),
    ] {
        let why = check(&site(does, &both), None, &names, &terms).unwrap_err();
        assert!(
            why.starts_with(&format!("levels.list[0].does.{key}: starves")),
            "{why}"
        );
    }
    let without = site(all, &["read"]);
    assert_eq!(
        check(&without, None, &names, &terms),
        Ok(()),
        "it never had one"
    );
    let why = check(&without, Some(&good), &names, &terms).unwrap_err();
    assert_eq!(why, "scgi.routes: starves \"save\": no route leads to it");
}
