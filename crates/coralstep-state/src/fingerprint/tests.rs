use super::*;

fn learned() -> LearnedState {
    LearnedState {
        run_times: vec![[1; 12], [2; 12]],
        call_times: [3; 12],
        concurrency_limit: Some(5),
        call_permits: Some(4.0),
        best_call_time: Some(90),
        tenants: vec![coralstep::TenantService {
            requested: 9.0,
            served: 8.0,
        }],
    }
}

fn fingerprint() -> ConfigFingerprint {
    ConfigFingerprint {
        server: "n1".to_owned(),
        cores: 4,
        methods: vec!["read".to_owned(), "pay".to_owned()],
        dependency_share: Some(8.0),
        tenants: vec!["north".to_owned()],
    }
}

#[test]
fn keeps_only_the_part_that_applies_under_the_current_configuration() {
    let applicable =
        |current: &ConfigFingerprint| applicable_part(&learned(), &fingerprint(), current);
    assert_eq!(applicable(&fingerprint()), Some(learned()));
    let other_methods = ConfigFingerprint {
        methods: vec!["pay".to_owned(), "new".to_owned()],
        ..fingerprint()
    };
    assert_eq!(
        applicable(&other_methods).unwrap().run_times,
        [[2; 12], [0; 12]]
    );
    let fewer_cores = ConfigFingerprint {
        cores: 2,
        ..fingerprint()
    };
    let applied = applicable(&fewer_cores).unwrap();
    assert_eq!(
        (applied.concurrency_limit, applied.call_permits),
        (None, Some(4.0))
    );
    let other_share = ConfigFingerprint {
        dependency_share: Some(9.0),
        ..fingerprint()
    };
    let applied = applicable(&other_share).unwrap();
    assert_eq!(
        (
            applied.concurrency_limit,
            applied.call_permits,
            applied.best_call_time,
            applied.call_times
        ),
        (Some(5), None, None, [0; 12])
    );
    let other_server = ConfigFingerprint {
        server: "n2".to_owned(),
        ..fingerprint()
    };
    assert_eq!(applicable(&other_server), None);
}
