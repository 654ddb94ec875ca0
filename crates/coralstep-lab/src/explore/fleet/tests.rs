use super::super::{explore_exhaustively, explore_random};
use super::*;

#[test]
fn versions_converge_in_all_short_histories_and_each_injected_fault_is_found() {
    let exploration = explore_exhaustively::<Fleet>(&Scope::default(), 8, 30_000, |_, _| {});
    assert_eq!(exploration.violation, None);
    assert!(exploration.states > 1_000, "{}", exploration.states);
    let long = explore_random::<Fleet>(&Scope::default(), 200, 60, 1);
    assert_eq!(long.violation, None);
    for injected_fault in [
        InjectedFault::SkipsChecksum,
        InjectedFault::CountsAtAnswer,
        InjectedFault::NeverActivates,
    ] {
        let scope = Scope { injected_fault };
        let short = explore_exhaustively::<Fleet>(&scope, 6, 10_000, |_, _| {});
        let found = short
            .violation
            .or_else(|| explore_random::<Fleet>(&scope, 2_000, 60, 1).violation);
        let reason = found
            .unwrap_or_else(|| panic!("{injected_fault:?} is not found"))
            .reason;
        let wanted = match injected_fault {
            InjectedFault::SkipsChecksum => "two contents",
            InjectedFault::CountsAtAnswer => "is counted under",
            _ => "servers act on",
        };
        assert!(reason.contains(wanted), "{injected_fault:?}: {reason}");
    }
}
