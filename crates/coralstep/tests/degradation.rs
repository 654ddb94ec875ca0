//! Selection of the degradation level that applies to a request.
use coralstep::*;

/// Records the ids of rejected requests.
#[derive(Default)]
struct Rejected(Vec<u32>);

impl Actions for Rejected {
    fn reject(&mut self, rpc: RpcId, _retry_after: Span, _is_final: bool) {
        self.0.push(rpc.0);
    }
}

fn config() -> SchedulerConfig {
    let method = Method {
        latency_objective: Span::ms(60_000),
        deadline: Span::ms(60_000),
        priority_weight: 1.0,
        ..Method::default()
    };
    SchedulerConfig {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    }
}

fn request(id: u32) -> Request {
    Request {
        id: RpcId(id),
        queued_kb: 1.0,
        ..Request::default()
    }
}

#[test]
fn request_keeps_level_of_its_config_version_unless_server_is_excluded() {
    let reject_every_method = DegradationLevel {
        min_priority_weight: 2.0,
        ..DegradationLevel::default()
    };
    for excluded in [false, true] {
        let mut rejected = Rejected::default();
        let mut scheduler = Scheduler::start(&config(), 7, Time(0), &mut rejected);
        // Request 0 runs, the others are queued.
        (0..3).for_each(|id| scheduler.handle_request(Time(10), request(id), &mut rejected));
        scheduler.begin_config_version();
        scheduler.set_degradation(Time(20), reject_every_method, &mut rejected);
        assert_eq!(rejected.0, [], "requests read under the earlier version");
        scheduler.handle_request(Time(20), request(3), &mut rejected);
        assert_eq!(rejected.0, [3]);
        // Set again within one version, the level applies to all requests read under that version.
        scheduler.set_degradation(Time(30), DegradationLevel::default(), &mut rejected);
        scheduler.handle_request(Time(30), request(4), &mut rejected);
        scheduler.set_degradation(Time(40), reject_every_method, &mut rejected);
        assert_eq!(rejected.0, [3, 4]);
        let level = DegradationLevel {
            excluded,
            ..reject_every_method
        };
        scheduler.set_degradation(Time(50), level, &mut rejected);
        assert_eq!(
            rejected.0.len(),
            if excluded { 4 } else { 2 },
            "{:?}",
            rejected.0
        );
    }
}
