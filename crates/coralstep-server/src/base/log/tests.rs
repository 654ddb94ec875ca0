use super::*;

#[test]
fn a_flood_is_cut_and_counted() {
    let start = Instant::now();
    let clients = (0..100).filter(|_| admitted(start, true).is_some()).count();
    assert_eq!(clients as u32, CLIENT_LINES);
    // What else is to be said still has its lines.
    let others = (0..100)
        .filter(|_| admitted(start, false).is_some())
        .count();
    assert_eq!(others as u32, LINES - CLIENT_LINES);
    assert_eq!(admitted(start + Duration::from_secs(1), true), Some(180));
}
