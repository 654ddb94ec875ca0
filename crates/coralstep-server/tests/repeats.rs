//! Repeats of RPCs that have run, while clients whose ids the engine does not know fill the tables.
mod stand_ins;

use stand_ins::{Gateway, LineConnection, Reply, TestServer, id, ok};

/// `pay` has an idempotency key, `book` must run at most once. All times outlast the tests.
const SETTINGS: &str = r#"{
  "classes": [
    {"name":"pay","idempotency":"by_key","promise":80000000000,"deadline":90000000000,"worth":1,
     "window":90000000000},
    {"name":"book","idempotency":"once","promise":80000000000,"deadline":90000000000,"worth":1}
  ],
  "domain": {"cores":2,"depends_on":"shared","call_share":20.0,"calls_by_class":[false,false],
    "class_skip_worth":[0.0,0.0],"memory_kb":1000000,"run_factor":8,"key_kb":1,"preemption":"drop",
    "gauges":["cpu_busy","runnable","mem_used","sockets"],"advert":"weight","callers":3,
    "caller_idle":1000000000,"linger":100000000},
  "safety": {"drain_grace":200000000,"fall_multiple":8,"cold_from":0.3,"warm_after":10000000000},
  "realms": [{"name":"north","quota_rps":50}], "group_size": 4,
  "goal": {"whole":1}, "worth_by":"request"
}"#;

const SITE: &str = r#"{"scgi": {"listen": ["127.0.0.1:0"],
  "routes": [{"verb": "POST", "path": "/pay", "method": "pay"}]}}"#;

/// A server with the smallest table of RPCs.
const LIMITS: &str = r#""memory_mb":16,"sockets":1024"#;
/// Entries of that table.
const TABLE_ENTRIES: u64 = 256;
/// Maximum number of open requests of one connection.
const OPEN_REQUESTS: u64 = 32;

fn start() -> (TestServer, LineConnection) {
    let server = TestServer::with_site_limits_and_settings(SITE, LIMITS, SETTINGS);
    let engine = server.engine(0, "old 3600000");
    (server, engine)
}

/// Guards against a repeat that is rejected, and run elsewhere, because the RPC table is full.
#[test]
fn repeat_of_rpc_that_has_run_is_served_by_both_fronts_while_rpc_table_is_full() {
    let (server, mut engine) = start();
    let mut gateway = server.gateway();
    let first = gateway.invoke("pay", &id(1), b"", &[("replay", "T-1")]);
    engine.expect_run(&id(1), "pay");
    engine.send_done(1, &id(1), "good", "paid");
    assert_eq!(gateway.read_reply(), ok(first, "paid"));
    let _runs = engine.serve_in_background("0.5 1 0.1 3", false);
    let mut strangers: Vec<Gateway> = Vec::new();
    for index in 0..TABLE_ENTRIES {
        if index % OPEN_REQUESTS == 0 {
            strangers.push(server.gateway());
        }
        let key = format!("S-{index}");
        let stranger = strangers.last_mut().unwrap();
        stranger.invoke("pay", &id(100 + index), b"", &[("replay", &key)]);
    }
    server.wait_for_log("request table full");
    let repeat = gateway.invoke("pay", &id(2), b"", &[("replay", "T-1"), ("dup", "1")]);
    assert_eq!(gateway.read_reply(), ok(repeat, "paid"));
    let repeat = server.send_scgi("/pay", &[("HTTP_IDEMPOTENCY_KEY", "T-1")], b"");
    let answer = repeat.answer().unwrap();
    assert_eq!((answer.status, &answer.body[..]), (200, &b"paid"[..]));
    let new = server.send_scgi("/pay", &[("HTTP_IDEMPOTENCY_KEY", "T-2")], b"");
    assert_eq!(new.answer().unwrap().status, 503, "the table is still full");
}

/// Serves the engine's link in the background: runs of `known` ids succeed, others are refused.
fn refuse_unknown_ids(engine: LineConnection, known: &'static [u64]) {
    let mut ended = 0;
    engine.handle_runs_in_background(move |_, run, link| {
        if known.iter().any(|index| id(*index) == run) {
            ended += 1;
            link.send_done(ended, run, "good", "done");
        } else {
            link.send(&format!("NO RUN {run}\r\n"));
        }
    });
}

/// Guards against clients with unknown ids that fill the RPC table for a whole retry window.
#[test]
fn rpcs_unknown_to_engine_leave_no_entries_in_rpc_table() {
    let (server, engine) = start();
    refuse_unknown_ids(engine, &[1]);
    let mut stranger = server.gateway();
    for index in 0..=TABLE_ENTRIES {
        let key = format!("S-{index}");
        let seq = stranger.invoke("pay", &id(100 + index), b"", &[("replay", &key)]);
        assert_eq!(stranger.read_reply(), Reply::Internal { seq }, "{index}");
    }
    let mut gateway = server.gateway();
    let seq = gateway.invoke("pay", &id(1), b"", &[("replay", "T-1")]);
    assert_eq!(gateway.read_reply(), ok(seq, "done"));
}

/// Guards against a client with an unknown id that uses a key first and so keeps its RPC out.
#[test]
fn key_that_was_sent_under_unknown_id_runs_under_known_id() {
    let (server, engine) = start();
    refuse_unknown_ids(engine, &[1]);
    let mut gateway = server.gateway();
    let stranger = gateway.invoke("pay", &id(100), b"", &[("replay", "T-1")]);
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: stranger });
    let known = gateway.invoke("pay", &id(1), b"", &[("replay", "T-1")]);
    assert_eq!(gateway.read_reply(), ok(known, "done"));
}

/// Guards against clients with unknown ids that fill the table of request ids until the deadline.
#[test]
fn id_of_non_idempotent_rpc_is_free_again_after_engine_refused_its_run() {
    let (server, mut engine) = start();
    let mut gateway = server.gateway();
    let refused = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    engine.send(&format!("NO RUN {}\r\n", id(1)));
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: refused });
    let seq = gateway.invoke("book", &id(1), b"", &[]);
    engine.expect_run(&id(1), "book");
    engine.send_done(1, &id(1), "good", "booked");
    assert_eq!(gateway.read_reply(), ok(seq, "booked"));
}

/// Guards against a second run after the engine has forgotten the first and refuses a status query.
#[test]
fn refused_status_query_does_not_prove_that_rpc_never_ran() {
    let (server, mut engine) = start();
    let mut gateway = server.gateway();
    gateway.invoke("pay", &id(1), b"", &[("replay", "T-1")]);
    engine.expect_run(&id(1), "pay");
    // The RPC counts as answered once its caller has disconnected.
    drop(gateway);
    engine.expect_run(&id(1), "pay");
    engine.send(&format!("NO RUN {}\r\n", id(1)));
    engine.answer_two_gauge_queries();
    let mut gateway = server.gateway();
    let repeat = gateway.invoke("pay", &id(2), b"", &[("replay", "T-1"), ("dup", "1")]);
    assert_eq!(gateway.read_reply(), Reply::Internal { seq: repeat });
}
