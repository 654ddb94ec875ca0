use super::within;

#[test]
fn figures_out_of_their_range_are_none() {
    assert_eq!(
        (within("0", 1.0), within("0.5", 1.0)),
        (Some(0.0), Some(0.5))
    );
    for bad in ["1", "-0.1", "NaN", "inf", "", "x"] {
        assert_eq!(within(bad, 1.0), None, "{bad:?}");
    }
}
