use super::*;
use crate::faulty::{Faults, Faulty};

fn of() -> Fingerprint {
    Fingerprint {
        server: "n1".to_owned(),
        cores: 4,
        methods: vec!["read".to_owned()],
        dependency: Some(8.0),
        tenants: vec!["north".to_owned()],
    }
}

fn learned(limit: u32) -> LearnedState {
    LearnedState {
        run_times: vec![[7; 12]],
        call_times: [1; 12],
        concurrency_limit: Some(limit),
        call_permits: Some(3.5),
        best_call_time: Some(90),
        tenants: vec![[4.0, 2.0]],
    }
}

/// Snapshots with these limits, one after the other, at these seconds.
fn saved(all: &[(u32, u64)]) -> Faulty {
    let mut files = Faulty::default();
    for (number, (limit, at)) in all.iter().enumerate() {
        save(&mut files, &learned(*limit), &of(), number as u64 + 1, *at).unwrap();
    }
    files
}

fn limit(found: &Found) -> Option<u32> {
    found
        .learned
        .as_ref()
        .and_then(|(learned, _)| learned.concurrency_limit)
}

#[test]
fn the_newest_is_believed_as_far_as_its_age_allows() {
    let files = saved(&[(5, 100), (6, 160), (7, 220)]);
    let found = load(&files, &of(), 230);
    assert_eq!(
        (found.learned.clone(), found.number),
        (Some((learned(7), 1.0)), 3)
    );
    assert_eq!(files.list().unwrap(), ["learned.0", "learned.1"]);
    let (_, trust) = load(&files, &of(), 220 + 3_600).learned.unwrap();
    assert!((0.5..0.6).contains(&trust), "{trust}");
    // A week old, and from the future: the clock was set back.
    let old = load(&files, &of(), 220 + 8 * 86_400);
    assert!(
        old.learned.is_none()
            && old
                .refused
                .iter()
                .all(|(_, why)| matches!(why, Refused::Age(_)))
    );
    assert_eq!(limit(&load(&files, &of(), 95)), None);
    assert_eq!(limit(&load(&files, &of(), 165)), Some(7));
    // Of another server.
    let other = load(
        &files,
        &Fingerprint {
            server: "n2".to_owned(),
            ..of()
        },
        230,
    );
    assert!(other.learned.is_none() && other.refused.len() == 2);
}

#[test]
fn a_power_cut_at_every_operation_leaves_one_whole_snapshot() {
    let whole = saved(&[(5, 100), (6, 110), (7, 120)]);
    assert_eq!(whole.steps, 15);
    for cut in 0..whole.steps {
        for seed in 0..40 {
            let mut files = Faulty::with(Faults {
                cut: Some(cut),
                ..Faults::default()
            });
            let (mut number, mut done) = (0, 0);
            for (limit, at) in [(5, 100), (6, 110), (7, 120)] {
                number += 1;
                if save(&mut files, &learned(limit), &of(), number, at).is_ok() {
                    done = limit;
                }
            }
            let after = files.after_cut(seed, Faults::default());
            let found = load(&after, &of(), 130);
            // At the most one window is lost: the one that was on its way; it may have come through, too.
            let last = limit(&found).unwrap_or(0);
            assert!(
                last == done || last == done + 1 || (done == 0 && last == 5),
                "{cut} {seed}: {last} {done}"
            );
            assert!(
                found.refused.iter().all(|(_, why)| *why == Refused::Spoilt),
                "{:?}",
                found.refused
            );
            // And a later snapshot goes on from there.
            let mut after = after;
            save(&mut after, &learned(8), &of(), found.number + 1, 140).unwrap();
            assert_eq!(limit(&load(&after, &of(), 150)), Some(8));
        }
    }
}

#[test]
fn syncs_that_lie_may_lose_snapshots_but_no_spoilt_one_is_believed() {
    for seed in 0..300 {
        let mut files = Faulty::with(Faults {
            lies: true,
            ..Faults::default()
        });
        for (number, last) in [(1, 5), (2, 6), (3, 7)] {
            save(&mut files, &learned(last), &of(), number, 100).unwrap();
        }
        let found = load(&files.after_cut(seed, Faults::default()), &of(), 110);
        assert!(
            found
                .learned
                .is_none_or(|(found, _)| (5..=7).any(|limit| found == learned(limit)))
        );
    }
}

#[test]
fn cut_at_each_byte_and_with_each_bit_flipped_it_is_refused() {
    let whole = saved(&[(5, 100)]);
    let length = whole.read("learned.0", MOST).unwrap().len();
    for cut in 0..length {
        let mut files = whole.clone();
        files.spoil("learned.0", |bytes| bytes.truncate(cut));
        assert_eq!(
            load(&files, &of(), 110).refused,
            [("learned.0".to_owned(), Refused::Spoilt)],
            "{cut}"
        );
    }
    for bit in 0..length * 8 {
        let mut files = whole.clone();
        files.spoil("learned.0", |bytes| bytes[bit / 8] ^= 1 << (bit % 8));
        let found = load(&files, &of(), 110);
        // A flipped version may look like a later one; nothing is believed of it either way.
        assert!(found.learned.is_none(), "{bit}");
    }
    let mut longer = whole;
    longer.spoil("learned.0", |bytes| bytes.push(0));
    assert!(load(&longer, &of(), 110).learned.is_none());
}

#[test]
fn an_older_version_is_read_and_a_later_one_left_alone() {
    let Stored {
        number,
        written_s,
        server,
        cores,
        methods,
        dependency,
        runs,
        calls,
        limit: most,
        permits,
        best,
        ..
    } = Stored::new(&learned(5), &of(), 9, 100);
    let one = StoredOne {
        number,
        written_s,
        server,
        cores,
        methods,
        dependency,
        runs,
        calls,
        limit: most,
        permits,
        best,
    };
    let mut files = Faulty::default();
    let mut bytes = frame::head(Kind::Learned, 1);
    frame::put(&mut bytes, &postcard::to_stdvec(&one).unwrap());
    files.create("learned.0").unwrap();
    files.append("learned.0", &bytes).unwrap();
    let (read, _) = load(&files, &of(), 110).learned.unwrap();
    assert_eq!(
        (read.concurrency_limit, read.run_times, read.tenants),
        (Some(5), vec![[7; 12]], vec![[0.0; 2]])
    );
    let mut later = frame::head(Kind::Learned, VERSION + 1);
    later.extend_from_slice(b"whatever it is");
    files.create("learned.1").unwrap();
    files.append("learned.1", &later).unwrap();
    assert_eq!(
        load(&files, &of(), 110).refused,
        [("learned.1".to_owned(), Refused::Later(VERSION + 1))]
    );
    for number in 10..14 {
        save(&mut files, &learned(6), &of(), number, 120).unwrap();
    }
    assert_eq!(files.read("learned.1", MOST).unwrap(), later);
    assert_eq!(limit(&load(&files, &of(), 130)), Some(6));
    // With both of a later version nothing is written, and that is told.
    files.spoil("learned.0", |bytes| bytes.clone_from(&later));
    assert_eq!(
        save(&mut files, &learned(6), &of(), 20, 140)
            .unwrap_err()
            .kind(),
        io::ErrorKind::AlreadyExists
    );
}

#[test]
fn a_full_or_failing_disk_is_told_and_keeps_the_older_snapshot() {
    for step in 0..5 {
        let mut files = saved(&[(5, 100)]);
        files.faults.error = Some(files.steps + step);
        assert!(save(&mut files, &learned(6), &of(), 2, 110).is_err());
        assert!(limit(&load(&files, &of(), 120)).is_some_and(|limit| limit == 5 || step == 4));
    }
    let mut full = saved(&[(5, 100)]);
    full.faults.room = Some(full.read("learned.0", MOST).unwrap().len() + 20);
    assert_eq!(
        save(&mut full, &learned(6), &of(), 2, 110)
            .unwrap_err()
            .kind(),
        io::ErrorKind::StorageFull
    );
    assert_eq!(limit(&load(&full, &of(), 120)), Some(5));
}

/// Guards against a version 1 that changes along with the current one: it is only read, never written any more.
#[test]
fn version_1_keeps_its_bytes() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/golden/version_1/learned.0"
    );
    let one = StoredOne {
        number: (1 << 40) + 201,
        written_s: 1_790_000_300,
        server: "server-17.alps".to_owned(),
        cores: 144,
        methods: ["search", "order/place", "grüße"]
            .map(str::to_owned)
            .to_vec(),
        dependency: Some(0.375),
        runs: (0..3)
            .map(|method| std::array::from_fn(|bin| (method * 12 + bin as u32) * 131))
            .collect(),
        calls: std::array::from_fn(|bin| 1 << (bin * 2)),
        limit: Some(300),
        permits: Some(3.625),
        best: Some((1 << 33) + 7),
    };
    let mut bytes = frame::head(Kind::Learned, 1);
    frame::put(&mut bytes, &postcard::to_stdvec(&one).unwrap());
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(path, &bytes).unwrap();
    }
    assert_eq!(std::fs::read(path).unwrap(), bytes);
}
