use super::*;

const MAX_READ_DELAY: Span = Span::ms(60_000);

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey {
        method: 0,
        key: text.as_bytes().into(),
    }
}

fn fingerprint(body_digest: u64, tenant: Option<usize>) -> PayloadFingerprint {
    PayloadFingerprint {
        body_digest,
        tenant,
    }
}

fn at(ms: u64) -> Time {
    Time(0) + Span::ms(ms)
}

#[test]
fn key_with_different_body_or_tenant_conflicts() {
    let mut keys = IdempotencyKeys::new(8);
    keys.retain(key("a"), fingerprint(1, Some(2)), RpcId(3), at(100));
    for (body_digest, tenant, expected) in [
        (1, Some(2), Lookup::RepeatOf(RpcId(3))),
        (1, None, Lookup::RepeatOf(RpcId(3))),
        (2, Some(2), Lookup::Conflict),
        (1, Some(1), Lookup::Conflict),
    ] {
        assert_eq!(
            keys.lookup(&key("a"), fingerprint(body_digest, tenant), at(1)),
            expected
        );
    }
    assert_eq!(
        keys.lookup(
            &IdempotencyKey {
                method: 1,
                ..key("a")
            },
            fingerprint(1, None),
            at(1)
        ),
        Lookup::Unknown
    );
}

#[test]
fn attempt_that_arrived_within_retry_window_never_runs_again() {
    let mut keys = IdempotencyKeys::new(8);
    for (name, ran) in [("ran", true), ("never", false), ("revoked", true)] {
        keys.retain(key(name), fingerprint(1, None), RpcId(1), at(100));
        keys.set_started(&key(name), RpcId(1), ran);
        keys.set_started(&key(name), RpcId(2), !ran);
    }
    keys.set_started(&key("revoked"), RpcId(1), false);
    for name in ["ran", "never", "revoked"] {
        keys.release(at(101), &key(name), RpcId(2), MAX_READ_DELAY);
        assert!(keys.is_retained(&key(name)), "retained for another RPC");
        keys.release(at(101), &key(name), RpcId(1), MAX_READ_DELAY);
        assert!(!keys.is_retained(&key(name)));
    }
    let lookup =
        |keys: &IdempotencyKeys, name, ms| keys.lookup(&key(name), fingerprint(1, None), at(ms));
    // Just before, at and just after the end of the window.
    assert_eq!(
        [99, 100, 101].map(|ms| lookup(&keys, "ran", ms)),
        [Lookup::Conflict, Lookup::Conflict, Lookup::Unknown]
    );
    assert_eq!(lookup(&keys, "never", 50), Lookup::Unknown);
    assert_eq!(lookup(&keys, "revoked", 50), Lookup::Unknown);
    // After the window the key may run once more; its later window then applies.
    keys.retain(key("ran"), fingerprint(1, None), RpcId(4), at(300));
    keys.set_started(&key("ran"), RpcId(4), true);
    keys.release(at(300), &key("ran"), RpcId(4), MAX_READ_DELAY);
    keys.retain(key("b"), fingerprint(1, None), RpcId(5), at(60_100));
    keys.set_started(&key("b"), RpcId(5), true);
    keys.release(at(60_101), &key("b"), RpcId(5), MAX_READ_DELAY);
    assert_eq!(
        lookup(&keys, "ran", 250),
        Lookup::Conflict,
        "only the earlier window is forgotten"
    );
}

#[test]
fn number_of_released_keys_is_bounded() {
    let mut keys = IdempotencyKeys::new(2);
    for name in ["a", "b", "c"] {
        keys.retain(key(name), fingerprint(1, None), RpcId(1), at(100));
        keys.set_started(&key(name), RpcId(1), true);
        keys.release(at(100), &key(name), RpcId(1), MAX_READ_DELAY);
    }
    assert_eq!((keys.released.len(), keys.expiries.len()), (2, 2));
    assert_eq!(
        keys.lookup(&key("c"), fingerprint(1, None), at(50)),
        Lookup::Conflict
    );
}

/// Guards against a second run of an RPC whose key was forgotten early for lack of room.
#[test]
fn attempt_that_arrived_before_end_of_early_forgotten_window_never_runs() {
    let mut keys = IdempotencyKeys::new(1);
    for (name, until) in [("a", 100), ("b", 200), ("c", 150)] {
        keys.retain(key(name), fingerprint(1, None), RpcId(1), at(until));
        keys.mark_started(&key(name), RpcId(1));
        keys.release(at(200), &key(name), RpcId(1), MAX_READ_DELAY);
    }
    let lookup = |name, ms| keys.lookup(&key(name), fingerprint(1, None), at(ms));
    assert_eq!(lookup("a", 100), Lookup::Conflict);
    assert_eq!(lookup("b", 200), Lookup::Conflict);
    // Any key that is unknown now may have been forgotten.
    assert_eq!(lookup("unused", 200), Lookup::Conflict);
    assert_eq!(lookup("unused", 201), Lookup::Unknown);
}

/// Guards against new RPCs that fail although no key was forgotten before its time.
#[test]
fn key_that_is_forgotten_in_time_leaves_other_keys_unknown() {
    let mut keys = IdempotencyKeys::new(8);
    for (name, now) in [("a", 100), ("b", 60_100)] {
        keys.retain(key(name), fingerprint(1, None), RpcId(1), at(100));
        keys.mark_started(&key(name), RpcId(1));
        keys.release(at(now), &key(name), RpcId(1), MAX_READ_DELAY);
    }
    assert!(!keys.released.contains_key(&key("a")));
    assert_eq!(
        keys.lookup(&key("unused"), fingerprint(1, None), at(50)),
        Lookup::Unknown
    );
}
