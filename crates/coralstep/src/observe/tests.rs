use crate::*;

#[derive(Default)]
struct Told(Vec<u32>);
impl Actions for Told {
    fn reject(&mut self, rpc: RpcId, _after: Span, _last: bool) {
        self.0.push(rpc.0);
    }
}

#[test]
fn an_rpc_is_decided_under_the_version_it_was_read_under_and_a_server_shut_out_holds_nothing() {
    let target = Span::ms(60_000);
    let method = Method {
        latency_objective: target,
        deadline: target,
        priority_weight: 1.0,
        ..Method::default()
    };
    let terms = SchedulerConfig {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let closes = DegradationLevel {
        min_priority_weight: 2.0,
        ..DegradationLevel::default()
    };
    let arrival = |id: u32| Request {
        id: RpcId(id),
        queued_kb: 1.0,
        ..Request::default()
    };
    for out in [false, true] {
        let mut told = Told::default();
        let mut server = Scheduler::start(&terms, 7, Time(0), &mut told);
        // One runs, the others are held.
        (0..3).for_each(|id| server.handle_request(Time(10), arrival(id), &mut told));
        server.begin_config_version();
        server.set_degradation(Time(20), closes, &mut told);
        assert_eq!(told.0, [], "they were read before");
        server.handle_request(Time(20), arrival(3), &mut told);
        assert_eq!(told.0, [3]);
        // The same level a second time, under no other version: what was read under it hears of it.
        server.set_degradation(Time(30), DegradationLevel::default(), &mut told);
        server.handle_request(Time(30), arrival(4), &mut told);
        server.set_degradation(Time(40), closes, &mut told);
        assert_eq!(told.0, [3, 4]);
        server.set_degradation(
            Time(50),
            DegradationLevel {
                fenced: out,
                ..closes
            },
            &mut told,
        );
        assert_eq!(told.0.len(), if out { 4 } else { 2 }, "{:?}", told.0);
    }
}
