use coralstep::{Method, SchedulerConfig};
use coralstep_config::Names;

use super::*;
use crate::base::endpoints::{Endpoint, Endpoints};
use crate::callers::gateway::Thrift;
use crate::dependency::store::StoreClient;
use crate::runs::engine::Engine;

fn connections() -> Connections {
    let limits = Limits {
        connections: 3,
        spare: 1,
        answers: 100,
        rpcs: 1,
        results: 1,
        ids: 1,
    };
    let terms = SchedulerConfig {
        methods: vec![Method::default()],
        ..SchedulerConfig::default()
    };
    let facade = Rc::new(SchedulerHandle::new(terms, Names::default(), 1, &limits));
    let nowhere = Some("127.0.0.1:9".parse().unwrap());
    let endpoints = Endpoints {
        engine: Endpoint::new(nowhere),
        store: Endpoint::new(None),
        control: Endpoint::new(nowhere),
        descriptors: Rc::new(Descriptors::new(64)),
    };
    let (engine, descriptors) = (Rc::new(Engine::default()), endpoints.descriptors.clone());
    let store = StoreClient(Rc::new(endpoints));
    let course = Rc::new(RequestHandler::new(facade.clone(), engine, store, &limits));
    Connections::new(
        Rc::new(LocalExecutor::new()),
        facade,
        course,
        descriptors,
        limits,
    )
}

fn some(connections: &Connections, count: usize) -> Vec<Rc<Connection>> {
    let front: Rc<dyn Front> = Rc::new(Thrift);
    let one = |_| Rc::new(Connection::new(front.clone(), IpAddr::from([127, 0, 0, 1])));
    let some: Vec<_> = (0..count).map(one).collect();
    connections.all.borrow_mut().extend(some.iter().cloned());
    some
}

#[test]
fn who_never_spoke_makes_room_first_and_who_carries_something_never() {
    let connections = connections();
    let some = some(&connections, 5);
    let (busy, longest, idle, silent) = (&some[0], &some[1], &some[2], &some[3]);
    busy.begins();
    [busy, longest, idle]
        .iter()
        .for_each(|one| one.spoke.set(true));
    idle.idle.set(longest.idle.get() + Duration::from_millis(1));
    // It has had the time to say something; one that came just now hardly had, and goes after those that rest.
    silent.idle.set(longest.idle.get() - FRESH);
    let fresh = &some[4];
    fresh.idle.set(longest.idle.get() + Duration::from_secs(1));
    for next in [silent, longest, idle, fresh] {
        assert!(!next.is_ending() && connections.shed() && next.is_ending());
    }
    assert!(!connections.shed() && !busy.is_ending());
}

#[test]
fn of_two_fronts_the_one_with_more_silent_callers_makes_room() {
    let connections = connections();
    let few = some(&connections, 1);
    let many = some(&connections, 3);
    // The caller of the other front waits for the longest time and keeps its place all the same.
    let moment = few[0].idle.get() + Duration::from_millis(1);
    many.iter().for_each(|one| one.idle.set(moment));
    assert!(connections.shed() && connections.shed());
    assert!(!few[0].is_ending() && many.iter().filter(|one| one.is_ending()).count() == 2);
}

#[test]
fn unread_answers_of_all_connections_are_bounded_together() {
    let connections = connections();
    let some = some(&connections, 3);
    for (one, bytes) in some.iter().zip([30, 50, 20]) {
        one.out.put(|out| out.resize(bytes, 0));
    }
    connections.bound_answers();
    assert!(some.iter().all(|one| !one.is_ending()));
    some[2].out.put(|out| out.push(0));
    connections.bound_answers();
    assert_eq!(
        some.iter().map(|one| one.is_ending()).collect::<Vec<_>>(),
        [false, true, false]
    );
}
