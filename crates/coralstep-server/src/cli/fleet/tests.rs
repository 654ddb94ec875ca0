use super::parse_stages;

#[test]
fn rejects_rollout_stages_that_do_not_increase_to_whole_fleet() {
    assert_eq!(parse_stages("0.05,0.3,1"), Ok(vec![0.05, 0.3, 1.0]));
    for invalid in ["", "0.5", "0.3,0.2,1", "0,1", "1,2", "x"] {
        assert!(parse_stages(invalid).is_err(), "{invalid}");
    }
}
