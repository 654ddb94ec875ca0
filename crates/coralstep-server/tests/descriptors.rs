//! Descriptors run short while the control plane is down: idle clients are shed, longest idle first, and the server's own dials, reports
//! and reloads go on.
mod stand_ins;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use stand_ins::{Gate, LIMIT, Lines, Rig, Said, id};

fn ok(seq: i32, body: &str) -> Said {
    Said::Answer {
        seq,
        body: body.into(),
        good: true,
    }
}

/// The system lets the program have so many open from now on.
fn allow(rig: &Rig, count: u64) {
    let pid = Pid::from_raw(rig.child.id() as i32);
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

/// The numbers of its descriptors.
fn open(rig: &Rig) -> Vec<u64> {
    let numbers = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).unwrap();
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

/// The system lets the program open nothing more.
fn allow_no_more(rig: &Rig) {
    let open = open(rig);
    allow(rig, (0..).find(|number| !open.contains(number)).unwrap());
}

/// A run with a call, from its caller to its answer: dials to the store find a descriptor.
fn runs_and_calls(rig: &Rig, engine: &mut Lines, gate: &mut Gate, index: u64) {
    let seq = gate.invoke("read", &id(index), b"", &[]);
    engine.expect_run(&id(index), "read");
    engine.need(2 * index, &id(index), "q");
    let mut store = rig.store();
    store.command();
    store.send(&format!("{} OK 0\r\n\r\n", id(index)));
    assert_eq!(engine.command().0, format!("FEED {}", id(index)));
    engine.done(2 * index + 1, &id(index), "good", "called");
    assert_eq!(gate.said(), ok(seq, "called"));
}

/// CPU that it takes while nothing is asked of it, as a part of a core.
fn busy(rig: &Rig, engine: &mut Lines) -> f64 {
    let (before, start) = (rig.cpu(), Instant::now());
    engine.sleep(Duration::from_millis(1_500));
    (rig.cpu() - before) / start.elapsed().as_secs_f64()
}

#[test]
fn idle_clients_that_fill_the_descriptors_starve_nothing_of_the_servers_own() {
    // Once as configured, once because the system has fewer.
    for (limits, shell) in [
        ("\"sockets\":64", ""),
        ("\"sockets\":1024", "ulimit -n 64;"),
    ] {
        let mut rig = Rig::with(limits, shell);
        let mut engine = rig.engine(0, "old 3600000");
        let mut first = rig.gate();
        assert!(first.ping());
        let mut idle = Vec::new();
        for _ in 0..120 {
            let mut gate = rig.gate();
            assert!(gate.ping(), "{limits} {shell}");
            idle.push(gate);
        }
        // Who was idle for the longest time went first, with a word, and read the end of its connection.
        assert_eq!(first.said(), Said::Closing);
        assert!(first.ended() && idle.last_mut().unwrap().ping());
        assert!(open(&rig).len() < 64);
        let mut gate = rig.gate();
        (1..=3).for_each(|index| runs_and_calls(&rig, &mut engine, &mut gate, index));
        assert!(busy(&rig, &mut engine) < 0.5, "{limits} {shell}");
        // Files of a reload are read, a further link is opened, and reports come, to where the plane is now.
        rig.moves();
        assert_eq!(engine.line_but_gauges(), "STAT settled");
        engine.send("STATS settled 0.5 1 0.1 3\r\n");
        let mut engine = rig.engine(7, "old 3600000");
        let mut lease = [0; 64];
        let count = rig.control.recv(&mut lease).unwrap();
        assert_eq!(&lease[..count], b"lease n3 Ready");
        runs_and_calls(&rig, &mut engine, &mut gate, 4);
        drop(idle);
    }
}

#[test]
fn where_the_system_has_none_left_accepting_waits_and_own_dials_go_first() {
    let (rig, mut engine) = Rig::ready();
    let mut idle: Vec<Gate> = (0..40).map(|_| rig.gate()).collect();
    idle.iter_mut().for_each(|gate| assert!(gate.ping()));
    let mut gate = rig.gate();
    assert!(gate.ping());
    // All that it has are in use, against its own count. The places kept are beyond the limit, too.
    allow_no_more(&rig);
    let mut waiting: Vec<Gate> = (0..10).map(|_| rig.gate()).collect();
    for one in &mut waiting {
        let call = one.call("ping", b"\x02\x00\x01\x00");
        one.write(&call);
    }
    rig.logged("accept failed error=Too many open files");
    assert!(busy(&rig, &mut engine) < 0.5);
    runs_and_calls(&rig, &mut engine, &mut gate, 1);
    // It comes back by itself: idle ones have made room for those who waited.
    for one in &mut waiting {
        assert!(matches!(
            one.said(),
            Said::Answer {
                seq: 1,
                good: true,
                ..
            }
        ));
    }
    runs_and_calls(&rig, &mut engine, &mut gate, 2);
    allow(&rig, 1024);
    let mut more: Vec<Gate> = (0..20).map(|_| rig.gate()).collect();
    more.iter_mut().for_each(|gate| assert!(gate.ping()));
}

#[test]
fn with_nobody_idle_a_dial_waits_for_a_descriptor_and_is_made_once_there_is_one() {
    let (rig, mut engine) = Rig::ready();
    let mut gate = rig.gate();
    let seq = gate.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    allow_no_more(&rig);
    engine.need(1, &id(1), "q");
    rig.logged("descriptors exhausted, shedding an idle connection");
    // The dial is made again, within its call's patience.
    allow(&rig, 1024);
    let mut store = rig.store();
    store.command();
    store.send(&format!("{} OK 0\r\n\r\n", id(1)));
    assert_eq!(engine.command().0, format!("FEED {}", id(1)));
    engine.done(2, &id(1), "good", "");
    assert_eq!(gate.said(), ok(seq, ""));
}

#[test]
fn peers_that_announce_more_than_they_send_or_send_a_byte_now_and_then_cost_little() {
    let (rig, engine) = Rig::ready();
    engine.go_on("0.5 1 0.1 3", true);
    let announce = |bytes: u32| {
        [
            &bytes.to_be_bytes()[..],
            b"\x80\x01\x00\x01\x00\x00\x00\x06invoke",
        ]
        .concat()
    };
    let mut slow: Vec<Gate> = (0..200).map(|_| rig.gate()).collect();
    slow.iter_mut()
        .for_each(|gate| gate.write(&announce(16 * 1024)));
    let mut far = rig.gate();
    far.write(&announce(1 << 30));
    assert!(far.cut(), "a frame longer than any");
    // Others are served meanwhile, and what was announced was not set aside.
    let (mut gate, start) = (rig.gate(), Instant::now());
    for index in 1..=100 {
        let seq = gate.invoke("pay", &id(index), b"", &[]);
        assert_eq!(gate.said(), ok(seq, ""));
        slow.iter_mut()
            .filter(|_| index % 10 == 0)
            .for_each(|gate| {
                gate.try_write(b"x");
            });
        sleep(Duration::from_millis(5));
    }
    let kb = rig.memory();
    assert!(kb < 48 * 1024, "{kb} kB");
    // Each has a bound in time, however the bytes come.
    assert!(slow.iter_mut().all(Gate::cut));
    assert!(start.elapsed() < LIMIT);
}
