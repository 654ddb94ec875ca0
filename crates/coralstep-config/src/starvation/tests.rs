use super::{Idempotency, Names, SchedulerConfig, SiteConfig, check};
use coralstep::Method;
use serde_json::json;

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn rejects_configuration_that_starves_a_method_permanently() {
    let names = Names {
        methods: vec!["read".to_owned(), "save".to_owned()],
        ..Names::default()
    };
    let method = |idempotency, priority_weight| Method {
        idempotency,
        priority_weight,
        ..Method::default()
    };
    let methods = vec![
        method(Idempotency::Idempotent, 1.0),
        method(Idempotency::Keyed, 3.0),
    ];
    let config = SchedulerConfig {
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
    let (no_actions, all_methods) = (json!({}), ["read", "save"]);
    let valid = site(no_actions.clone(), &all_methods);
    assert!(check(&valid, Some(&valid), &names, &config).is_ok());
    for (does, key) in [
        (json!({"closed": true}), "closed"),
        (json!({"effects_only": true}), "effects_only"),
        (json!({"least_criticality": 2.0}), "least_criticality"),
        (json!({"hold": 0.01}), "hold"),
        (json!({"value": 0.0}), "value"),
    ] {
        let message = check(&site(does, &all_methods), None, &names, &config)
            .unwrap_err()
            .to_string();
        assert!(
            message.starts_with(&format!("levels.list[0].does.{key}: starves")),
            "{message}"
        );
    }
    let without_save = site(no_actions, &["read"]);
    assert!(
        check(&without_save, None, &names, &config).is_ok(),
        "it never had a route"
    );
    let message = check(&without_save, Some(&valid), &names, &config)
        .unwrap_err()
        .to_string();
    assert_eq!(
        message,
        "scgi.routes: starves \"save\": no route leads to it"
    );
}
