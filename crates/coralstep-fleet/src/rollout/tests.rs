use super::*;

fn counts(succeeded: u64, submitted: u64) -> RpcCounts {
    RpcCounts {
        submitted,
        succeeded,
    }
}

fn is_worse(here: (u64, u64), elsewhere: (u64, u64)) -> bool {
    is_significantly_worse(counts(here.0, here.1), counts(elsewhere.0, elsewhere.1))
}

#[test]
fn stage_is_worse_only_if_the_difference_is_significant() {
    assert!(
        !is_worse((90, 100), (950, 1_000)),
        "the difference is not significant"
    );
    assert!(is_worse((500, 1_000), (950, 1_000)));
    assert!(
        !is_worse((0, 50), (1_000, 1_000)),
        "fewer RPCs than the minimum"
    );
    assert!(!is_worse((1_000, 1_000), (1_000, 1_000)));
    assert!(!is_worse((1_000, 1_000), (900, 1_000)));
}
