use super::*;

fn counts(succeeded: u64, decided: u64) -> RpcCounts {
    RpcCounts { decided, succeeded }
}

fn is_worse(here: (u64, u64), elsewhere: (u64, u64)) -> bool {
    is_significantly_worse(counts(here.0, here.1), counts(elsewhere.0, elsewhere.1))
}

#[test]
fn a_stage_is_worse_only_where_chance_does_not_explain_it() {
    assert!(!is_worse((90, 100), (950, 1_000)), "a few more by chance");
    assert!(is_worse((500, 1_000), (950, 1_000)));
    assert!(!is_worse((0, 50), (1_000, 1_000)), "too few to say");
    assert!(!is_worse((1_000, 1_000), (1_000, 1_000)));
    assert!(!is_worse((1_000, 1_000), (900, 1_000)));
}
