//! Cost of the fleet code per server by the number of known members: the check for exclusion before
//! each RPC, and the handling of one received datagram. A server without members is the baseline.
use std::hint::black_box;
use std::net::SocketAddr;

use coralstep_fleet::fleet::Transmit;
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::{Fleet, FleetConfig, Member};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

fn address_of(server: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, (server / 250) as u8, (server % 250) as u8 + 1],
        7946,
    ))
}

fn fleet_of(server: usize) -> Fleet {
    let own = Member::new(&format!("n{server}"), address_of(server), 1);
    let peers = vec![address_of(0), address_of(1)];
    let config = FleetConfig {
        name: "alps".to_owned(),
        own,
        peers,
        max_lag: 8_000,
        max_silence: 8_000,
        exclude_when_isolated: false,
        seed: server as u64 + 1,
    };
    Fleet::new(config, 0, 1)
}

/// Returns a server that knows `count` members, the last datagram that it received and its time.
fn fleet_with_members(count: usize) -> (Fleet, Vec<u8>, u64) {
    let mut fleet = fleet_of(0);
    let mut now = 0;
    let mut last_datagram = Vec::new();
    for index in 1..=count {
        let mut member = fleet_of(index);
        now += 1;
        member.handle_timeout(now, now, RpcCounts::default());
        for Transmit { bytes, .. } in member.take_datagrams() {
            let _ = fleet.handle_datagram(now, now, &bytes);
            last_datagram = bytes;
        }
        fleet.take_datagrams();
    }
    fleet.handle_timeout(now, now, RpcCounts::default());
    fleet.take_datagrams();
    (fleet, last_datagram, now)
}

fn bench(criterion: &mut Criterion) {
    for count in [0, 30, 300, 3_000] {
        let (mut fleet, last_datagram, start) = fleet_with_members(count);
        let mut group = criterion.benchmark_group(format!("{count} members"));
        group.bench_function("exclusion check", |bencher| {
            bencher.iter(|| black_box(fleet.retry_after(start)));
        });
        if count > 0 {
            group.bench_function("received datagram", |bencher| {
                bencher.iter_batched(
                    || last_datagram.clone(),
                    |bytes| fleet.handle_datagram(start, start, &bytes),
                    BatchSize::SmallInput,
                );
                fleet.take_datagrams();
            });
        }
        group.finish();
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
