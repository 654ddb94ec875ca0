use coralstep::{Method, SchedulerConfig};
use coralstep_config::Names;

use super::*;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::callers::gateway::GatewayProtocol;
use crate::dependency::store::StoreClient;
use crate::runs::engine::Engine;

fn new_connections() -> Connections {
    let limits = Limits {
        connections: 3,
        spare_connections: 1,
        receive_bytes: 1 << 20,
        unread_reply_bytes: 100,
        request_bytes: 1 << 20,
        requests: 1,
        result_bytes: 1,
        request_ids: 1,
    };
    let config = SchedulerConfig {
        methods: vec![Method::default()],
        ..SchedulerConfig::default()
    };
    let scheduler = Rc::new(SchedulerHandle::new(config, Names::default(), 1, &limits));
    let unreachable = Some("127.0.0.1:9".parse().unwrap());
    let endpoints = Endpoints {
        engine: Endpoint::new(unreachable),
        store: Endpoint::new(None),
        control_plane: Endpoint::new(unreachable),
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
        MemoryBudgets::new(&limits),
    )
}

fn add_connections(connections: &Connections, count: usize) -> Vec<Rc<Connection>> {
    let protocol: Rc<dyn ClosingNotice> = Rc::new(GatewayProtocol);
    let new_connection = |_| {
        Rc::new(Connection::new(
            protocol.clone(),
            IpAddr::from([127, 0, 0, 1]),
            &connections.budgets.replies,
        ))
    };
    let added: Vec<_> = (0..count).map(new_connection).collect();
    connections
        .connections
        .borrow_mut()
        .extend(added.iter().cloned());
    added
}

#[test]
fn sheds_silent_connections_first_and_busy_ones_never() {
    let connections = new_connections();
    let added = add_connections(&connections, 5);
    let (busy, longest, idle, silent) = (&added[0], &added[1], &added[2], &added[3]);
    busy.record_request_start();
    [busy, longest, idle]
        .iter()
        .for_each(|connection| connection.received_message.set(true));
    idle.idle_since
        .set(longest.idle_since() + Duration::from_millis(1));
    // The silent connection has had time to send a message. A new one has not, so it is shed after the idle ones.
    silent
        .idle_since
        .set(longest.idle_since() - FIRST_MESSAGE_GRACE);
    let new = &added[4];
    new.idle_since
        .set(longest.idle_since() + Duration::from_secs(1));
    for next in [silent, longest, idle, new] {
        assert!(!next.is_closing() && connections.shed_idle_connection() && next.is_closing());
    }
    assert!(!connections.shed_idle_connection() && !busy.is_closing());
}

#[test]
fn sheds_silent_connection_of_protocol_with_most_of_them() {
    let connections = new_connections();
    let few = add_connections(&connections, 1);
    let many = add_connections(&connections, 3);
    // The connection of the other protocol has been idle longest, but stays open.
    let moment = few[0].idle_since() + Duration::from_millis(1);
    many.iter()
        .for_each(|connection| connection.idle_since.set(moment));
    assert!(connections.shed_idle_connection() && connections.shed_idle_connection());
    assert!(
        !few[0].is_closing()
            && many
                .iter()
                .filter(|connection| connection.is_closing())
                .count()
                == 2
    );
}

#[test]
fn closes_slowest_reader_when_total_of_unread_replies_exceeds_limit() {
    let connections = new_connections();
    let added = add_connections(&connections, 3);
    for (connection, bytes) in added.iter().zip([30, 50, 20]) {
        connection.outbox.put(|out| out.resize(bytes, 0));
    }
    connections.enforce_unread_reply_limit();
    assert!(added.iter().all(|connection| !connection.is_closing()));
    added[2].outbox.put(|out| out.push(0));
    connections.enforce_unread_reply_limit();
    assert_eq!(
        added
            .iter()
            .map(|connection| connection.is_closing())
            .collect::<Vec<_>>(),
        [false, true, false]
    );
}
