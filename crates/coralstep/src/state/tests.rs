use crate::*;

#[derive(Default)]
struct Nobody;
impl Actions for Nobody {}

#[test]
fn the_same_history_is_the_same_state_and_another_another() {
    let mut terms = SchedulerConfig {
        cores: 2,
        memory_kb: 10_000.0,
        ..SchedulerConfig::default()
    };
    terms.methods.push(Method {
        latency_objective: Span::ms(500),
        deadline: Span::ms(2_000),
        ..Method::default()
    });
    let play = |rpcs: u32| {
        let mut server = Scheduler::start(&terms, 7, Time(0), &mut Nobody);
        for id in 0..rpcs {
            let arrival = Request {
                id: RpcId(id),
                queued_kb: 1.0,
                ..Request::default()
            };
            server.handle_request(Time(10), arrival, &mut Nobody);
        }
        server.digest()
    };
    assert_eq!(play(2), play(2));
    assert!(play(1) != play(2) && play(0) != play(1));
}
