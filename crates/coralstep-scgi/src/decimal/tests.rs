use super::parse;

#[test]
fn parses_digits_only() {
    assert_eq!(
        (parse(b"0"), parse(b"10"), parse(b"999999999999999999")),
        (Some(0), Some(10), Some(10u64.pow(18) - 1))
    );
    for invalid in [
        "",
        "-1",
        "+1",
        " 1",
        "1 ",
        "01",
        "0x1",
        "1e3",
        "1000000000000000000",
        "99999999999999999999999",
    ] {
        assert_eq!(parse(invalid.as_bytes()), None, "{invalid:?}");
    }
}
