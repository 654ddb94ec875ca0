use crate::*;

#[derive(Default)]
struct Nobody;
impl Outlet for Nobody {}

#[test]
fn the_same_history_is_the_same_state_and_another_another() {
    let mut terms = Terms {
        cores: 2,
        memory_kb: 10_000.0,
        ..Terms::default()
    };
    terms.methods.push(Method {
        target: Span::ms(500),
        deadline: Span::ms(2_000),
        ..Method::default()
    });
    let play = |rpcs: u32| {
        let mut server = Server::start(&terms, 7, Time(0), &mut Nobody);
        for id in 0..rpcs {
            let arrival = Arrival {
                id: RpcId(id),
                held_kb: 1.0,
                ..Arrival::default()
            };
            server.rpc(Time(10), arrival, &mut Nobody);
        }
        server.digest()
    };
    assert_eq!(play(2), play(2));
    assert!(play(1) != play(2) && play(0) != play(1));
}
