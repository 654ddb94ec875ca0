//! Guards against a server that is killed for memory: whatever its peers write, keep open or don't read, it holds less than
//! `limits.memory_mb`, and callers that behave are served meanwhile.
mod stand_ins;

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use stand_ins::observers::{
    BadClients, MemoryWatch, Pace, Service, WellBehavedCaller, small_request,
};
use stand_ins::scgi::{AppBehavior, Application, request, site};
use stand_ins::{SETTINGS, TestServer, id};

/// The server's limits: the least memory, and the descriptors of a small server.
const MEMORY_MB: u64 = 32;
const LIMITS: &str = r#""memory_mb":32,"sockets":512"#;
const BAD_CLIENTS: usize = 300;
const BODY_BYTES: usize = 64 * 1024;
/// Time for which the bad clients stay; longer than a message may take.
const TROUBLE: Duration = Duration::from_millis(3_500);
/// Time within which a well-behaved caller of `read` must have its answer: the method's promise.
const PROMISE: Duration = Duration::from_secs(2);
/// Time within which a large request of a well-behaved caller must have its answer, though it may wait for memory: the
/// method's deadline.
const DEADLINE: Duration = Duration::from_secs(4);
const AT_ONCE: Pace = Pace {
    bytes_per_round: usize::MAX / 2,
    reads: true,
};
const WITHOUT_READING: Pace = Pace {
    reads: false,
    ..AT_ONCE
};

/// Starts a server that takes bodies of 64 KB, and results of `result_kb` from `application`.
fn server_of(application: &Application, result_kb: u32) -> TestServer {
    let site = site(
        &[application.address],
        &format!(",\"result_kb\":{result_kb}"),
    );
    let site = site.replacen("\"trusted\"", "\"body_kb\": 64, \"trusted\"", 1);
    // As many cores as run all requests of these tests at once.
    let settings = SETTINGS.replacen("\"cores\":2", "\"cores\":64", 1);
    TestServer::with_site_limits_and_settings(&site, LIMITS, &settings)
}

/// Runs `trouble` beside a well-behaved caller, and returns how that was served and the server's peak memory in KB.
fn watch(name: &str, server: &TestServer, trouble: impl FnOnce()) -> (Service, u64) {
    let memory = MemoryWatch::start(server.child.id());
    let caller = WellBehavedCaller::start(server.scgi.unwrap(), small_request(), stand_ins::LIMIT);
    trouble();
    let (service, peak_kb) = (caller.stop(), memory.stop());
    println!(
        "{name}: peak {peak_kb} KB of {}; small requests: {}",
        MEMORY_MB * 1024,
        service.summary(),
    );
    (service, peak_kb)
}

/// Encodes as many pings as fill the system's buffers of a connection several times.
fn pings(server: &TestServer) -> Arc<[u8]> {
    let mut gateway = server.gateway();
    let ping = |_| gateway.call("ping", b"\x02\x00\x01\x00");
    (0..60_000).flat_map(ping).collect()
}

#[track_caller]
fn assert_within_limits((service, peak_kb): (Service, u64)) {
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB");
    assert_eq!((service.rejected, service.unanswered), (0, 0));
    assert!(service.slowest() <= PROMISE, "{:?}", service.slowest());
}

/// Guards against receive buffers of all connections together that exceed the memory: bodies without their last byte.
#[test]
fn unfinished_large_requests_stay_within_memory() {
    let application = Application::start(AppBehavior::Echo);
    let server = server_of(&application, 128);
    let large = request("POST", "/read/large", &[], &vec![b'x'; BODY_BYTES]);
    let watched = watch("unfinished requests", &server, || {
        let caller =
            WellBehavedCaller::start(server.scgi.unwrap(), large.clone(), stand_ins::LIMIT);
        let bad = BadClients::start(server.scgi.unwrap(), BAD_CLIENTS, AT_ONCE, |_| {
            large[..large.len() - 1].to_vec()
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
        let service = caller.stop();
        println!("large requests: {}", service.summary());
        assert_eq!((service.rejected, service.unanswered), (0, 0));
        assert!(service.slowest() <= DEADLINE, "{:?}", service.slowest());
    });
    assert_within_limits(watched);
}

/// Guards against heads of very many short fields, written slowly and never ended, that exceed the memory.
#[test]
fn slow_heads_of_many_fields_stay_within_memory() {
    let application = Application::start(AppBehavior::Echo);
    let server = server_of(&application, 8);
    let pace = Pace {
        bytes_per_round: 24,
        reads: true,
    };
    let watched = watch("slow heads", &server, || {
        let bad = BadClients::start(server.scgi.unwrap(), BAD_CLIENTS, pace, |_| {
            let fields: String = (0..3_900).map(|_| "a\0b\0").collect();
            format!("16000:CONTENT_LENGTH\x0065536\0SCGI\x001\0{fields}").into_bytes()
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
    });
    assert_within_limits(watched);
}

/// Guards against frames of very many short fields whose decoded form exceeds the memory.
#[test]
fn frames_of_many_fields_stay_within_memory() {
    let application = Application::start(AppBehavior::Echo);
    let server = server_of(&application, 8);
    let watched = watch("frames of many fields", &server, || {
        let bad = BadClients::start(server.address, BAD_CLIENTS, WITHOUT_READING, |_| {
            let mut gateway = server.gateway();
            let fields = [("", ""); 2_000];
            let whole = gateway.encode_invoke(&fields, b"");
            let mut bytes = whole.repeat(6);
            bytes.extend_from_slice(&whole[..whole.len() - 1]);
            bytes
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
    });
    assert_within_limits(watched);
}

/// Guards against bodies of open requests that together exceed the memory: each is held until its answer.
#[test]
fn large_open_requests_stay_within_memory() {
    let application = Application::start(AppBehavior::EchoAfterMs(300));
    let server = server_of(&application, 256);
    let (service, peak_kb) = watch("open requests", &server, || {
        let bad = BadClients::start(server.scgi.unwrap(), BAD_CLIENTS, AT_ONCE, |_| {
            request("POST", "/book", &[], &vec![b'x'; BODY_BYTES])
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
    });
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB");
    // The requests are valid, so small ones may be rejected beside them; none is without an answer.
    assert_eq!(service.unanswered, 0);
}

/// Guards against large results of applications, and replies that nobody reads, that exceed the memory.
#[test]
fn large_replies_that_nobody_reads_stay_within_memory() {
    let body = "y".repeat(1_000 * 1024);
    let reply = format!(
        "Status: 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let application = Application::start(AppBehavior::ReplyLate(Box::leak(reply.into_boxed_str())));
    let server = server_of(&application, 1_024);
    let (service, peak_kb) = watch("unread replies", &server, || {
        let bad = BadClients::start(server.scgi.unwrap(), BAD_CLIENTS, WITHOUT_READING, |_| {
            request("POST", "/read/large", &[], b"")
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
    });
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB");
    assert_eq!(service.unanswered, 0);
}

/// Guards against budgets that hold one by one and not together: unfinished requests, open ones and unread replies at once.
#[test]
fn all_troubles_together_stay_within_memory() {
    let application = Application::start(AppBehavior::EchoAfterMs(300));
    let server = server_of(&application, 256);
    let whole = request("POST", "/book", &[], &vec![b'x'; BODY_BYTES]);
    let pings = pings(&server);
    let (service, peak_kb) = watch("together", &server, || {
        let address = server.scgi.unwrap();
        let third = BAD_CLIENTS / 3;
        let open = BadClients::start(address, third, WITHOUT_READING, |_| whole.clone());
        let unfinished = BadClients::start(address, third, AT_ONCE, |_| {
            whole[..whole.len() - 1].to_vec()
        });
        let gateways = BadClients::start(server.address, third, WITHOUT_READING, |_| pings.clone());
        sleep(TROUBLE);
        println!(
            "{} wrote all",
            open.stop() + unfinished.stop() + gateways.stop()
        );
    });
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB");
    assert_eq!(service.unanswered, 0);
}

/// Guards against an application that stops within a large response and keeps others from being read for good.
#[test]
fn unfinished_large_response_does_not_block_others() {
    let body = "y".repeat(1_000 * 1024);
    let head = format!("Status: 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let reply: &'static str = Box::leak((head + &body).into_boxed_str());
    let application = Application::start(AppBehavior::BeginReply(&reply[..reply.len() / 2]));
    let server = server_of(&application, 1_024);
    let stopped: Vec<_> = (0..4)
        .map(|_| server.send_scgi("/book", &[], b""))
        .collect();
    while application.run_count() < stopped.len() {
        std::thread::yield_now();
    }
    sleep(Duration::from_millis(300));
    application.set_behavior(AppBehavior::Reply(reply));
    let answer = server.send_scgi("/pay", &[], b"").answer().unwrap();
    assert_eq!((answer.status, answer.body.len()), (200, body.len()));
    for caller in stopped {
        assert_eq!(caller.status(), 500);
    }
}

/// Guards against open requests and replies of gateways that together exceed the memory.
#[test]
fn gateways_with_full_connections_stay_within_memory() {
    let application = Application::start(AppBehavior::EchoAfterMs(300));
    let server = server_of(&application, 8);
    let (service, peak_kb) = watch("gateways", &server, || {
        let bad = BadClients::start(server.address, BAD_CLIENTS, WITHOUT_READING, |client| {
            let mut gateway = server.gateway();
            let invoke = |index: u64| {
                gateway.encode_rpc(
                    "book",
                    &id(1_000 * client as u64 + index),
                    &[b'x'; 2_048],
                    &[],
                )
            };
            (0..32).flat_map(invoke).collect::<Vec<u8>>()
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
    });
    assert!(peak_kb <= MEMORY_MB * 1024, "{peak_kb} KB");
    assert_eq!(service.unanswered, 0);
}

/// Guards against replies to small messages at full speed that nobody reads.
#[test]
fn unread_replies_to_gateways_stay_within_memory() {
    let application = Application::start(AppBehavior::Echo);
    let server = server_of(&application, 8);
    let pings = pings(&server);
    let watched = watch("unread pings", &server, || {
        let bad = BadClients::start(server.address, BAD_CLIENTS, WITHOUT_READING, |_| {
            pings.clone()
        });
        sleep(TROUBLE);
        println!("{} wrote all", bad.stop());
    });
    assert_within_limits(watched);
}
