//! Lookup in the trie, compared with a linear search of a list of patterns.
use std::hint::black_box;

use coralstep_route::{RouteMatch, RouteTable};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn find(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for count in [4usize, 64, 1024] {
        let patterns: Vec<String> = (0..count)
            .map(|target| format!("/v1/area{}/ride/{{id}}/part{target}", target % 8))
            .collect();
        let mut routes = RouteTable::default();
        for (target, pattern) in patterns.iter().enumerate() {
            routes
                .insert("GET", pattern, target)
                .expect("a valid route");
        }
        let path = format!("/v1/area{}/ride/4711/part{}", (count - 1) % 8, count - 1);
        group.bench_function(BenchmarkId::new("trie", count), |b| {
            b.iter(|| match routes.find("GET", black_box(&path)) {
                RouteMatch::Found(target) => *target,
                _ => unreachable!("the route exists"),
            });
        });
        let list: Vec<Vec<&str>> = patterns
            .iter()
            .map(|pattern| pattern.split('/').collect())
            .collect();
        group.bench_function(BenchmarkId::new("baseline: list", count), |b| {
            b.iter(|| {
                let path: Vec<&str> = black_box(&path).split('/').collect();
                let matches = |pattern: &&Vec<&str>| {
                    pattern.len() == path.len()
                        && pattern
                            .iter()
                            .zip(&path)
                            .all(|(part, segment)| part.starts_with('{') || part == segment)
                };
                list.iter().position(|pattern| matches(&pattern))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, find);
criterion_main!(benches);
