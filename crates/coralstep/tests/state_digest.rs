//! The digest of a scheduler distinguishes states.
use coralstep::*;

struct NoActions;
impl Actions for NoActions {}

#[test]
fn digest_is_equal_for_equal_events_and_differs_for_other_events() {
    let mut config = SchedulerConfig {
        cores: 2,
        memory_kb: 10_000.0,
        ..SchedulerConfig::default()
    };
    config.methods.push(Method {
        latency_objective: Span::ms(500),
        deadline: Span::ms(2_000),
        ..Method::default()
    });
    let digest_after = |requests: u32| {
        let mut scheduler = Scheduler::start(&config, 7, Time(0), &mut NoActions);
        for id in 0..requests {
            let request = Request {
                id: RpcId(id),
                queued_kb: 1.0,
                ..Request::default()
            };
            scheduler.handle_request(Time(10), request, &mut NoActions);
        }
        scheduler.digest()
    };
    assert_eq!(digest_after(2), digest_after(2));
    assert!(digest_after(1) != digest_after(2) && digest_after(0) != digest_after(1));
}
