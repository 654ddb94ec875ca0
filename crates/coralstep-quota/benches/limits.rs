//! Cost of admitting an RPC under fleet-wide limits, by number of limits, compared with a local token bucket.
use std::hint::black_box;
use std::time::{Duration, Instant};

use coralstep_quota::client::QuotaClient;
use coralstep_quota::config::CutOff;
use coralstep_quota::limit::{LimitKey, LimitScope};
use coralstep_quota::message::{Grant, GrantBatch, QuotaRequest, TermId};
use coralstep_quota::{Limit, LimitKind, RequestKey};
use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, Criterion, criterion_group, criterion_main};

fn limit(number: usize) -> Limit {
    Limit {
        key: LimitKey(number as u64 + 1),
        name: format!("limit {number}"),
        scope: LimitScope {
            tenant: Some(number),
            ..LimitScope::default()
        },
        kind: LimitKind::Rate {
            rps: 1e6,
            burst: 1_000_000,
        },
        cut_off: CutOff::Strict,
    }
}

/// Baseline: a local token bucket.
struct TokenBucket {
    tokens: f64,
    refilled: u64,
}

impl TokenBucket {
    fn take(&mut self, now: u64) -> bool {
        self.tokens = (self.tokens + (now - self.refilled) as f64 * 1_000.0).min(1e6);
        self.refilled = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}

/// Answers each due request with a grant of half a million units.
fn grant_all(client: &mut QuotaClient, now: u64) {
    let grant = |request: &QuotaRequest| Grant {
        key: request.key,
        units: 500_000,
        wait_ms: 0,
    };
    for batch in client.poll_requests(now, false) {
        let grants = GrantBatch {
            term: TermId(1),
            sequence: batch.sequence,
            lease_ms: 10_000,
            next_round_ms: 250,
            grants: batch.requests.iter().map(grant).collect(),
        };
        client.handle_grants(now, &grants);
    }
}

/// Returns the time of `count` decisions with a share, without the time for grants.
fn admit_with_share(
    client: &mut QuotaClient,
    now: &mut u64,
    request: RequestKey,
    count: u64,
) -> Duration {
    let mut elapsed = Duration::ZERO;
    let mut remaining = count;
    while remaining > 0 {
        let _ = client.admit(*now, request, 100);
        *now += 300;
        grant_all(client, *now);
        let batch = remaining.min(400_000);
        let start = Instant::now();
        for _ in 0..batch {
            black_box(client.admit(*now, black_box(request), 100).is_ok());
        }
        elapsed += start.elapsed();
        remaining -= batch;
    }
    elapsed
}

fn bench_local_bucket(group: &mut BenchmarkGroup<'_, WallTime>) {
    let mut bucket = TokenBucket {
        tokens: 1e6,
        refilled: 0,
    };
    let mut now = 0;
    group.bench_function("local bucket", |bench| {
        bench.iter(|| {
            now += 1;
            black_box(bucket.take(now))
        });
    });
}

fn bench_limits(group: &mut BenchmarkGroup<'_, WallTime>, count: usize) {
    let limits: Vec<Limit> = (0..count).map(limit).collect();
    let mut client = QuotaClient::new(&limits, 0);
    let request = RequestKey {
        tenant: Some(count / 2),
        method: 0,
        calls_dependency: false,
    };
    let mut now = 1;
    group.bench_function(format!("{count} limits, with a share"), |bench| {
        bench.iter_custom(|count| admit_with_share(&mut client, &mut now, request, count));
    });
    let other = RequestKey {
        tenant: None,
        ..request
    };
    group.bench_function(format!("{count} limits, none for it"), |bench| {
        bench.iter(|| black_box(client.admit(now, black_box(other), 100).is_ok()));
    });
}

fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    bench_local_bucket(&mut group);
    for count in [1, 100, 10_000] {
        bench_limits(&mut group, count);
    }
    group.finish();
}

criterion_group!(benches, admit);
criterion_main!(benches);
