use super::parse_below;

#[test]
fn parse_below_rejects_numbers_out_of_range() {
    assert_eq!(
        (parse_below("0", 1.0), parse_below("0.5", 1.0)),
        (Some(0.0), Some(0.5))
    );
    for invalid in ["1", "-0.1", "NaN", "inf", "", "x"] {
        assert_eq!(parse_below(invalid, 1.0), None, "{invalid:?}");
    }
}
