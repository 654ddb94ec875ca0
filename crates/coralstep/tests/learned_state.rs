//! Restoring learned state with a confidence from 0 to 1.
use coralstep::*;

struct NoActions;
impl Actions for NoActions {}

fn scheduler() -> Scheduler {
    let method = Method {
        latency_objective: Span::ms(500),
        deadline: Span::ms(2_000),
        calls: true,
        ..Method::default()
    };
    let config = SchedulerConfig {
        methods: vec![method],
        cores: 4,
        memory_kb: 10_000.0,
        dependency: Dependency::Shared(20.0),
        tenant_quotas: vec![5.0],
        ..SchedulerConfig::default()
    };
    Scheduler::start(&config, 7, Time(0), &mut NoActions)
}

fn tenant(requested: f64, served: f64) -> TenantService {
    TenantService { requested, served }
}

#[test]
fn learned_state_is_restored_in_proportion_to_confidence() {
    let mut bins = [0; 12];
    bins[4] = 80;
    let learned = LearnedState {
        run_times: vec![bins],
        call_times: bins,
        concurrency_limit: Some(7),
        call_permits: Some(14.0),
        best_call_time: Some(700),
        tenants: vec![tenant(10.0, 5.0)],
    };
    let mut warm = scheduler();
    warm.restore(&learned, 1.0);
    assert_eq!(warm.learned_state(), learned);
    let cold = scheduler().learned_state();
    let mut untrusted = scheduler();
    untrusted.restore(&learned, 0.0);
    assert_eq!(untrusted.learned_state(), cold);
    let mut half = scheduler();
    half.restore(&learned, 0.5);
    let half = half.learned_state();
    assert_eq!(
        (
            half.concurrency_limit,
            half.call_permits,
            half.best_call_time,
            half.run_times[0][4]
        ),
        (Some(6), Some(12.0), None, 40)
    );
    // A confidence of NaN counts as 0.
    let mut nan = scheduler();
    nan.restore(&learned, f64::NAN);
    assert_eq!(nan.learned_state(), cold);
}

#[test]
fn implausible_learned_state_is_clamped_or_ignored() {
    let implausible = LearnedState {
        run_times: vec![[u32::MAX; 12]; 9],
        call_times: [u32::MAX; 12],
        concurrency_limit: Some(u32::MAX),
        call_permits: Some(f64::INFINITY),
        best_call_time: Some(u64::MAX),
        tenants: vec![tenant(f64::NAN, 1e300); 3],
    };
    let mut scheduler = scheduler();
    scheduler.restore(&implausible, 1.0);
    let learned = scheduler.learned_state();
    assert_eq!(
        (
            learned.concurrency_limit,
            learned.call_permits,
            learned.best_call_time
        ),
        (Some(7), Some(10.0), None)
    );
    assert_eq!(
        (learned.run_times.len(), learned.tenants.clone()),
        (1, vec![tenant(0.0, 0.0)])
    );
    assert!(
        learned.call_times.iter().all(|bin| *bin <= 160),
        "{:?}",
        learned.call_times
    );
}
