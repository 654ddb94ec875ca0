//! Guards against running out of file descriptors while the control plane is down: the server closes idle
//! clients, longest idle first, and still opens its own connections, sends leases and reloads files.
mod stand_ins;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use stand_ins::{Gateway, LIMIT, LineConnection, Reply, TestServer, id, ok};

/// Sets the process's limit of open files.
fn set_descriptor_limit(server: &TestServer, count: u64) {
    let pid = Pid::from_raw(server.child.id() as i32);
    prlimit(
        pid,
        Resource::Nofile,
        Rlimit {
            current: Some(count),
            maximum: Some(20_000),
        },
    )
    .unwrap();
}

/// Returns the numbers of the process's open descriptors.
fn open_descriptors(server: &TestServer) -> Vec<u64> {
    let numbers = std::fs::read_dir(format!("/proc/{}/fd", server.child.id())).unwrap();
    numbers
        .map(|number| {
            number
                .unwrap()
                .file_name()
                .to_str()
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect()
}

/// Sets the limit so that the process can't open anything more.
fn forbid_new_descriptors(server: &TestServer) {
    let open_descriptors = open_descriptors(server);
    set_descriptor_limit(
        server,
        (0..)
            .find(|number| !open_descriptors.contains(number))
            .unwrap(),
    );
}

/// Serves an RPC with a call from request to reply: the connection to the store needs a descriptor.
fn serve_rpc_with_call(
    server: &TestServer,
    engine: &mut LineConnection,
    gateway: &mut Gateway,
    index: u64,
) {
    let seq = gateway.invoke("read", &id(index), b"", &[]);
    engine.expect_run(&id(index), "read");
    engine.send_need(2 * index, &id(index), "q");
    let mut store = server.store();
    store.next_command();
    store.send(&format!("{} OK 0\r\n\r\n", id(index)));
    assert_eq!(engine.next_command().0, format!("FEED {}", id(index)));
    engine.send_done(2 * index + 1, &id(index), "good", "called");
    assert_eq!(gateway.read_reply(), ok(seq, "called"));
}

/// Returns the CPU use of the process without requests, as a fraction of a core.
fn cpu_fraction(server: &TestServer, engine: &mut LineConnection) -> f64 {
    let (before, start) = (server.cpu(), Instant::now());
    engine.serve_idle_for(Duration::from_millis(1_500));
    (server.cpu() - before) / start.elapsed().as_secs_f64()
}

#[test]
fn idle_clients_do_not_exhaust_descriptors_for_own_connections() {
    // Once with the configured limit, once with a lower limit of the system.
    for (limits, shell) in [
        ("\"sockets\":64", ""),
        ("\"sockets\":1024", "ulimit -n 64;"),
    ] {
        let mut server = TestServer::with_limits(limits, shell);
        let mut engine = server.engine(0, "old 3600000");
        let mut first = server.gateway();
        assert!(first.ping());
        let mut idle = Vec::new();
        for _ in 0..120 {
            let mut gateway = server.gateway();
            assert!(gateway.ping(), "{limits} {shell}");
            idle.push(gateway);
        }
        // The client that was idle longest is closed first, with a closing message before the end of its
        // connection.
        assert_eq!(first.read_reply(), Reply::Closing);
        assert!(first.is_closed() && idle.last_mut().unwrap().ping());
        assert!(open_descriptors(&server).len() < 64);
        let mut gateway = server.gateway();
        (1..=3).for_each(|index| serve_rpc_with_call(&server, &mut engine, &mut gateway, index));
        assert!(cpu_fraction(&server, &mut engine) < 0.5, "{limits} {shell}");
        // After a reload the server reads its files, opens a new link and sends leases to the new address of
        // the control plane.
        server.move_backends();
        assert_eq!(engine.next_line_except_gauges(), "STAT settled");
        engine.send("STATS settled 0.5 1 0.1 3\r\n");
        let mut engine = server.engine(7, "old 3600000");
        let mut lease = [0; 64];
        let count = server.control.recv(&mut lease).unwrap();
        assert_eq!(&lease[..count], b"lease n3 Ready");
        serve_rpc_with_call(&server, &mut engine, &mut gateway, 4);
        drop(idle);
    }
}

#[test]
fn own_connections_come_first_when_descriptors_are_exhausted() {
    let (server, mut engine) = TestServer::ready();
    let mut idle: Vec<Gateway> = (0..40).map(|_| server.gateway()).collect();
    idle.iter_mut().for_each(|gateway| assert!(gateway.ping()));
    let mut gateway = server.gateway();
    assert!(gateway.ping());
    // All descriptors are in use, contrary to the server's own count. The reserved ones are beyond the limit,
    // too.
    forbid_new_descriptors(&server);
    let mut waiting: Vec<Gateway> = (0..10).map(|_| server.gateway()).collect();
    for one in &mut waiting {
        let call = one.call("ping", b"\x02\x00\x01\x00");
        one.write(&call);
    }
    server.wait_for_log("accept failed error=Too many open files");
    assert!(cpu_fraction(&server, &mut engine) < 0.5);
    serve_rpc_with_call(&server, &mut engine, &mut gateway, 1);
    // The server recovers: idle clients were closed for those that wait.
    for one in &mut waiting {
        assert!(matches!(
            one.read_reply(),
            Reply::Answer {
                seq: 1,
                good: true,
                ..
            }
        ));
    }
    serve_rpc_with_call(&server, &mut engine, &mut gateway, 2);
    set_descriptor_limit(&server, 1024);
    let mut more: Vec<Gateway> = (0..20).map(|_| server.gateway()).collect();
    more.iter_mut().for_each(|gateway| assert!(gateway.ping()));
}

#[test]
fn connection_attempt_is_retried_until_a_descriptor_is_free() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let seq = gateway.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    forbid_new_descriptors(&server);
    engine.send_need(1, &id(1), "q");
    server.wait_for_log("descriptors exhausted, shedding an idle connection");
    // The connection attempt is repeated within the call's timeout.
    set_descriptor_limit(&server, 1024);
    let mut store = server.store();
    store.next_command();
    store.send(&format!("{} OK 0\r\n\r\n", id(1)));
    assert_eq!(engine.next_command().0, format!("FEED {}", id(1)));
    engine.send_done(2, &id(1), "good", "");
    assert_eq!(gateway.read_reply(), ok(seq, ""));
}

#[test]
fn slow_or_incomplete_frames_use_little_memory_and_time_out() {
    let (server, engine) = TestServer::ready();
    engine.serve_in_background("0.5 1 0.1 3", true);
    let announce = |bytes: u32| {
        [
            &bytes.to_be_bytes()[..],
            b"\x80\x01\x00\x01\x00\x00\x00\x06invoke",
        ]
        .concat()
    };
    let mut slow: Vec<Gateway> = (0..200).map(|_| server.gateway()).collect();
    slow.iter_mut()
        .for_each(|gateway| gateway.write(&announce(16 * 1024)));
    let mut oversized = server.gateway();
    oversized.write(&announce(1 << 30));
    assert!(oversized.is_disconnected(), "a frame over the size limit");
    // Others are served meanwhile, and no memory was reserved for announced bytes.
    let (mut gateway, start) = (server.gateway(), Instant::now());
    for index in 1..=100 {
        let seq = gateway.invoke("pay", &id(index), b"", &[]);
        assert_eq!(gateway.read_reply(), ok(seq, ""));
        slow.iter_mut()
            .filter(|_| index % 10 == 0)
            .for_each(|gateway| {
                gateway.try_write(b"x");
            });
        sleep(Duration::from_millis(5));
    }
    let kb = server.memory();
    assert!(kb < 48 * 1024, "{kb} kB");
    // Each connection has a time limit, however slowly its bytes arrive.
    assert!(slow.iter_mut().all(Gateway::is_disconnected));
    assert!(start.elapsed() < LIMIT);
}
