//! The digest of a scheduler tells states apart.
use coralstep::*;

struct NoActions;
impl Actions for NoActions {}

#[test]
fn the_digest_is_the_same_for_the_same_events_and_another_for_others() {
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
    let play = |requests: u32| {
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
    assert_eq!(play(2), play(2));
    assert!(play(1) != play(2) && play(0) != play(1));
}
