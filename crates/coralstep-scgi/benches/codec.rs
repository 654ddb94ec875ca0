//! Cost of encoding and decoding, compared with splitting and copying the same bytes.
use std::hint::black_box;

use coralstep_scgi::{Limits, request, response};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

const BODY: [u8; 600] = [b'x'; 600];

const HEADERS: [request::Header<'static>; 12] = [
    ("REQUEST_METHOD", b"POST"),
    ("REQUEST_URI", b"/route/plan?from=a&to=b"),
    ("PATH_INFO", b"/route/plan"),
    ("QUERY_STRING", b"from=a&to=b"),
    ("SERVER_PROTOCOL", b"HTTP/1.1"),
    ("REMOTE_ADDR", b"127.0.0.1"),
    ("HTTP_HOST", b"planner.example"),
    ("HTTP_IDEMPOTENCY_KEY", b"7f3a9c21e0b4d655"),
    ("HTTP_X_TENANT", b"north"),
    ("HTTP_X_REQUEST_ID", b"9b1f03aa5c7e2d41"),
    ("HTTP_X_ARRIVED_MS", b"1764576000123"),
    ("HTTP_USER_AGENT", b"planner/3"),
];

fn requests(criterion: &mut Criterion) {
    let limits = Limits::default();
    let mut bytes = Vec::new();
    request::encode(&mut bytes, &HEADERS, &BODY).unwrap();
    let mut group = criterion.benchmark_group("scgi");
    group.throughput(Throughput::Bytes(bytes.len() as u64));
    group.bench_function("decode a request", |b| {
        b.iter(|| {
            request::decode(black_box(&bytes), &limits)
                .unwrap()
                .unwrap()
                .1
        });
    });
    group.bench_function("baseline: split at each NUL", |b| {
        b.iter(|| {
            black_box(&bytes)
                .split(|byte| *byte == 0)
                .map(<[u8]>::len)
                .sum::<usize>()
        });
    });
    let mut out = Vec::with_capacity(4096);
    group.bench_function("encode a request", |b| {
        b.iter(|| {
            out.clear();
            request::encode(&mut out, black_box(&HEADERS), &BODY).unwrap();
            out.len()
        });
    });
    group.bench_function("baseline: copy the bytes", |b| {
        b.iter(|| {
            out.clear();
            out.extend_from_slice(black_box(&bytes));
            out.len()
        });
    });
    group.finish();
}

fn responses(criterion: &mut Criterion) {
    let limits = Limits::default();
    let mut bytes = Vec::new();
    response::encode(&mut bytes, 200, &[("X-Coralstep-Value", &0.5)], &BODY);
    let mut group = criterion.benchmark_group("scgi");
    group.throughput(Throughput::Bytes(bytes.len() as u64));
    group.bench_function("decode a response", |b| {
        b.iter(|| {
            response::decode(black_box(&bytes), false, &limits)
                .unwrap()
                .unwrap()
                .0
        });
    });
    group.finish();
}

criterion_group!(benches, requests, responses);
criterion_main!(benches);
