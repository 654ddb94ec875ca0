use super::*;

#[test]
fn answers_are_read_with_their_advice() {
    assert_eq!(
        said(b"Status: 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
        Said::Ok(b"hi".to_vec())
    );
    let pushed =
            b"Status: 503 x\r\nX-Coralstep-Retry-After-Ms: 250\r\nX-Coralstep-Nowhere: 1\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        said(pushed),
        Said::PushedBack {
            after: Duration::from_millis(250),
            nowhere: true
        }
    );
    assert_eq!(said(b"Status: 500 no\r\n\r\n"), Said::Aborted);
    assert_eq!(said(b"Status: 404 no\r\n\r\n"), Said::Refused);
    // Cut short, and nothing at all.
    assert_eq!(
        said(b"Status: 200 OK\r\nContent-Length: 9\r\n\r\nhi"),
        Said::Broken
    );
    assert_eq!(said(b""), Said::Broken);
}
