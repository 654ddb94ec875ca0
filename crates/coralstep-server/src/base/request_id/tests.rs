use super::*;

#[test]
fn accepts_only_16_hex_digits_and_round_trips() {
    assert_eq!(
        RequestId::parse("9b1f03aa5c7e2d41").unwrap().to_string(),
        "9b1f03aa5c7e2d41"
    );
    assert_eq!(
        RequestId::from_number(0x9b1f_03aa_5c7e_2d41),
        RequestId::parse("9b1f03aa5c7e2d41").unwrap()
    );
    assert!(
        ["", "9b1f", "9b1f03aa5c7e2d4x", "9b1f03aa5c7e2d411"]
            .iter()
            .all(|invalid| RequestId::parse(invalid).is_none())
    );
}
