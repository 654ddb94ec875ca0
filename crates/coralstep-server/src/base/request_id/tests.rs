use super::*;

#[test]
fn ids_come_back_as_they_were() {
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
            .all(|bad| RequestId::parse(bad).is_none())
    );
}
