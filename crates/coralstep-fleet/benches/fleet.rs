//! What the fleet's part costs a server by the size of the fleet: the look before each RPC, against the same call on a server that knows
//! nobody; a datagram received and answered.
use std::hint::black_box;
use std::net::SocketAddr;

use coralstep_fleet::fleet::Transmit;
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::{Fleet, FleetConfig, Member};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

fn at(server: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, (server / 250) as u8, (server % 250) as u8 + 1],
        7946,
    ))
}

fn one(server: usize) -> Fleet {
    let own = Member::new(&format!("n{server}"), at(server), 1);
    let peers = vec![at(0), at(1)];
    let terms = FleetConfig {
        name: "alps".to_owned(),
        own,
        peers,
        max_lag: 8_000,
        max_silence: 8_000,
        exclude_when_isolated: false,
        seed: server as u64 + 1,
    };
    Fleet::new(terms, 0, 1)
}

/// One server that knows `count` others, and the last datagram that it received from one of them.
fn known(count: usize) -> (Fleet, Vec<u8>, u64) {
    let mut hub = one(0);
    let mut now = 0;
    let mut last = Vec::new();
    for other in 1..=count {
        let mut other = one(other);
        now += 1;
        other.handle_timeout(now, now, RpcCounts::default());
        for Transmit { bytes, .. } in other.take_datagrams() {
            let _ = hub.handle_datagram(now, now, &bytes);
            last = bytes;
        }
        hub.take_datagrams();
    }
    hub.handle_timeout(now, now, RpcCounts::default());
    hub.take_datagrams();
    (hub, last, now)
}

fn bench(criterion: &mut Criterion) {
    for count in [0, 30, 300, 3_000] {
        let (mut hub, last, start) = known(count);
        let mut group = criterion.benchmark_group(format!("{count} others"));
        group.bench_function("look before an RPC", |bencher| {
            bencher.iter(|| black_box(hub.retry_after(start)));
        });
        if count > 0 {
            group.bench_function("a datagram", |bencher| {
                bencher.iter_batched(
                    || last.clone(),
                    |bytes| hub.handle_datagram(start, start, &bytes),
                    BatchSize::SmallInput,
                );
                hub.take_datagrams();
            });
        }
        group.finish();
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
