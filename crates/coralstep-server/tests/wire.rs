//! The bytes of the program on each of its connections, compared with golden files. `GOLDEN_WRITE=1` writes them anew.
mod stand_ins;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::time::Instant;

use stand_ins::golden::{Link, Transcript, accept, frame};
use stand_ins::scgi::{Application, Caller, FRONT, request, site};
use stand_ins::{Gate, LIMIT, Rig, id, now_ms};

const IDLE: &str = "0.5 1 0.1 3";
const BUSY: &str = "1 2 0.1 3";

/// What gateways say and are told, taken down.
struct Gateway {
    gate: Gate,
    transcript: Transcript,
}

impl Gateway {
    fn new(rig: &Rig, transcript: &Transcript) -> Gateway {
        Gateway {
            gate: rig.gate(),
            transcript: transcript.clone(),
        }
    }

    fn write(&mut self, bytes: &[u8]) {
        self.transcript.add("gateway -> server", bytes);
        self.gate.write(bytes);
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
        let bytes = self.gate.framed(&[&fields[..], &rest, more].concat(), body);
        self.write(&bytes);
    }

    fn ping(&mut self) {
        let bytes = self.gate.call("ping", b"\x02\x00\x01\x00");
        self.write(&bytes);
        self.told();
    }

    fn told(&mut self) {
        self.transcript
            .add("server -> gateway", &frame(&mut self.gate.stream));
    }
}

/// The next report to the control plane.
fn lease(rig: &Rig) -> Vec<u8> {
    let mut lease = [0; 256];
    let count = rig.control.recv(&mut lease).unwrap();
    lease[..count].to_vec()
}

/// Guards against a renamed field, command or state that changes what gateways, engine, store or control plane read.
#[test]
fn a_conversation_with_gateway_engine_store_and_control_plane_keeps_its_bytes() {
    let (mut rig, transcript) = (Rig::start(), Transcript::default());
    let mut gateway = Gateway::new(&rig, &transcript);
    gateway.ping();
    let mut engine = Link::engine(&rig.engine_listener(), IDLE, &transcript);
    transcript.add("server -> control", &lease(&rig));
    // Ok, with a call to the store that is rejected once.
    gateway.invoke("read", 1, b"\0\r\n\xff", &[]);
    engine.next();
    engine.send(&format!("NEED 1 {} 6\r\nwhich?\r\n", id(1)));
    for reply in ["BUSY\r\n", "OK 5\r\nthis.\r\n"] {
        let mut store = Link::accept(&rig.store_listener(), "store", &transcript);
        store.next();
        store.send(&format!("{} {reply}", id(1)));
    }
    engine.next();
    engine.send(&format!("DONE 2 {} good 7 4\r\na\r\nb\r\n", id(1)));
    gateway.told();
    // Aborted: by the run, and at a call that may have had its effect.
    gateway.invoke("pay", 2, b"", &[]);
    engine.next();
    engine.send(&format!("DONE 3 {} bad 7 0\r\n\r\n", id(2)));
    gateway.told();
    gateway.invoke("book", 3, b"seat", &[]);
    engine.next();
    engine.send(&format!("NEED 4 {} 1\r\nq\r\n", id(3)));
    let mut store = Link::accept(&rig.store_listener(), "store", &transcript);
    store.next();
    store.send(&format!("{} ERR\r\n", id(3)));
    gateway.told();
    engine.send(&format!("DONE 5 {} cut 7 0\r\n\r\n", id(3)));
    // A key: its run, its repeat, and another body under it.
    let key = ("replay", "T-1");
    gateway.invoke("pay", 4, b"a ride", &[key]);
    engine.next();
    engine.send(&format!("DONE 6 {} good 7 4\r\npaid\r\n", id(4)));
    gateway.told();
    for (index, body) in [(5, &b"a ride"[..]), (6, b"another")] {
        gateway.invoke("pay", index, body, &[key, ("dup", "1")]);
        gateway.told();
    }
    // The engine moves, and with it the control plane.
    rig.moves();
    assert_eq!(engine.next(), "STAT settled\r\n");
    engine.send(&format!("STATS settled {IDLE}\r\n"));
    let mut engine = Link::engine(&rig.engine_listener(), IDLE, &transcript);
    transcript.add("server -> control", &lease(&rig));
    // A gateway breaks off: an answer that nobody reads makes the end a reset.
    let mut broken = Gateway::new(&rig, &transcript);
    broken.invoke("read", 7, b"", &[]);
    engine.next();
    let check = broken.gate.call("ping", b"\x02\x00\x01\x00");
    broken.write(&check);
    gateway.ping();
    drop(broken);
    engine.next();
    engine.send(&format!("DONE 7 {} cut 7 0\r\n\r\n", id(7)));
    // It drains.
    rig.terminate();
    gateway.told();
    gateway.invoke("read", 8, b"", &[]);
    gateway.told();
    gateway.ping();
    drop(gateway);
    assert_eq!(rig.ended().code(), Some(0));
    transcript.compare("conversation.txt");
}

/// Guards against a rejection, of what is due or for want of room, that loses its advice.
#[test]
fn rejections_of_what_is_due_or_has_no_room_keep_their_bytes() {
    let (rig, transcript) = (Rig::site(FRONT), Transcript::default());
    let mut engine = Link::engine(&rig.engine_listener(), BUSY, &transcript);
    let mut gateway = Gateway::new(&rig, &transcript);
    // Due long ago, as its gateway has it; the room is not needed for that.
    let since = (now_ms().parse::<u64>().unwrap() - 5_000).to_string();
    gateway.invoke_since(&since, "lock", 9, b"", &[]);
    gateway.told();
    for index in 1..=2 {
        gateway.invoke("pay", index, b"", &[]);
        engine.next();
    }
    gateway.invoke("lock", 3, b"", &[]);
    gateway.told();
    // Both cores stand still: the list hears of it in time.
    let not_ready =
        (0..20).find_map(|_| Some(lease(&rig)).filter(|lease| lease != b"lease n3 Ready"));
    transcript.add("server -> control", &not_ready.unwrap());
    transcript.compare("rejections.txt");
}

/// Guards against a changed wording or code of application exceptions, and of what ends a connection.
#[test]
fn messages_that_cannot_be_carried_out_draw_the_same_exceptions() {
    let (rig, transcript) = (Rig::start(), Transcript::default());
    let (now, long) = (now_ms(), "x".repeat(257));
    let ref_one = id(1);
    let good = [
        ("service", "read"),
        ("ref", &ref_one[..]),
        ("since", &now[..]),
        ("room", "1"),
    ];
    let with = |key: &'static str, value: &str| {
        let mut gateway = Gateway::new(&rig, &Transcript::default());
        let mut fields: Vec<(&str, &str)> =
            good.into_iter().filter(|(name, _)| *name != key).collect();
        if value != "-" {
            fields.push((key, value));
        }
        let bytes = gateway.gate.framed(&fields, b"");
        (gateway, bytes)
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
        let (mut gateway, bytes) = with(key, value);
        gateway.gate.write(&bytes);
        cases.push((format!("{key} {:.4}", value), gateway));
    }
    let (mut gateway, _) = with("dup", "1");
    let bytes = gateway.gate.framed(&good, &[b'x'; 2049]);
    gateway.gate.write(&bytes);
    cases.push(("a long body".to_owned(), gateway));
    for (name, arguments) in [
        ("novelty", &b""[..]),
        ("invoke", b""),
        ("invoke", b"\x63\x00\x01"),
    ] {
        let (mut gateway, _) = with("dup", "1");
        let bytes = gateway.gate.call(name, arguments);
        gateway.gate.write(&bytes);
        cases.push((format!("{name} {}", arguments.escape_ascii()), gateway));
    }
    let (mut gateway, _) = with("dup", "1");
    let mut bytes = gateway.gate.call("ping", b"");
    bytes[7] = 2;
    gateway.gate.write(&bytes);
    cases.push(("a reply".to_owned(), gateway));
    for (case, mut gateway) in cases {
        transcript.add(&case, &frame(&mut gateway.gate.stream));
    }
    // No engine is up: all of them stay open.
    let mut full = Gateway::new(&rig, &Transcript::default());
    for index in 1..=33 {
        full.invoke("pay", index, b"", &[]);
    }
    transcript.add("33 open", &frame(&mut full.gate.stream));
    let mut again = Gateway::new(&rig, &transcript);
    again.ping();
    again.gate.again();
    let repeated = again.gate.call("ping", b"");
    again.gate.write(&repeated);
    let mut cut = vec![("a number again", again)];
    for (case, bytes) in [
        ("no length", &b"\0\0\0\0"[..]),
        ("a length over 16 KiB", b"\0\0\x40\x01"),
        ("no version", b"\0\0\0\x04abcd"),
    ] {
        let mut gateway = Gateway::new(&rig, &Transcript::default());
        gateway.gate.write(bytes);
        cut.push((case, gateway));
    }
    for (case, mut gateway) in cut {
        let mut rest = Vec::new();
        gateway.gate.stream.read_to_end(&mut rest).unwrap();
        transcript.add(case, &rest);
    }
    transcript.compare("exceptions.txt");
}

/// The whole answer to a caller of SCGI.
fn answered(mut caller: Caller) -> Vec<u8> {
    let mut bytes = Vec::new();
    caller.stream.read_to_end(&mut bytes).unwrap();
    bytes
}

/// Guards against a changed status, header or reason in answers to callers of SCGI.
#[test]
fn answers_to_callers_of_scgi_keep_their_bytes() {
    let (rig, transcript) = (Rig::site(FRONT), Transcript::default());
    let mut engine = Link::engine(&rig.engine_listener(), BUSY, &transcript);
    let tell = |case: &str, caller: Caller| transcript.add(case, &answered(caller));
    let raw = |bytes: &[u8]| {
        let mut caller = rig.connect();
        caller.write(bytes);
        caller
    };
    let with_id = |path: &str, index: u64, more: &[(&str, &str)], body: &[u8]| {
        rig.ask(
            path,
            &[&[("HTTP_X_REQUEST_ID", &id(index)[..])], more].concat(),
            body,
        )
    };
    // Who never ends is told last.
    let slow = raw(b"70:CONTENT_LENGTH");
    tell("health", raw(&request("GET", "/health", &[], b"")));
    let caller = with_id(
        "/read/a?b=c",
        1,
        &[("HTTP_X_TENANT", "north")],
        b"\0\r\n\xff",
    );
    engine.next();
    engine.send(&format!("DONE 1 {} good 7 4\r\na\r\nb\r\n", id(1)));
    tell("ok", caller);
    let caller = with_id("/pay", 2, &[("HTTP_IDEMPOTENCY_KEY", "k")], b"once");
    engine.next();
    engine.send(&format!("DONE 2 {} bad 7 0\r\n\r\n", id(2)));
    tell("aborted", caller);
    tell(
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
        tell(&bytes.escape_ascii().to_string(), raw(&bytes));
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
        tell(
            &format!("{header} {value:.8}"),
            rig.ask("/read/x", &[(header, value)], b""),
        );
    }
    let running: Vec<Caller> = (4..=5)
        .map(|index| with_id("/pay", index, &[], b""))
        .collect();
    (4..=5).for_each(|_| drop(engine.next()));
    tell("rejected", with_id("/lock", 6, &[], b""));
    drop(running);
    tell("too slow", slow);
    transcript.compare("scgi_answers.txt");
}

/// Until answers carry the free value, which is first set a while after the start.
fn known_value(rig: &Rig) {
    let (mut gate, start) = (rig.gate(), Instant::now());
    while gate.pressure.is_none() {
        assert!(gate.ping() && start.elapsed() < LIMIT);
    }
}

/// Guards against a renamed header or path in what applications read.
#[test]
fn requests_to_applications_keep_their_bytes() {
    let (listener, transcript) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        Transcript::default(),
    );
    let paths = ",\"paths\": {\"read\": \"/plan\"}";
    let rig = Rig::site(&site(&[listener.local_addr().unwrap()], paths));
    let mut gateway = Gateway::new(&rig, &transcript);
    known_value(&rig);
    let says = ["Status: 200 OK\r\n\r\nran", "Status: 404 no\r\n\r\n"];
    for (index, (method, key)) in [("read", None), ("pay", Some(("replay", "T-1")))]
        .into_iter()
        .enumerate()
    {
        gateway.invoke(method, index as u64 + 1, b"\0\r\n\xff", key.as_slice());
        let mut stream = accept(&listener);
        let mut bytes = Vec::new();
        while !bytes.ends_with(b",\0\r\n\xff") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
        }
        transcript.add("server -> application", &bytes);
        stream.write_all(says[index].as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // Nothing follows the request.
        assert_eq!(stream.read(&mut [0]).unwrap(), 0);
        gateway.told();
    }
    // Nobody listens: proven not to have run.
    let rig = Rig::site(&site(&[Application::nowhere()], paths));
    known_value(&rig);
    let mut gateway = Gateway::new(&rig, &transcript);
    gateway.invoke("lock", 3, b"", &[]);
    gateway.told();
    transcript.compare("applications.txt");
}
