use super::*;

#[test]
fn parse_accepts_valid_play_and_names_invalid_step() {
    let text = r#"{"seed": 1, "processes": 3, "seconds": 5, "steps": [
            {"at_s": 1, "do": {"publish": {"at": 0, "content": {}}}}, {"at_s": 2, "do": {"cut": {"one": [0], "other": [1, 2]}}},
            {"at_s": 3, "do": "heal"}, {"at_s": 3.5, "do": {"all": {"loss": 0.3, "delay": [100, 500]}}}, {"at_s": 4, "do": {"stop": 2}}]}"#;
    assert_eq!(Play::parse(text).unwrap().steps.len(), 5);
    let bad = text.replace("\"stop\": 2", "\"stop\": 3");
    assert_eq!(
        Play::parse(&bad).unwrap_err(),
        "steps[4]: there is no process 3"
    );
    assert!(
        Play::parse(&text.replace("heal", "hail"))
            .unwrap_err()
            .starts_with("steps[2].do")
    );
    assert!(Play::schema().contains("\"publish\""));
}
