use crate::*;

#[derive(Default)]
struct Told(Vec<u32>);
impl Outlet for Told {
    fn push_back(&mut self, rpc: RpcId, _after: Span, _last: bool) {
        self.0.push(rpc.0);
    }
}

#[test]
fn an_rpc_is_decided_under_the_version_it_was_read_under_and_a_server_shut_out_holds_nothing() {
    let target = Span::ms(60_000);
    let method = Method {
        target,
        deadline: target,
        criticality: 1.0,
        ..Method::default()
    };
    let terms = Terms {
        methods: vec![method],
        cores: 1,
        memory_kb: 1e6,
        ..Terms::default()
    };
    let closes = Level {
        least_criticality: 2.0,
        ..Level::default()
    };
    let arrival = |id: u32| Arrival {
        id: RpcId(id),
        held_kb: 1.0,
        ..Arrival::default()
    };
    for out in [false, true] {
        let mut told = Told::default();
        let mut server = Server::start(&terms, 7, Time(0), &mut told);
        // One runs, the others are held.
        (0..3).for_each(|id| server.rpc(Time(10), arrival(id), &mut told));
        server.versioned();
        server.level(Time(20), closes, &mut told);
        assert_eq!(told.0, [], "they were read before");
        server.rpc(Time(20), arrival(3), &mut told);
        assert_eq!(told.0, [3]);
        // The same level a second time, under no other version: what was read under it hears of it.
        server.level(Time(30), Level::default(), &mut told);
        server.rpc(Time(30), arrival(4), &mut told);
        server.level(Time(40), closes, &mut told);
        assert_eq!(told.0, [3, 4]);
        server.level(Time(50), Level { out, ..closes }, &mut told);
        assert_eq!(told.0.len(), if out { 4 } else { 2 }, "{:?}", told.0);
    }
}
