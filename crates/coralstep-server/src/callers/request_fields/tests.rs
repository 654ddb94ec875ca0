use super::parse_below;

#[test]
fn numbers_out_of_their_range_are_none() {
    assert_eq!(
        (parse_below("0", 1.0), parse_below("0.5", 1.0)),
        (Some(0.0), Some(0.5))
    );
    for bad in ["1", "-0.1", "NaN", "inf", "", "x"] {
        assert_eq!(parse_below(bad, 1.0), None, "{bad:?}");
    }
}
