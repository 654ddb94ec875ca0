use super::*;

#[test]
fn malformed_frames_are_not_decoded_as_answers() {
    let rpc = OutgoingRpc {
        method: "read".to_owned(),
        reference: 1,
        token: Some(2),
        tenant: "north".to_owned(),
        since_ms: 1,
        room_kb: 1.0,
        retry: true,
        body: b"x".to_vec(),
    };
    let mut frame = encode_call(7, &rpc);
    assert_eq!(
        frame.len(),
        4 + u32::from_be_bytes(frame[..4].try_into().unwrap()) as usize
    );
    // A call is not an answer, whether whole or truncated anywhere.
    assert!((0..frame.len()).all(|end| decode_answer(&frame[4.min(end)..end]).is_none()));
    frame[7] = 2;
    assert!((4..frame.len()).all(|end| decode_answer(&frame[4..end]).is_none()));
}
