//! Guards against clients that send small or invalid messages at full speed: other callers are served in time, and memory
//! and log stay bounded.
mod stand_ins;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use stand_ins::observers::{MemoryWatch, WellBehavedCaller, exchange, small_request};
use stand_ins::scgi::{AppBehavior, Application, request, site};
use stand_ins::{SETTINGS, TestServer, id};

const MEMORY_MB: u64 = 32;
const LIMITS: &str = r#""memory_mb":32,"sockets":512"#;
/// Requests that a gateway sends before it reads the replies.
const REQUESTS_AT_ONCE: usize = 16;
const FLOOD: Duration = Duration::from_secs(3);
/// Time within which a well-behaved caller of `read` must have its answer: the method's promise.
const PROMISE: Duration = Duration::from_secs(2);
/// Lines that the log may have in a second, as its documentation says.
const LOG_LINES_PER_SECOND: usize = 20;
/// Longest log line in bytes: it has a peer, an error and a few short fields.
const MAX_LOG_LINE_BYTES: usize = 512;

fn server() -> (TestServer, Application) {
    let application = Application::start(AppBehavior::Echo);
    let site = site(&[application.address], "");
    let server = TestServer::with_site_limits_and_settings(&site, LIMITS, SETTINGS);
    (server, application)
}

/// Runs `flood` in `threads` until its time is over; it is passed a counter that grows with each of its turns.
fn run_flood(threads: usize, flood: impl Fn(u64) + Sync) -> u64 {
    let end = Instant::now() + FLOOD;
    let turns: Vec<u64> = std::thread::scope(|scope| {
        let flood = &flood;
        let run = move |thread: usize| {
            let mut turns = 0;
            while Instant::now() < end {
                flood(turns * threads as u64 + thread as u64);
                turns += 1;
            }
            turns
        };
        let running: Vec<_> = (0..threads)
            .map(|thread| scope.spawn(move || run(thread)))
            .collect();
        running.into_iter().map(|run| run.join().unwrap()).collect()
    });
    turns.iter().sum()
}

/// Checks how well-behaved callers of both protocols are served, and the server's memory and log, during `flood`.
fn check(name: &str, server: &TestServer, flood: impl FnOnce() -> u64) {
    server.log_so_far();
    let memory = MemoryWatch::start(server.child.id());
    let caller = WellBehavedCaller::start(server.scgi.unwrap(), small_request(), stand_ins::LIMIT);
    let gateway = WellBehavedCaller::start_gateway(server.addresses());
    let started = Instant::now();
    let turns = flood();
    let services = [caller.stop(), gateway.stop()];
    let peak_kb = memory.stop();
    let seconds = started.elapsed().as_secs() as usize + 2;
    let lines = server.log_so_far();
    let longest = lines.iter().map(String::len).max().unwrap_or(0);
    println!(
        "{name}: {turns} turns; peak {peak_kb} KB; SCGI: {}; Thrift: {}; {} log lines in {seconds} s, longest {longest}",
        services[0].summary(),
        services[1].summary(),
        lines.len(),
    );
    for service in services {
        assert_eq!((service.rejected, service.unanswered), (0, 0));
        assert!(service.slowest() <= PROMISE, "{:?}", service.slowest());
    }
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB");
    assert!(
        lines.len() <= seconds * LOG_LINES_PER_SECOND,
        "{}",
        lines.len()
    );
    assert!(longest <= MAX_LOG_LINE_BYTES, "{longest}");
}

/// Connects, writes as much of `bytes` as the server takes at once, and closes the connection.
fn write_and_leave(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nonblocking(true).unwrap();
    let _ = stream.write(bytes);
    let _ = stream.read(&mut [0; 4096]);
}

/// Guards against a gateway that sends small valid messages at full speed and starves all others.
#[test]
fn pings_at_full_speed_do_not_delay_others() {
    let (server, _application) = server();
    check("pings", &server, || {
        let mut gateway = server.gateway();
        let mut reader = gateway.stream.try_clone().unwrap();
        let discard = std::thread::spawn(move || {
            let mut buffer = vec![0; 64 * 1024];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < FLOOD {
            let ping = |_| gateway.call("ping", b"\x02\x00\x01\x00");
            let pings: Vec<u8> = (0..500).flat_map(ping).collect();
            gateway.write(&pings);
            sent += 500;
        }
        gateway.stream.shutdown(Shutdown::Both).unwrap();
        discard.join().unwrap();
        sent
    });
}

/// Guards against invalid messages at full speed, each with a new id, method and tenant, that delay others or grow a table.
#[test]
fn invalid_messages_under_new_names_do_not_delay_others() {
    let (server, _application) = server();
    let addresses = server.addresses();
    check("invalid messages", &server, || {
        run_flood(4, |turn| {
            let mut gateway = addresses.gateway().unwrap();
            let long = format!("{turn}").repeat(100);
            let fields: [(&str, &str); 4] = [
                ("service", &long),
                ("ref", &id(turn)),
                (&long, &long),
                ("project", &long),
            ];
            let message = gateway.encode_invoke(&fields, b"");
            gateway.try_write(&message.repeat(10));
        })
    });
}

/// Guards against bytes that are no message, on new connections at full speed.
#[test]
fn unsound_frames_do_not_delay_others() {
    let (server, _application) = server();
    let address = server.address;
    check("unsound frames", &server, || {
        run_flood(4, |turn| {
            let frame = [&[0, 0, 0, 8], &turn.to_be_bytes()[..]].concat();
            write_and_leave(address, &frame.repeat(1_000));
        })
    });
}

/// Guards against invalid SCGI requests at full speed, under new paths, tenants and ids.
#[test]
fn invalid_scgi_requests_under_new_names_do_not_delay_others() {
    let (server, _application) = server();
    let address = server.scgi.unwrap();
    check("invalid SCGI requests", &server, || {
        run_flood(4, |turn| {
            let name = format!("{turn}-").repeat(20);
            let (path, headers): (&str, &[(&str, &str)]) = match turn % 3 {
                0 => (&format!("/{name}"), &[]),
                1 => ("/pay", &[("HTTP_X_TENANT", &name)]),
                _ => (
                    "/pay",
                    &[("HTTP_X_REQUEST_ID", &name), ("HTTP_X_RANK", &name)],
                ),
            };
            let bytes = request("POST", path, headers, b"");
            let _ = exchange(address, &bytes, stand_ins::LIMIT);
        })
    });
}

/// Guards against requests of one gateway at full speed under new ids and idempotency keys that delay others.
#[test]
fn requests_under_new_keys_do_not_delay_others() {
    let (server, _application) = server();
    check("requests under new keys", &server, || {
        let mut gateway = server.gateway();
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < FLOOD {
            for _ in 0..REQUESTS_AT_ONCE {
                sent += 1;
                let key = format!("key {sent}");
                gateway.invoke("pay", &id(sent), &[b'x'; 100], &[("replay", &key)]);
            }
            (0..REQUESTS_AT_ONCE).for_each(|_| drop(gateway.read_reply()));
        }
        sent
    });
}

/// Guards against connections whose number makes each accept slow: idle ones fill the table while others connect and leave.
#[test]
fn connections_at_full_speed_to_full_table_do_not_delay_others() {
    let application = Application::start(AppBehavior::Echo);
    let site = site(&[application.address], "");
    let limits = r#""memory_mb":512,"sockets":9000"#;
    let server = TestServer::with_site_limits_and_settings(&site, limits, SETTINGS);
    let idle: Vec<TcpStream> = (0..7_000)
        .map(|_| TcpStream::connect(server.address).unwrap())
        .collect();
    check("full table", &server, || {
        let address = server.address;
        run_flood(4, |_| drop(TcpStream::connect(address)))
    });
    drop(idle);
}

/// Guards against a store that sends replies to unknown calls at full speed and starves all callers.
#[test]
fn unknown_replies_of_store_do_not_delay_others() {
    let (server, mut engine) = TestServer::ready();
    let mut gateway = server.gateway();
    let mut other = server.gateway();
    assert!(other.ping());
    gateway.invoke("read", &id(1), b"", &[]);
    engine.expect_run(&id(1), "read");
    engine.send_need(1, &id(1), "q");
    let mut store = server.store();
    store.next_command();
    let junk = format!("{} BUSY\r\n", id(2)).repeat(10_000);
    let started = Instant::now();
    let flood = std::thread::spawn(move || {
        while started.elapsed() < FLOOD {
            if !store.try_send(&junk) {
                break;
            }
        }
    });
    let mut slowest = Duration::ZERO;
    while started.elapsed() < FLOOD {
        let sent = Instant::now();
        assert!(other.ping());
        slowest = slowest.max(sent.elapsed());
    }
    println!("unknown replies of the store: slowest ping {slowest:?}");
    flood.join().unwrap();
    assert!(slowest <= PROMISE / 2, "{slowest:?}");
}
