use super::*;

#[test]
fn garbled_frames_are_no_answers_and_bring_nothing_down() {
    let ask = Ask {
        method: "read".to_owned(),
        reference: 1,
        token: Some(2),
        tenant: "north".to_owned(),
        since_ms: 1,
        room_kb: 1.0,
        retry: true,
        body: b"x".to_vec(),
    };
    let mut frame = frame(7, &ask);
    assert_eq!(
        frame.len(),
        4 + u32::from_be_bytes(frame[..4].try_into().unwrap()) as usize
    );
    // A call is no answer, in whole and cut anywhere.
    assert!((0..frame.len()).all(|end| said(&frame[4.min(end)..end]).is_none()));
    frame[7] = 2;
    assert!((4..frame.len()).all(|end| said(&frame[4..end]).is_none()));
}
