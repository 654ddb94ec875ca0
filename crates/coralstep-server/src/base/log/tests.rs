use super::*;

#[test]
fn a_flood_of_lines_is_bounded_and_counted() {
    let start = Instant::now();
    let clients = (0..100)
        .filter(|_| admit_line(start, LineCause::Client).is_some())
        .count();
    assert_eq!(clients as u32, MAX_CLIENT_LINES_PER_SECOND);
    // What else is to be said still has its lines.
    let others = (0..100)
        .filter(|_| admit_line(start, LineCause::Server).is_some())
        .count();
    assert_eq!(
        others as u32,
        MAX_LINES_PER_SECOND - MAX_CLIENT_LINES_PER_SECOND
    );
    assert_eq!(
        admit_line(start + Duration::from_secs(1), LineCause::Client),
        Some(180)
    );
}
