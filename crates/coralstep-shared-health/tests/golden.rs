//! The bytes between servers about their dependencies, held still by the files under `tests/golden`.
//! `GOLDEN_WRITE=1` writes these anew.
use coralstep_fleet::Member;
use coralstep_fleet::extension::GossipExtension;
use coralstep_fleet::gossip::Disseminator;
use coralstep_shared_health::said::{Said, State, Word};
use coralstep_shared_health::{Parts, Verdicts};

/// The text of a committed file, which has to be what is written now.
fn golden(name: &str, written: &str) -> String {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, format!("{written}\n")).unwrap();
    }
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text.trim_end(), written, "{name}");
    text.trim_end().to_owned()
}

/// The same of bytes, as hexadecimal digits.
fn golden_bytes(name: &str, written: &[u8]) -> Vec<u8> {
    let text = golden(
        name,
        &written
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>(),
    );
    let byte =
        |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    text.as_bytes().chunks(2).map(byte).collect()
}

fn said(dependency: &str, state: State, healed_ms: Option<u32>) -> Said {
    Said {
        dependency: dependency.to_owned(),
        state,
        failures: 130,
        calls: 255,
        called_ms: 70_000,
        healed_ms,
    }
}

fn words() -> [Word; 2] {
    let far = Member::new(
        "süd-2",
        "[2001:db8::ff]:65535".parse().unwrap(),
        (1 << 40) + 5,
    );
    let near = Member::new(
        "server-17.alps",
        "10.1.2.200:7300".parse().unwrap(),
        1_790_000_000_123,
    );
    let all = vec![
        said("stock", State::Closed, Some(u32::MAX)),
        said("préis", State::Open, None),
        Said {
            failures: 0,
            calls: 3,
            called_ms: 0,
            ..said("mail", State::HalfOpen, Some(300))
        },
    ];
    [
        Word {
            of: near,
            number: (1 << 33) + 3,
            said: all,
        },
        Word {
            of: far,
            number: 1,
            said: Vec::new(),
        },
    ]
}

/// Guards against a breaker's state or a field whose place changes: servers of two releases would misread it.
#[test]
fn words_of_dependencies_keep_their_bytes() {
    let [own, passed] = words();
    let mut spread = Disseminator::<Word>::default();
    spread.receive(
        100_000,
        &own.of,
        &postcard::to_allocvec(&vec![(passed.clone(), 200u32)]).unwrap(),
    );
    spread.set_own(own.clone());
    let bytes = golden_bytes("words.hex", &spread.next_payload(100_100, 1_000).unwrap());
    assert_eq!(
        postcard::from_bytes(&bytes),
        Ok(vec![(own.clone(), 0u32), (passed.clone(), 300)])
    );
    let nobody = Member::new("x", own.of.address, 1);
    assert_eq!(
        Disseminator::<Word>::default().receive(200_000, &nobody, &bytes),
        [own, passed]
    );
}

/// Guards against JSON keys or states that are renamed with the code: operators' tools read these.
#[test]
fn rows_of_dependencies_keep_their_keys() {
    let own = Member::new("x", words()[0].of.address, 1);
    let mut part = Verdicts::new(&own, Parts::default(), 7);
    part.handle_gossip(
        100_000,
        &own,
        &postcard::to_allocvec(&words().map(|word| (word, 200u32)).to_vec()).unwrap(),
    );
    golden(
        "rows.json",
        &serde_json::to_string_pretty(&part.rows(100_500)).unwrap(),
    );
}
