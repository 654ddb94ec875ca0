use super::*;

#[test]
fn answer_is_decoded_with_retry_after() {
    assert_eq!(
        decode_answer(b"Status: 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
        RpcOutcome::Ok(b"hi".to_vec())
    );
    let pushed =
            b"Status: 503 x\r\nX-Coralstep-Retry-After-Ms: 250\r\nX-Coralstep-Nowhere: 1\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        decode_answer(pushed),
        RpcOutcome::PushedBack {
            after: Duration::from_millis(250),
            nowhere: true
        }
    );
    assert_eq!(
        decode_answer(b"Status: 500 no\r\n\r\n"),
        RpcOutcome::Aborted
    );
    assert_eq!(
        decode_answer(b"Status: 404 no\r\n\r\n"),
        RpcOutcome::Refused
    );
    // Truncated and empty answers.
    assert_eq!(
        decode_answer(b"Status: 200 OK\r\nContent-Length: 9\r\n\r\nhi"),
        RpcOutcome::Broken
    );
    assert_eq!(decode_answer(b""), RpcOutcome::Broken);
}
