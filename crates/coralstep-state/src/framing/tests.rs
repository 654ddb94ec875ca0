use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn corrupt_record_does_not_affect_other_records(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..8),
        flip in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let (mut bytes, mut starts) = (Vec::new(), Vec::new());
        for payload in &payloads {
            starts.push(bytes.len());
            append_record(&mut bytes, payload);
        }
        let intact: Vec<&[u8]> = payloads.iter().map(Vec::as_slice).collect();
        prop_assert_eq!(
            scan_records(&bytes),
            ScannedRecords { payloads: intact.clone(), corrupt_bytes: 0 }
        );
        let at = flip.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let hit = starts.iter().rposition(|start| *start <= at).unwrap();
        let scanned = scan_records(&bytes);
        let mut rest = intact;
        rest.remove(hit);
        prop_assert!(scanned.corrupt_bytes > 0);
        prop_assert_eq!(scanned.payloads, rest);
    }

    #[test]
    fn records_before_truncation_are_complete(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 1..5),
    ) {
        let (mut bytes, mut ends) = (Vec::new(), Vec::new());
        for payload in &payloads {
            append_record(&mut bytes, payload);
            ends.push(bytes.len());
        }
        for cut in 0..bytes.len() {
            let intact = ends.iter().filter(|end| **end <= cut).count();
            prop_assert_eq!(scan_records(&bytes[..cut]).payloads.len(), intact);
        }
    }
}

#[test]
fn header_contains_kind_and_version() {
    let bytes = file_header(FileKind::IdempotencyKeys, 7);
    assert_eq!(
        (
            bytes.len(),
            read_version(&bytes, FileKind::IdempotencyKeys),
            read_version(&bytes, FileKind::Learned)
        ),
        (HEADER_BYTES, Some(7), None)
    );
    assert!(
        (0..HEADER_BYTES)
            .all(|cut| read_version(&bytes[..cut], FileKind::IdempotencyKeys).is_none())
    );
}

/// Guards against a change of the order or width of header, marker, length or checksum.
#[test]
fn encoding_of_headers_and_records_is_unchanged() {
    let all = [
        (FileKind::Learned, 1),
        (FileKind::IdempotencyKeys, 2),
        (FileKind::Fleet, 3),
    ];
    for (kind, number) in all {
        assert_eq!(
            file_header(kind, 0x0201),
            *[&b"CORALST\n"[..], &[number, 0x01, 0x02]].concat()
        );
    }
    let mut bytes = Vec::new();
    append_record(&mut bytes, &[7; 300]);
    assert_eq!(
        bytes[..10],
        [0xc5, 0x7e, 0x2c, 0x01, 0x00, 0x00, 0xc5, 0x2f, 0x53, 0x84]
    );
    assert_eq!(
        (bytes.len(), first_record(&bytes)),
        (
            310,
            Some(FramedRecord {
                payload: &[7; 300],
                framed_bytes: 310
            })
        )
    );
}
