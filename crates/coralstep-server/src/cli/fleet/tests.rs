use super::parse_stages;

#[test]
fn rollout_stages_rise_to_the_whole_fleet() {
    assert_eq!(parse_stages("0.05,0.3,1"), Ok(vec![0.05, 0.3, 1.0]));
    for bad in ["", "0.5", "0.3,0.2,1", "0,1", "1,2", "x"] {
        assert!(parse_stages(bad).is_err(), "{bad}");
    }
}
