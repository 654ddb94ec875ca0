use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn what_is_spoilt_costs_only_itself(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..8),
        flip in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let (mut bytes, mut starts) = (Vec::new(), Vec::new());
        for payload in &payloads {
            starts.push(bytes.len());
            put(&mut bytes, payload);
        }
        let whole: Vec<&[u8]> = payloads.iter().map(Vec::as_slice).collect();
        prop_assert_eq!(records(&bytes), (whole.clone(), 0));
        let at = flip.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let hit = starts.iter().rposition(|start| *start <= at).unwrap();
        let (read, lost) = records(&bytes);
        let mut rest = whole;
        rest.remove(hit);
        prop_assert!(lost > 0);
        prop_assert_eq!(read, rest);
    }

    #[test]
    fn cut_anywhere_the_records_before_are_there(payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 1..5)) {
        let (mut bytes, mut ends) = (Vec::new(), Vec::new());
        for payload in &payloads {
            put(&mut bytes, payload);
            ends.push(bytes.len());
        }
        for cut in 0..bytes.len() {
            let whole = ends.iter().filter(|end| **end <= cut).count();
            prop_assert_eq!(records(&bytes[..cut]).0.len(), whole);
        }
    }
}

#[test]
fn a_head_tells_kind_and_version() {
    let bytes = head(Kind::Tokens, 7);
    assert_eq!(
        (
            bytes.len(),
            version(&bytes, Kind::Tokens),
            version(&bytes, Kind::Learned)
        ),
        (HEAD, Some(7), None)
    );
    assert!((0..HEAD).all(|cut| version(&bytes[..cut], Kind::Tokens).is_none()));
}
