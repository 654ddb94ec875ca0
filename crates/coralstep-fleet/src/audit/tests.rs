use super::*;
use crate::status::tests::word;

#[test]
fn a_gap_and_a_changed_entry_are_told() {
    let mut chain = AuditChain::default();
    for number in 0..4 {
        chain.add(
            VersionId {
                number,
                ..VersionId::default()
            },
            number * 10,
            number * 10 + 10,
            number,
        );
    }
    let entries: Vec<AuditEntry> = chain.entries().cloned().collect();
    assert_eq!(verify(entries.iter()), Ok(()));
    let mut changed = entries.clone();
    changed[1].rpcs += 1;
    assert_eq!(verify(changed.iter()), Err(ChainError::ModifiedEntry(2)));
    let resumed = AuditChain::resume(entries.clone()).unwrap();
    assert_eq!(resumed.head(), chain.head());
    let mut gap = entries;
    gap.remove(2);
    assert_eq!(verify(gap.iter()), Err(ChainError::MissingEntry(3)));
}

#[test]
fn rows_are_closed_by_the_servers_own_word_and_silence_is_no_guess() {
    let mut others = PeerAudits::default();
    let mut first = word("a", 1, 1);
    (
        first.active_version.number,
        first.active_since_ms,
        first.rpcs,
    ) = (1, 1_000, 5);
    assert!(others.observe(0, &first));
    let mut next = first.clone();
    (next.active_version.number, next.active_since_ms, next.rpcs) = (2, 3_000, 0);
    (next.audit_length, next.audit_head) = (1, [1; 8]);
    assert!(others.observe(500, &next));
    let rows: Vec<AuditRow> = others.rows(600).collect();
    assert_eq!(
        (rows[0].to_ms, rows[0].rpcs, rows[0].known),
        (Some(3_000), 5, true)
    );
    assert_eq!(
        (rows[1].to_ms, rows[1].age_ms, rows[1].known),
        (None, 100, true)
    );
    let late: Vec<AuditRow> = others.rows(500 + KNOWN + 1).collect();
    assert!(late[0].known && !late[1].known);
    let at = |at_ms| AuditFilter {
        at_ms: Some(at_ms),
        ..AuditFilter::default()
    };
    assert!(
        at(2_999).matches(&rows[0]) && !at(3_000).matches(&rows[0]) && at(3_000).matches(&rows[1])
    );
    // Its record is another one of the same length.
    let mut forged = next.clone();
    forged.audit_head = [2; 8];
    assert!(!others.observe(700, &forged));
}
