//! Measures the round trip of an RPC, from the first byte of the request to the last byte of the reply, for each protocol.
//!
//! The backend returns each request's body at once, so the time is that of protocol, request table, idempotency records and
//! scheduler together. A plain echo server on the same kind of socket is the baseline for the cost of the system calls.
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use coralstep::{Method, SchedulerConfig, Span};
use coralstep_config::Names;
use coralstep_config::site::{RouteConfig, ScgiConfig, SiteConfig};
use coralstep_scgi::request;
use coralstep_server::base::descriptors::Descriptors;
use coralstep_server::base::endpoints::{Endpoint, Endpoints};
use coralstep_server::base::limits::Limits;
use coralstep_server::base::memory_budget::MemoryBudgets;
use coralstep_server::base::request_id::RequestId;
use coralstep_server::callers::connections::Connections;
use coralstep_server::callers::gateway::GatewayProtocol;
use coralstep_server::callers::protocol::Protocol;
use coralstep_server::callers::scgi::ScgiProtocol;
use coralstep_server::decisions::{RunOutcome, SchedulerHandle};
use coralstep_server::dependency::store::StoreClient;
use coralstep_server::runs::request_handler::RequestHandler;
use coralstep_server::runs::{Backend, Run, RunEvent, RunEvents, RunRequest};
use criterion::{Criterion, criterion_group, criterion_main};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

/// Backend whose runs end at once, with the request's body as the result.
struct EchoBackend;

#[derive(Default)]
struct EchoRun(RefCell<RunEvents>);

impl Run for EchoRun {
    fn start(&self, request: &RunRequest<'_>) {
        self.0
            .borrow_mut()
            .push(RunEvent::Ended(RunOutcome::Ok(request.body.into())));
    }
    fn resume(&self, _result: &[u8]) {}
    fn mark_answered(&self) {}
    fn cancel(&self) {}
    fn query_status(&self, _request: &RunRequest<'_>) {}
    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        self.0.borrow_mut().poll(cx)
    }
}

impl Backend for EchoBackend {
    fn register(self: Rc<Self>, _id: RequestId) -> Option<Box<dyn Run>> {
        Some(Box::<EchoRun>::default())
    }
}

fn bind() -> (Async<TcpListener>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("read the bound address");
    (
        Async::new(listener).expect("register with the reactor"),
        address,
    )
}

fn site_config() -> SiteConfig {
    let names = Names {
        methods: vec!["read".to_owned()],
        ..Names::default()
    };
    let text = r#"{"scgi": {"listen": ["127.0.0.1:1"], "trusted": ["127.0.0.0/8"],
        "routes": [{"verb": "POST", "path": "/read", "method": "read"}]}}"#;
    SiteConfig::parse(text, &names).expect("valid site file")
}

/// Encodes a framed call of `invoke`.
fn encode_invoke(sequence: i32, id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x80, 1, 0, 1];
    let put_text = |bytes: &mut Vec<u8>, text: &[u8]| {
        bytes.extend_from_slice(&(text.len() as u32).to_be_bytes());
        bytes.extend_from_slice(text);
    };
    put_text(&mut bytes, b"invoke");
    bytes.extend_from_slice(&sequence.to_be_bytes());
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let since = now.as_millis().to_string();
    let fields = [
        ("service", "read"),
        ("ref", id),
        ("since", &since),
        ("room", "24.5"),
    ];
    bytes.extend_from_slice(&[13, 0, 1, 11, 11]);
    bytes.extend_from_slice(&(fields.len() as u32).to_be_bytes());
    for (key, value) in fields {
        put_text(&mut bytes, key.as_bytes());
        put_text(&mut bytes, value.as_bytes());
    }
    bytes.extend_from_slice(&[11, 0, 2]);
    put_text(&mut bytes, body);
    bytes.push(0);
    [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat()
}

/// Reads `stream` to its end and returns the number of bytes.
async fn read_to_end(mut stream: Async<TcpStream>) -> usize {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("read a reply");
    bytes.len()
}

fn bench_protocols(criterion: &mut Criterion) {
    let objective = Span::ms(60_000);
    let method = Method {
        latency_objective: objective,
        deadline: objective,
        priority_weight: 1.0,
        ..Method::default()
    };
    let config = SchedulerConfig {
        methods: vec![method],
        cores: 8,
        memory_kb: 1e6,
        ..SchedulerConfig::default()
    };
    let names = Names {
        methods: vec!["read".to_owned()],
        ..Names::default()
    };
    let limits = Limits {
        connections: 512,
        spare_connections: 32,
        receive_bytes: 1 << 20,
        unread_reply_bytes: 1 << 20,
        request_bytes: 1 << 20,
        requests: 1024,
        result_bytes: 1 << 20,
        request_ids: 1 << 16,
    };
    let scheduler = Rc::new(SchedulerHandle::new(config, names.clone(), 1, &limits));
    scheduler.start(Some(false), Duration::from_secs(1));
    let endpoints = Endpoints {
        engine: Endpoint::new(None),
        store: Endpoint::new(None),
        control_plane: Endpoint::new(None),
        descriptors: Rc::new(Descriptors::new(1024)),
    };
    let descriptors = endpoints.descriptors.clone();
    let handler = Rc::new(RequestHandler::new(
        scheduler.clone(),
        Rc::new(EchoBackend),
        StoreClient(Rc::new(endpoints)),
        &limits,
    ));
    let executor = Rc::new(LocalExecutor::new());
    let connections = Rc::new(Connections::new(
        executor.clone(),
        scheduler.clone(),
        handler,
        descriptors,
        limits,
        MemoryBudgets::new(&limits),
    ));
    let site = site_config();
    let scgi_config: &ScgiConfig = site.scgi.as_ref().expect("section scgi");
    assert_eq!(
        scgi_config.routes,
        [RouteConfig {
            verb: "POST".into(),
            path: "/read".into(),
            method: "read".into()
        }]
    );
    let scgi: Rc<dyn Protocol> =
        Rc::new(ScgiProtocol::new(scgi_config, &names).expect("valid routes"));
    let mut addresses = Vec::new();
    for protocol in [Rc::new(GatewayProtocol) as Rc<dyn Protocol>, scgi] {
        let (listener, address) = bind();
        let connections = connections.clone();
        executor
            .spawn(async move { connections.listen(listener, protocol).await })
            .detach();
        addresses.push(address);
    }
    let (echo_listener, echo_address) = bind();
    executor
        .spawn(async move {
            while let Ok((mut stream, _)) = echo_listener.accept().await {
                let mut bytes = [0; 2048];
                let count = stream.read(&mut bytes).await.unwrap_or(0);
                let _ = stream.write_all(&bytes[..count]).await;
            }
        })
        .detach();
    let body = vec![b'x'; 400];
    let run = |future: std::pin::Pin<Box<dyn Future<Output = usize> + '_>>| {
        block_on(executor.run(future))
    };
    let mut group = criterion.benchmark_group("front");
    group.bench_function("baseline: a connection and its echo", |b| {
        b.iter(|| {
            run(Box::pin(async {
                let mut stream = Async::<TcpStream>::connect(echo_address)
                    .await
                    .expect("connect");
                stream.write_all(&body).await.expect("write a request");
                read_to_end(stream).await
            }))
        })
    });
    let mut bytes = Vec::new();
    request::encode(
        &mut bytes,
        &[("REQUEST_METHOD", b"POST"), ("REQUEST_URI", b"/read")],
        &body,
    )
    .expect("encode a request");
    group.bench_function("SCGI: a connection and its RPC", |b| {
        b.iter(|| {
            run(Box::pin(async {
                let mut stream = Async::<TcpStream>::connect(addresses[1])
                    .await
                    .expect("connect");
                stream.write_all(&bytes).await.expect("write a request");
                read_to_end(stream).await
            }))
        })
    });
    let mut number = 0u64;
    group.bench_function("Thrift: a connection and its RPC", |b| {
        b.iter(|| {
            number += 1;
            let call = encode_invoke(1, &format!("{number:016x}"), &body);
            run(Box::pin(async {
                let mut stream = Async::<TcpStream>::connect(addresses[0])
                    .await
                    .expect("connect");
                stream.write_all(&call).await.expect("write a request");
                let mut bytes = [0; 2048];
                stream.read(&mut bytes).await.expect("read a reply")
            }))
        })
    });
    let mut kept = block_on(Async::<TcpStream>::connect(addresses[0])).expect("connect");
    let mut sequence = 0;
    group.bench_function("Thrift: an RPC on a kept connection", |b| {
        b.iter(|| {
            (sequence, number) = (sequence + 1, number + 1);
            let call = encode_invoke(sequence, &format!("{number:016x}"), &body);
            run(Box::pin(async {
                kept.write_all(&call).await.expect("write a request");
                let mut bytes = [0; 2048];
                kept.read(&mut bytes).await.expect("read a reply")
            }))
        })
    });
    group.finish();
    // Gives pending tasks one more turn; those still running are dropped with the executor.
    block_on(executor.run(async {}.or(async {})));
}

criterion_group!(benches, bench_protocols);
criterion_main!(benches);
