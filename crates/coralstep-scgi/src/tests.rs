use super::whole;

#[test]
fn figures_are_plain_digits() {
    assert_eq!(
        (whole(b"0"), whole(b"10"), whole(b"999999999999999999")),
        (Some(0), Some(10), Some(10u64.pow(18) - 1))
    );
    for bad in [
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
        assert_eq!(whole(bad.as_bytes()), None, "{bad:?}");
    }
}
