use super::*;
use crate::status::tests::status;
use crate::status::{ChainHead, PastVersion};

#[test]
fn detects_missing_and_modified_audit_entries() {
    let mut chain = AuditChain::default();
    for number in 0..4 {
        chain.append(PastVersion {
            version: VersionId {
                number,
                ..VersionId::default()
            },
            from_ms: number * 10,
            to_ms: number * 10 + 10,
            rpcs: number,
        });
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
fn audit_row_ends_with_the_next_reported_version_and_becomes_unknown_if_its_server_is_silent() {
    let mut peers = PeerAudits::default();
    let mut first = status("a", 1, 1);
    (
        first.active_version.number,
        first.active_since_ms,
        first.rpcs,
    ) = (1, 1_000, 5);
    assert!(peers.observe(0, &first));
    let mut next = first.clone();
    (next.active_version.number, next.active_since_ms, next.rpcs) = (2, 3_000, 0);
    next.audit = ChainHead {
        hash: [1; 8],
        length: 1,
    };
    assert!(peers.observe(500, &next));
    let rows: Vec<AuditRow> = peers.rows(600).collect();
    assert_eq!(
        (rows[0].to_ms, rows[0].rpcs, rows[0].known),
        (Some(3_000), 5, true)
    );
    assert_eq!(
        (rows[1].to_ms, rows[1].age_ms, rows[1].known),
        (None, 100, true)
    );
    let rows_of_silent_server: Vec<AuditRow> = peers.rows(500 + MAX_KNOWN_AGE_MS + 1).collect();
    assert!(rows_of_silent_server[0].known && !rows_of_silent_server[1].known);
    let active_at = |at_ms| AuditFilter {
        at_ms: Some(at_ms),
        ..AuditFilter::default()
    };
    assert!(
        active_at(2_999).matches(&rows[0])
            && !active_at(3_000).matches(&rows[0])
            && active_at(3_000).matches(&rows[1])
    );
    // The chain differs at the same length.
    let mut forged = next.clone();
    forged.audit.hash = [2; 8];
    assert!(!peers.observe(700, &forged));
}
