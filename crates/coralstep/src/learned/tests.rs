use crate::*;

struct Nobody;
impl Outlet for Nobody {}

fn server() -> Server {
    let method = Method {
        target: Span::ms(500),
        deadline: Span::ms(2_000),
        calls: true,
        ..Method::default()
    };
    let terms = Terms {
        methods: vec![method],
        cores: 4,
        memory_kb: 10_000.0,
        below: Below::Shared(20.0),
        tenant_rates: vec![5.0],
        ..Terms::default()
    };
    Server::start(&terms, 7, Time(0), &mut Nobody)
}

#[test]
fn what_is_given_out_is_taken_in_as_far_as_it_is_trusted() {
    let mut bins = [0; 12];
    bins[4] = 80;
    let learned = Learned {
        runs: vec![bins],
        calls: bins,
        limit: Some(7),
        permits: Some(14.0),
        best: Some(700),
        tenants: vec![[10.0, 5.0]],
    };
    let mut warm = server();
    warm.relearn(&learned, 1.0);
    assert_eq!(warm.learned(), learned);
    let cold = server().learned();
    let mut untrusted = server();
    untrusted.relearn(&learned, 0.0);
    assert_eq!(untrusted.learned(), cold);
    let mut half = server();
    half.relearn(&learned, 0.5);
    let half = half.learned();
    assert_eq!(
        (half.limit, half.permits, half.best, half.runs[0][4]),
        (Some(6), Some(12.0), None, 40)
    );
    // A NaN trusts nothing.
    let mut nan = server();
    nan.relearn(&learned, f64::NAN);
    assert_eq!(nan.learned(), cold);
}

#[test]
fn a_record_that_nobody_could_have_written_does_no_harm() {
    let wild = Learned {
        runs: vec![[u32::MAX; 12]; 9],
        calls: [u32::MAX; 12],
        limit: Some(u32::MAX),
        permits: Some(f64::INFINITY),
        best: Some(u64::MAX),
        tenants: vec![[f64::NAN, 1e300]; 3],
    };
    let mut server = server();
    server.relearn(&wild, 1.0);
    let learned = server.learned();
    assert_eq!(
        (learned.limit, learned.permits, learned.best),
        (Some(7), Some(10.0), None)
    );
    assert_eq!(
        (learned.runs.len(), learned.tenants.clone()),
        (1, vec![[0.0, 0.0]])
    );
    assert!(
        learned.calls.iter().all(|bin| *bin <= 160),
        "{:?}",
        learned.calls
    );
}
