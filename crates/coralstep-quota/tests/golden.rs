//! The bytes between servers about shares and votes, held still by the tables under `tests/golden`.
//! `GOLDEN_WRITE=1` writes these anew.
use coralstep_fleet::Member;
use coralstep_fleet::extension::{GossipExtension, MembershipView};
use coralstep_quota::holder::Which;
use coralstep_quota::letters::{Ask, Give, Letter};
use coralstep_quota::terms::{CutOff, Limit, LimitTerms, Names, look_up};
use coralstep_quota::{Limits, part::Row};

/// The bytes of a committed table (lines of a name and hexadecimal digits), which has to be what is written
/// now.
fn golden(table: &str, written: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
    let path = format!("{}/tests/golden/{table}.hex", env!("CARGO_MANIFEST_DIR"));
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        let lines = written
            .iter()
            .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
        std::fs::write(&path, lines.collect::<String>()).unwrap();
    }
    let text = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<(&str, &str)> = text
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .collect();
    assert_eq!(lines.len(), written.len(), "{table}");
    for ((name, digits), (written_name, bytes)) in lines.iter().zip(written) {
        assert_eq!(
            (*name, *digits),
            (written_name.as_str(), hex(bytes).as_str()),
            "{table}"
        );
    }
    let byte =
        |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    lines
        .iter()
        .map(|(_, digits)| digits.as_bytes().chunks(2).map(byte).collect())
        .collect()
}

/// `text` has to be what the golden file holds.
fn same_text(name: &str, text: &str) {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "{name}");
}

fn near() -> Member {
    Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    )
}

fn far() -> Member {
    Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    )
}

fn letters() -> Vec<(&'static str, Letter)> {
    let asks = vec![
        Ask {
            key: u64::MAX - 1,
            held: 200,
            want: 70_000,
        },
        Ask {
            key: 5,
            held: 0,
            want: 1,
        },
    ];
    let gives = vec![
        Give {
            key: 1 << 45,
            units: 1_000_000,
            wait_ms: 300,
        },
        Give {
            key: 6,
            units: 0,
            wait_ms: 0,
        },
    ];
    vec![
        (
            "asks",
            Letter::Asks {
                tenure: (1 << 33) + 1,
                number: 300,
                entries: asks,
            },
        ),
        (
            "asks_nothing",
            Letter::Asks {
                tenure: 0,
                number: 1,
                entries: Vec::new(),
            },
        ),
        (
            "gives",
            Letter::Gives {
                tenure: (1 << 40) + 2,
                number: 301,
                lease_ms: 10_000,
                again_ms: 250,
                entries: gives,
            },
        ),
        (
            "elsewhere",
            Letter::Elsewhere {
                keeper: Some(far()),
            },
        ),
        ("nobody", Letter::Elsewhere { keeper: None }),
        (
            "vote",
            Letter::Vote {
                number: 1 << 20,
                lease_ms: 12_000,
            },
        ),
        (
            "voted_yes",
            Letter::Voted {
                number: 129,
                yes: true,
            },
        ),
        (
            "voted_no",
            Letter::Voted {
                number: 2,
                yes: false,
            },
        ),
        ("release", Letter::Release { number: u32::MAX }),
    ]
}

/// Guards against a letter or field whose place changes: keepers and holders of two releases would misread it.
#[test]
fn letters_keep_their_bytes() {
    let written: Vec<_> = letters()
        .iter()
        .map(|(name, letter)| ((*name).to_owned(), letter.bytes()))
        .collect();
    for (bytes, (name, letter)) in golden("letters", &written).iter().zip(letters()) {
        assert_eq!(Letter::read(bytes), Some(letter), "{name}");
    }
}

fn limits() -> Vec<Limit> {
    let names = |all: &[&str]| {
        all.iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let (methods, tenants, dependencies) = (
        names(&["search", "order"]),
        names(&["north", "süd"]),
        names(&["stock"]),
    );
    let known = Names {
        methods: &methods,
        calls: &[false, true],
        tenants: &tenants,
        dependencies: &dependencies,
    };
    let limit = |name: &str,
                 tenant: Option<&str>,
                 method: Option<&str>,
                 dependency: Option<&str>| LimitTerms {
        name: name.to_owned(),
        tenant: tenant.map(str::to_owned),
        method: method.map(str::to_owned),
        dependency: dependency.map(str::to_owned),
        rps: Some(1_000.5),
        burst: Some(2_000),
        in_hand: None,
        cut_off: CutOff::Open {
            each: 50.0,
            most: 400.0,
        },
    };
    let stock = LimitTerms {
        rps: None,
        burst: None,
        in_hand: Some(300),
        ..limit("c", None, None, Some("stock"))
    };
    let terms = [
        limit("a", Some("süd"), None, None),
        limit("b", Some("north"), Some("order"), None),
        stock,
    ];
    look_up(&terms, &known).unwrap()
}

/// Guards against servers of two releases that know one limit by two keys, and so give its units twice.
#[test]
fn keys_of_limits_stay() {
    let written: Vec<_> = limits()
        .iter()
        .map(|limit| (limit.name.clone(), limit.key.to_le_bytes().to_vec()))
        .collect();
    golden("keys", &written);
}

/// Limits at a server that may give, at the time when it does.
fn giving() -> (Limits, u64) {
    let mut part = Limits::new(&near(), &[near().name], 10_000, 7, 0);
    part.set(0, &limits());
    let (own, mut now) = (near(), 0);
    while !part.gives(now) {
        assert!(now < 60_000);
        now += 100;
        tick(&mut part, &own, now);
    }
    (part, now)
}

fn tick(part: &mut Limits, own: &Member, now: u64) {
    let view = MembershipView {
        own,
        present: Vec::new(),
        current: Vec::new(),
        excluded: Vec::new(),
        leaving: false,
    };
    part.tick(now, &view);
}

/// RPCs come for so long, in milliseconds: past the time in which no RPCs in hand are given.
const RUN_MS: u64 = 20_000;

/// Guards against shares that other servers show wrongly (limit, units, RPCs in hand, admitted beyond), and
/// against JSON keys that are renamed with the fields.
#[test]
fn shares_on_their_way_keep_their_bytes() {
    let (mut part, start) = giving();
    let all = [(0, 1, true), (1, 0, false)].map(|(tenant, method, calls)| Which {
        tenant: Some(tenant),
        method,
        calls,
    });
    for now in (start..start + RUN_MS).step_by(10) {
        all.iter()
            .for_each(|which| drop(part.admit(now, *which, 0)));
        if now % 100 == 0 {
            tick(&mut part, &near(), now);
        }
    }
    let now = start + RUN_MS;
    let bytes = golden(
        "shares",
        &[("shares".to_owned(), part.next_gossip(now, 1_000).unwrap())],
    )
    .remove(0);
    let mut other = Limits::new(&far(), &[], 10_000, 8, 0);
    other.set(0, &limits());
    other.handle_gossip(now + 70_000, &far(), &bytes);
    same_text(
        "rows.json",
        &serde_json::to_string_pretty(&other.rows(now + 70_000)).unwrap(),
    );
    let figures = |row: &Row| (row.limit.clone(), row.share, row.used, row.over);
    let theirs = other.rows(now + 70_000);
    let theirs: Vec<_> = theirs
        .iter()
        .filter(|row| row.server == near().name)
        .map(figures)
        .collect();
    let named = |(name, share, used, over): (&str, _, _, _)| (name.to_owned(), share, used, over);
    assert_eq!(
        theirs,
        [("a", 40, 0, 6), ("b", 10, 0, 6), ("c", 300, 300, 6)].map(named)
    );
}
