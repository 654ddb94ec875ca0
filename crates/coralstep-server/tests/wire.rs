//! Compares the bytes on each of the server's connections with golden files. `GOLDEN_WRITE=1` rewrites the
//! files.
mod stand_ins;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::time::Instant;

use stand_ins::golden::{Link, Transcript, accept, frame};
use stand_ins::scgi::{Application, Caller, FRONT, request, site};
use stand_ins::{Gateway, LIMIT, TestServer, id, now_ms};

const IDLE: &str = "0.5 1 0.1 3";
const BUSY: &str = "1 2 0.1 3";

/// A gateway whose messages in both directions are recorded.
struct RecordedGateway {
    gateway: Gateway,
    transcript: Transcript,
}

impl RecordedGateway {
    fn new(server: &TestServer, transcript: &Transcript) -> RecordedGateway {
        RecordedGateway {
            gateway: server.gateway(),
            transcript: transcript.clone(),
        }
    }

    fn write(&mut self, bytes: &[u8]) {
        self.transcript.add("gateway -> server", bytes);
        self.gateway.write(bytes);
    }

    fn invoke(&mut self, method: &str, index: u64, body: &[u8], more: &[(&str, &str)]) {
        self.invoke_since(&now_ms(), method, index, body, more);
    }

    fn invoke_since(
        &mut self,
        since: &str,
        method: &str,
        index: u64,
        body: &[u8],
        more: &[(&str, &str)],
    ) {
        let id = id(index);
        let fields = [
            ("service", method),
            ("ref", &id[..]),
            ("since", since),
            ("sender", "4"),
        ];
        let rest = [
            ("project", "north"),
            ("room", "24.5"),
            ("class_rank", "0.6250"),
        ];
        let bytes = self
            .gateway
            .encode_invoke(&[&fields[..], &rest, more].concat(), body);
        self.write(&bytes);
    }

    fn ping(&mut self) {
        let bytes = self.gateway.call("ping", b"\x02\x00\x01\x00");
        self.write(&bytes);
        self.record_reply();
    }

    fn record_reply(&mut self) {
        self.transcript
            .add("server -> gateway", &frame(&mut self.gateway.stream));
    }
}

/// Returns the next lease sent to the control plane.
fn receive_lease(server: &TestServer) -> Vec<u8> {
    let mut receive_lease = [0; 256];
    let count = server.control.recv(&mut receive_lease).unwrap();
    receive_lease[..count].to_vec()
}

/// Guards against a renamed field, command or state that changes what gateways, engine, store or control plane read.
#[test]
fn conversation_with_all_peers_matches_golden_file() {
    let (mut server, transcript) = (TestServer::start(), Transcript::default());
    let mut recorded = RecordedGateway::new(&server, &transcript);
    recorded.ping();
    let mut engine = Link::engine(&server.engine_listener(), IDLE, &transcript);
    transcript.add("server -> control", &receive_lease(&server));
    // An RPC that succeeds; the store rejects its call once.
    recorded.invoke("read", 1, b"\0\r\n\xff", &[]);
    engine.next();
    engine.send(&format!("NEED 1 {} 6\r\nwhich?\r\n", id(1)));
    for reply in ["BUSY\r\n", "OK 5\r\nthis.\r\n"] {
        let mut store = Link::accept(&server.store_listener(), "store", &transcript);
        store.next();
        store.send(&format!("{} {reply}", id(1)));
    }
    engine.next();
    engine.send(&format!("DONE 2 {} good 7 4\r\na\r\nb\r\n", id(1)));
    recorded.record_reply();
    // RPCs that fail: in the run, and at a call that may have had its effect.
    recorded.invoke("pay", 2, b"", &[]);
    engine.next();
    engine.send(&format!("DONE 3 {} bad 7 0\r\n\r\n", id(2)));
    recorded.record_reply();
    recorded.invoke("book", 3, b"seat", &[]);
    engine.next();
    engine.send(&format!("NEED 4 {} 1\r\nq\r\n", id(3)));
    let mut store = Link::accept(&server.store_listener(), "store", &transcript);
    store.next();
    store.send(&format!("{} ERR\r\n", id(3)));
    recorded.record_reply();
    engine.send(&format!("DONE 5 {} cut 7 0\r\n\r\n", id(3)));
    // An idempotency key: the run, its repeat, and another body with the same key.
    let key = ("replay", "T-1");
    recorded.invoke("pay", 4, b"a ride", &[key]);
    engine.next();
    engine.send(&format!("DONE 6 {} good 7 4\r\npaid\r\n", id(4)));
    recorded.record_reply();
    for (index, body) in [(5, &b"a ride"[..]), (6, b"another")] {
        recorded.invoke("pay", index, body, &[key, ("dup", "1")]);
        recorded.record_reply();
    }
    // The engine and the control plane move.
    server.move_backends();
    assert_eq!(engine.next(), "STAT settled\r\n");
    engine.send(&format!("STATS settled {IDLE}\r\n"));
    let mut engine = Link::engine(&server.engine_listener(), IDLE, &transcript);
    transcript.add("server -> control", &receive_lease(&server));
    // A gateway disconnects; the unread answer turns the close into a reset.
    let mut broken = RecordedGateway::new(&server, &transcript);
    broken.invoke("read", 7, b"", &[]);
    engine.next();
    let check = broken.gateway.call("ping", b"\x02\x00\x01\x00");
    broken.write(&check);
    recorded.ping();
    drop(broken);
    engine.next();
    engine.send(&format!("DONE 7 {} cut 7 0\r\n\r\n", id(7)));
    // The server drains.
    server.terminate();
    recorded.record_reply();
    recorded.invoke("read", 8, b"", &[]);
    recorded.record_reply();
    recorded.ping();
    drop(recorded);
    assert_eq!(server.wait_for_exit().code(), Some(0));
    transcript.compare("conversation.txt");
}

/// Guards against a rejection, at the deadline or for lack of capacity, that loses its Retry-After.
#[test]
fn rejections_match_golden_file() {
    let (server, transcript) = (TestServer::with_site(FRONT), Transcript::default());
    let mut engine = Link::engine(&server.engine_listener(), BUSY, &transcript);
    let mut recorded = RecordedGateway::new(&server, &transcript);
    // By the gateway's timestamp the deadline passed long ago; the request is rejected even with free capacity.
    let since = (now_ms().parse::<u64>().unwrap() - 5_000).to_string();
    recorded.invoke_since(&since, "lock", 9, b"", &[]);
    recorded.record_reply();
    for index in 1..=2 {
        recorded.invoke("pay", index, b"", &[]);
        engine.next();
    }
    recorded.invoke("lock", 3, b"", &[]);
    recorded.record_reply();
    // Both cores are blocked: after a while the lease reports the server as not ready.
    let not_ready = (0..20).find_map(|_| {
        Some(receive_lease(&server)).filter(|receive_lease| receive_lease != b"lease n3 Ready")
    });
    transcript.add("server -> control", &not_ready.unwrap());
    transcript.compare("rejections.txt");
}

/// Guards against a changed wording or code of application exceptions, and of what ends a connection.
#[test]
fn exceptions_for_invalid_messages_match_golden_file() {
    let (server, transcript) = (TestServer::start(), Transcript::default());
    let (now, long) = (now_ms(), "x".repeat(257));
    let ref_one = id(1);
    let good = [
        ("service", "read"),
        ("ref", &ref_one[..]),
        ("since", &now[..]),
        ("room", "1"),
    ];
    let with = |key: &'static str, value: &str| {
        let mut recorded = RecordedGateway::new(&server, &Transcript::default());
        let mut fields: Vec<(&str, &str)> =
            good.into_iter().filter(|(name, _)| *name != key).collect();
        if value != "-" {
            fields.push((key, value));
        }
        let bytes = recorded.gateway.encode_invoke(&fields, b"");
        (recorded, bytes)
    };
    let mut cases = Vec::new();
    for (key, value) in [
        ("service", "fly"),
        ("service", "-"),
        ("ref", "7"),
        ("ref", "-"),
        ("since", "soon"),
        ("since", "12"),
        ("since", "-"),
        ("project", "nobody"),
        ("sender", "me"),
        ("dup", "2"),
        ("room", "-4"),
        ("room", "-"),
        ("class_rank", "1"),
        ("replay", &long),
    ] {
        let (mut recorded, bytes) = with(key, value);
        recorded.gateway.write(&bytes);
        cases.push((format!("{key} {:.4}", value), recorded));
    }
    let (mut recorded, _) = with("dup", "1");
    let bytes = recorded.gateway.encode_invoke(&good, &[b'x'; 2049]);
    recorded.gateway.write(&bytes);
    cases.push(("a long body".to_owned(), recorded));
    for (name, arguments) in [
        ("novelty", &b""[..]),
        ("invoke", b""),
        ("invoke", b"\x63\x00\x01"),
    ] {
        let (mut recorded, _) = with("dup", "1");
        let bytes = recorded.gateway.call(name, arguments);
        recorded.gateway.write(&bytes);
        cases.push((format!("{name} {}", arguments.escape_ascii()), recorded));
    }
    let (mut recorded, _) = with("dup", "1");
    let mut bytes = recorded.gateway.call("ping", b"");
    bytes[7] = 2;
    recorded.gateway.write(&bytes);
    cases.push(("a reply".to_owned(), recorded));
    for (case, mut recorded) in cases {
        transcript.add(&case, &frame(&mut recorded.gateway.stream));
    }
    // No engine is attached: all of these requests stay open.
    let mut full = RecordedGateway::new(&server, &Transcript::default());
    for index in 1..=33 {
        full.invoke("pay", index, b"", &[]);
    }
    transcript.add("33 open", &frame(&mut full.gateway.stream));
    let mut again = RecordedGateway::new(&server, &transcript);
    again.ping();
    again.gateway.reuse_sequence_number();
    let repeated = again.gateway.call("ping", b"");
    again.gateway.write(&repeated);
    let mut cut = vec![("a number again", again)];
    for (case, bytes) in [
        ("no length", &b"\0\0\0\0"[..]),
        ("a length over 16 KiB", b"\0\0\x40\x01"),
        ("no version", b"\0\0\0\x04abcd"),
    ] {
        let mut recorded = RecordedGateway::new(&server, &Transcript::default());
        recorded.gateway.write(bytes);
        cut.push((case, recorded));
    }
    for (case, mut recorded) in cut {
        let mut rest = Vec::new();
        recorded.gateway.stream.read_to_end(&mut rest).unwrap();
        transcript.add(case, &rest);
    }
    transcript.compare("exceptions.txt");
}

/// Reads the whole answer to an SCGI caller.
fn read_answer(mut caller: Caller) -> Vec<u8> {
    let mut bytes = Vec::new();
    caller.stream.read_to_end(&mut bytes).unwrap();
    bytes
}

/// Guards against a changed status, header or reason in answers to SCGI callers.
#[test]
fn answers_to_scgi_callers_match_golden_file() {
    let (server, transcript) = (TestServer::with_site(FRONT), Transcript::default());
    let mut engine = Link::engine(&server.engine_listener(), BUSY, &transcript);
    let record = |case: &str, caller: Caller| transcript.add(case, &read_answer(caller));
    let raw = |bytes: &[u8]| {
        let mut caller = server.connect();
        caller.write(bytes);
        caller
    };
    let with_id = |path: &str, index: u64, more: &[(&str, &str)], body: &[u8]| {
        server.send_scgi(
            path,
            &[&[("HTTP_X_REQUEST_ID", &id(index)[..])], more].concat(),
            body,
        )
    };
    // The incomplete request gets its answer last.
    let slow = raw(b"70:CONTENT_LENGTH");
    record("health", raw(&request("GET", "/health", &[], b"")));
    let caller = with_id(
        "/read/a?b=c",
        1,
        &[("HTTP_X_TENANT", "north")],
        b"\0\r\n\xff",
    );
    engine.next();
    engine.send(&format!("DONE 1 {} good 7 4\r\na\r\nb\r\n", id(1)));
    record("ok", caller);
    let caller = with_id("/pay", 2, &[("HTTP_IDEMPOTENCY_KEY", "k")], b"once");
    engine.next();
    engine.send(&format!("DONE 2 {} bad 7 0\r\n\r\n", id(2)));
    record("aborted", caller);
    record(
        "aborted, repeated",
        with_id(
            "/pay",
            3,
            &[("HTTP_IDEMPOTENCY_KEY", "k"), ("HTTP_X_RETRY", "1")],
            b"once",
        ),
    );
    let head = |head: &str| format!("{}:{head},", head.len()).into_bytes();
    for bytes in [
        b"GET / HTTP/1.1\r\n".to_vec(),
        b"12:CONTENT_LENGTH;".to_vec(),
        b"1048576:CONTENT_LENGTH".to_vec(),
        head("CONTENT_LENGTH\0-1\0SCGI\x001\0"),
        head("CONTENT_LENGTH\x000\0SCGI\x002\0"),
        head("CONTENT_LENGTH\x000\0SCGI\x001\0CONTENT_LENGTH\x000\0"),
        head("CONTENT_LENGTH\x009000\0SCGI\x001\0"),
        head("CONTENT_LENGTH\x000\0SCGI\x001\0"),
        head("CONTENT_LENGTH\x000\0SCGI\x001\0REQUEST_METHOD\0POST\0"),
        request("POST", "/fly", &[], b""),
        request("GET", "/book", &[], b""),
    ] {
        record(&bytes.escape_ascii().to_string(), raw(&bytes));
    }
    let long = "x".repeat(257);
    for (header, value) in [
        ("HTTP_X_TENANT", "nobody"),
        ("HTTP_X_ARRIVED_MS", "soon"),
        ("HTTP_X_ARRIVED_MS", "12"),
        ("HTTP_X_PATIENCE_MS", "0"),
        ("HTTP_X_RETRY", "yes"),
        ("HTTP_X_RANK", "1"),
        ("HTTP_X_ROOM_KB", "-4"),
        ("HTTP_IDEMPOTENCY_KEY", &long),
        ("HTTP_X_REQUEST_ID", &long),
    ] {
        record(
            &format!("{header} {value:.8}"),
            server.send_scgi("/read/x", &[(header, value)], b""),
        );
    }
    let running: Vec<Caller> = (4..=5)
        .map(|index| with_id("/pay", index, &[], b""))
        .collect();
    (4..=5).for_each(|_| drop(engine.next()));
    record("rejected", with_id("/lock", 6, &[], b""));
    drop(running);
    record("too slow", slow);
    transcript.compare("scgi_answers.txt");
}

/// Waits until replies carry the load report, which is first set some time after the start.
fn wait_for_load_report(server: &TestServer) {
    let (mut gateway, start) = (server.gateway(), Instant::now());
    while gateway.pressure.is_none() {
        assert!(gateway.ping() && start.elapsed() < LIMIT);
    }
}

/// Guards against a renamed header or path in what applications read.
#[test]
fn requests_to_applications_match_golden_file() {
    let (listener, transcript) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        Transcript::default(),
    );
    let paths = ",\"paths\": {\"read\": \"/plan\"}";
    let server = TestServer::with_site(&site(&[listener.local_addr().unwrap()], paths));
    let mut recorded = RecordedGateway::new(&server, &transcript);
    wait_for_load_report(&server);
    let responses = ["Status: 200 OK\r\n\r\nran", "Status: 404 no\r\n\r\n"];
    for (index, (method, key)) in [("read", None), ("pay", Some(("replay", "T-1")))]
        .into_iter()
        .enumerate()
    {
        recorded.invoke(method, index as u64 + 1, b"\0\r\n\xff", key.as_slice());
        let mut stream = accept(&listener);
        let mut bytes = Vec::new();
        while !bytes.ends_with(b",\0\r\n\xff") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
        }
        transcript.add("server -> application", &bytes);
        stream.write_all(responses[index].as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // Nothing follows the request.
        assert_eq!(stream.read(&mut [0]).unwrap(), 0);
        recorded.record_reply();
    }
    // Nobody listens at the application's address, so the request is proven not to have run.
    let server = TestServer::with_site(&site(&[Application::unused_address()], paths));
    wait_for_load_report(&server);
    let mut recorded = RecordedGateway::new(&server, &transcript);
    recorded.invoke("lock", 3, b"", &[]);
    recorded.record_reply();
    transcript.compare("applications.txt");
}
