use super::waves;

#[test]
fn waves_rise_to_all() {
    assert_eq!(waves("0.05,0.3,1"), Ok(vec![0.05, 0.3, 1.0]));
    for bad in ["", "0.5", "0.3,0.2,1", "0,1", "1,2", "x"] {
        assert!(waves(bad).is_err(), "{bad}");
    }
}
