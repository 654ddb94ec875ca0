use coralstep::{Method, SchedulerConfig};
use coralstep_config::Names;

use super::*;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::callers::gateway::GatewayProtocol;
use crate::dependency::store::StoreClient;
use crate::runs::engine::Engine;

fn connections() -> Connections {
    let limits = Limits {
        connections: 3,
        spare_connections: 1,
        unread_reply_bytes: 100,
        requests: 1,
        result_bytes: 1,
        request_ids: 1,
    };
    let terms = SchedulerConfig {
        methods: vec![Method::default()],
        ..SchedulerConfig::default()
    };
    let scheduler = Rc::new(SchedulerHandle::new(terms, Names::default(), 1, &limits));
    let nowhere = Some("127.0.0.1:9".parse().unwrap());
    let endpoints = Endpoints {
        engine: Endpoint::new(nowhere),
        store: Endpoint::new(None),
        control_plane: Endpoint::new(nowhere),
        descriptors: Rc::new(Descriptors::new(64)),
    };
    let (engine, descriptors) = (Rc::new(Engine::default()), endpoints.descriptors.clone());
    let store = StoreClient(Rc::new(endpoints));
    let handler = Rc::new(RequestHandler::new(
        scheduler.clone(),
        engine,
        store,
        &limits,
    ));
    Connections::new(
        Rc::new(LocalExecutor::new()),
        scheduler,
        handler,
        descriptors,
        limits,
    )
}

fn some(connections: &Connections, count: usize) -> Vec<Rc<Connection>> {
    let protocol: Rc<dyn ClosingNotice> = Rc::new(GatewayProtocol);
    let one = |_| {
        Rc::new(Connection::new(
            protocol.clone(),
            IpAddr::from([127, 0, 0, 1]),
        ))
    };
    let some: Vec<_> = (0..count).map(one).collect();
    connections.all.borrow_mut().extend(some.iter().cloned());
    some
}

#[test]
fn silent_connections_are_shed_first_and_busy_ones_never() {
    let connections = connections();
    let some = some(&connections, 5);
    let (busy, longest, idle, silent) = (&some[0], &some[1], &some[2], &some[3]);
    busy.request_started();
    [busy, longest, idle]
        .iter()
        .for_each(|one| one.received_message.set(true));
    idle.idle_since
        .set(longest.idle_since() + Duration::from_millis(1));
    // It has had the time to send a message; one accepted just now has not, and goes after the idle ones.
    silent
        .idle_since
        .set(longest.idle_since() - FIRST_MESSAGE_GRACE);
    let fresh = &some[4];
    fresh
        .idle_since
        .set(longest.idle_since() + Duration::from_secs(1));
    for next in [silent, longest, idle, fresh] {
        assert!(!next.is_closing() && connections.shed_one() && next.is_closing());
    }
    assert!(!connections.shed_one() && !busy.is_closing());
}

#[test]
fn the_protocol_with_more_silent_connections_has_one_shed() {
    let connections = connections();
    let few = some(&connections, 1);
    let many = some(&connections, 3);
    // The connection of the other protocol is idle longest and stays open all the same.
    let moment = few[0].idle_since() + Duration::from_millis(1);
    many.iter().for_each(|one| one.idle_since.set(moment));
    assert!(connections.shed_one() && connections.shed_one());
    assert!(!few[0].is_closing() && many.iter().filter(|one| one.is_closing()).count() == 2);
}

#[test]
fn unread_replies_of_all_connections_are_bounded_together() {
    let connections = connections();
    let some = some(&connections, 3);
    for (one, bytes) in some.iter().zip([30, 50, 20]) {
        one.outbox.put(|out| out.resize(bytes, 0));
    }
    connections.bound_unread_replies();
    assert!(some.iter().all(|one| !one.is_closing()));
    some[2].outbox.put(|out| out.push(0));
    connections.bound_unread_replies();
    assert_eq!(
        some.iter().map(|one| one.is_closing()).collect::<Vec<_>>(),
        [false, true, false]
    );
}
