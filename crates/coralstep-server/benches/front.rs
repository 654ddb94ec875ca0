//! From the first byte of a request to the last of its answer, by front, with a place that runs nothing: what the fronts, the
//! table, the ledger and the decisions cost together. Beside them a plain echo on the same kind of socket, which is what the
//! system itself takes.
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

/// Every run ends at once with its own body.
struct Echo;

#[derive(Default)]
struct EchoRun(RefCell<RunEvents>);

impl Run for EchoRun {
    fn start(&self, order: &RunRequest<'_>) {
        self.0
            .borrow_mut()
            .push(RunEvent::Ended(RunOutcome::Ok(order.body.into())));
    }
    fn resume(&self, _answer: &[u8]) {}
    fn mark_answered(&self) {}
    fn cancel(&self) {}
    fn query_status(&self, _order: &RunRequest<'_>) {}
    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        self.0.borrow_mut().poll(cx)
    }
}

impl Backend for Echo {
    fn register(self: Rc<Self>, _id: RequestId) -> Option<Box<dyn Run>> {
        Some(Box::<EchoRun>::default())
    }
}

fn bind() -> (Async<TcpListener>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (Async::new(listener).expect("a reactor"), address)
}

fn site() -> SiteConfig {
    let names = Names {
        methods: vec!["read".to_owned()],
        ..Names::default()
    };
    let text = r#"{"scgi": {"listen": ["127.0.0.1:1"], "trusted": ["127.0.0.0/8"],
        "routes": [{"verb": "POST", "path": "/read", "method": "read"}]}}"#;
    SiteConfig::parse(text, &names).expect("a proper site file")
}

/// A call of `invoke`, framed.
fn invoke(seq: i32, id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x80, 1, 0, 1];
    let text = |bytes: &mut Vec<u8>, text: &[u8]| {
        bytes.extend_from_slice(&(text.len() as u32).to_be_bytes());
        bytes.extend_from_slice(text);
    };
    text(&mut bytes, b"invoke");
    bytes.extend_from_slice(&seq.to_be_bytes());
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
        text(&mut bytes, key.as_bytes());
        text(&mut bytes, value.as_bytes());
    }
    bytes.extend_from_slice(&[11, 0, 2]);
    text(&mut bytes, body);
    bytes.push(0);
    [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat()
}

async fn until_the_end(mut stream: Async<TcpStream>) -> usize {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("an answer");
    bytes.len()
}

fn front(criterion: &mut Criterion) {
    let target = Span::ms(60_000);
    let method = Method {
        latency_objective: target,
        deadline: target,
        priority_weight: 1.0,
        ..Method::default()
    };
    let terms = SchedulerConfig {
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
        unread_reply_bytes: 1 << 20,
        requests: 1024,
        result_bytes: 1 << 20,
        request_ids: 1 << 16,
    };
    let scheduler = Rc::new(SchedulerHandle::new(terms, names.clone(), 1, &limits));
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
        Rc::new(Echo),
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
    ));
    let site = site();
    let scgi_terms: &ScgiConfig = site.scgi.as_ref().expect("its SCGI part");
    assert_eq!(
        scgi_terms.routes,
        [RouteConfig {
            verb: "POST".into(),
            path: "/read".into(),
            method: "read".into()
        }]
    );
    let scgi: Rc<dyn Protocol> = Rc::new(ScgiProtocol::new(scgi_terms, &names).expect("a front"));
    let mut addresses = Vec::new();
    for front in [Rc::new(GatewayProtocol) as Rc<dyn Protocol>, scgi] {
        let (listener, address) = bind();
        let connections = connections.clone();
        executor
            .spawn(async move { connections.listen(listener, front).await })
            .detach();
        addresses.push(address);
    }
    let (plain, echo) = bind();
    executor
        .spawn(async move {
            while let Ok((mut stream, _)) = plain.accept().await {
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
                let mut stream = Async::<TcpStream>::connect(echo)
                    .await
                    .expect("a connection");
                stream.write_all(&body).await.expect("room");
                until_the_end(stream).await
            }))
        })
    });
    let mut bytes = Vec::new();
    request::encode(
        &mut bytes,
        &[("REQUEST_METHOD", b"POST"), ("REQUEST_URI", b"/read")],
        &body,
    )
    .expect("a request");
    group.bench_function("SCGI: a connection and its RPC", |b| {
        b.iter(|| {
            run(Box::pin(async {
                let mut stream = Async::<TcpStream>::connect(addresses[1])
                    .await
                    .expect("a connection");
                stream.write_all(&bytes).await.expect("room");
                until_the_end(stream).await
            }))
        })
    });
    let mut number = 0u64;
    group.bench_function("Thrift: a connection and its RPC", |b| {
        b.iter(|| {
            number += 1;
            let call = invoke(1, &format!("{number:016x}"), &body);
            run(Box::pin(async {
                let mut stream = Async::<TcpStream>::connect(addresses[0])
                    .await
                    .expect("a connection");
                stream.write_all(&call).await.expect("room");
                let mut bytes = [0; 2048];
                stream.read(&mut bytes).await.expect("an answer")
            }))
        })
    });
    let mut kept = block_on(Async::<TcpStream>::connect(addresses[0])).expect("a connection");
    let mut seq = 0;
    group.bench_function("Thrift: an RPC on a kept connection", |b| {
        b.iter(|| {
            (seq, number) = (seq + 1, number + 1);
            let call = invoke(seq, &format!("{number:016x}"), &body);
            run(Box::pin(async {
                kept.write_all(&call).await.expect("room");
                let mut bytes = [0; 2048];
                kept.read(&mut bytes).await.expect("an answer")
            }))
        })
    });
    group.finish();
    // What is still under way ends with the executor.
    block_on(executor.run(async {}.or(async {})));
}

criterion_group!(benches, front);
criterion_main!(benches);
