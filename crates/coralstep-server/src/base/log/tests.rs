use super::*;

#[test]
fn lines_over_limit_are_dropped_and_counted() {
    let start = Instant::now();
    let clients = (0..100)
        .filter(|_| admit_line(start, LineCause::Client).is_some())
        .count();
    assert_eq!(clients as u32, MAX_CLIENT_LINES_PER_SECOND);
    // Client lines don't use up the limit of other lines.
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
