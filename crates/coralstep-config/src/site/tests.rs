use super::*;
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../../deploy/site.example.json");

fn names() -> Names {
    let methods = ["read", "book", "pay"].map(str::to_owned).to_vec();
    Names {
        methods,
        ..Names::default()
    }
}

#[test]
fn example_parses_and_matches_the_committed_schema() {
    let site = SiteConfig::parse(EXAMPLE, &names()).unwrap();
    let scgi = site.scgi.unwrap();
    assert_eq!(scgi.headers, HeaderNames::default());
    assert_eq!((scgi.health.as_str(), scgi.body_kb), ("/health", 8));
    assert_eq!(
        site.applications.unwrap().connect_timeout(),
        Duration::from_millis(500)
    );
    let schema = include_str!("../../../../deploy/site.schema.json");
    assert_eq!(
        schema,
        SiteConfig::schema(),
        "deploy/site.schema.json is not what `coralstep schema` prints"
    );
    let schema: serde_json::Value = serde_json::from_str(schema).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    assert!(validator.is_valid(&serde_json::from_str(EXAMPLE).unwrap()));
    assert!(!validator.is_valid(&serde_json::json!({"scgi": {"listen": []}})));
    assert!(!validator.is_valid(&serde_json::json!({"scgl": {}})));
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn error_starts_with_the_path_of_the_invalid_key() {
    for (valid, invalid, expected) in [
        ("\"scgi\"", "\"scgl\"", "scgl: unknown field `scgl`"),
        (
            "\"127.0.0.1:6570\"",
            "\"here\"",
            "scgi.listen[0]: invalid socket address syntax",
        ),
        ("127.0.0.0/8", "127.0.0.0/99", "scgi.trusted[0]: "),
        (
            "\"method\": \"pay\"",
            "\"method\": \"fly\"",
            "scgi.routes[1].method: \"fly\" is unknown",
        ),
        (
            "\"/save\"",
            "\"save\"",
            "scgi.routes[1]: a path begins with /",
        ),
        (
            "\"POST\"",
            "\"post\"",
            "scgi.routes[1]: a verb is capital letters",
        ),
        ("\"/save\"", "\"/route/{id}\"", "scgi.routes[2]: "),
        (
            "\"room_kb\": 32.0",
            "\"room_kb\": 0",
            "scgi.room_kb: 0 is not from 0.1 to 2000",
        ),
        (
            "\"room_kb\": 32.0",
            "\"room_kb\": \"big\"",
            "scgi.room_kb: invalid type",
        ),
        (
            "\"body_kb\": 8",
            "\"body_kb\": 65",
            "scgi.body_kb: 65 is not from 1 to 64",
        ),
        (
            "\"HTTP_X_TENANT\"",
            "\"SCGI\"",
            "scgi.headers.tenant: SCGI is taken",
        ),
        (
            "\"HTTP_X_TENANT\"",
            "\"a b\"",
            "scgi.headers.tenant: \"a b\" is no name",
        ),
        (
            "127.0.0.1:7002",
            "127.0.0.1:7001",
            "applications.addresses[1]: 127.0.0.1:7001 comes twice",
        ),
        (
            "\"read\": \"/plan\"",
            "\"fly\": \"/plan\"",
            "applications.paths.fly: no such method",
        ),
        (
            "\"repeats\": 0.1",
            "\"repeats\": 1.5",
            "applications.repeats: 1.5 is not from 0 to 1",
        ),
        (
            "\"connect_ms\": 500",
            "\"connect_ms\": -5",
            "applications.connect_ms: invalid value",
        ),
        (
            "\"levels\": {}",
            "\"levels\": {\"stay_ms\": 5}",
            "levels.stay_ms: 5 is not from 1000",
        ),
        (
            "\"levels\": {}",
            "\"levels\": {\"list\": [{\"when\": []}]}",
            "levels.list[0]: missing field `name`",
        ),
        (
            "127.0.0.1:6580",
            "10.0.0.1:6580",
            "operator.listen: 10.0.0.1:6580 is not on loopback",
        ),
        (
            "127.0.0.1:6580",
            "here",
            "operator.listen: \"here\" is neither",
        ),
        ("\"text\"", "\"loud\"", "log.format: unknown variant"),
    ] {
        assert!(EXAMPLE.contains(valid), "{valid}");
        let message = SiteConfig::parse(&EXAMPLE.replacen(valid, invalid, 1), &names())
            .unwrap_err()
            .to_string();
        assert!(message.starts_with(expected), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
    assert!(
        SiteConfig::parse("{", &names())
            .unwrap_err()
            .to_string()
            .starts_with("site file: ")
    );
    assert!(
        SiteConfig::parse("{} x", &names())
            .unwrap_err()
            .to_string()
            .starts_with("site file: ")
    );
}
