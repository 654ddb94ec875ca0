use super::*;

pub(in crate::callers) fn reply_field(key: &'static str, value: &str) -> ReplyField {
    ReplyField {
        key,
        value: value.to_owned(),
    }
}

fn invalid(sequence: i32, reason: &'static str) -> Result<Message<'static>, DecodeError> {
    Err(DecodeError::Invalid { sequence, reason })
}

/// Encodes a call of `invoke`.
pub(in crate::callers) fn encode_invoke(
    sequence: i32,
    fields: &[ReplyField],
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = FrameWriter::new(&mut bytes, CALL, "invoke", sequence);
    writer.map_of_strings(1, fields);
    writer.field(STRING, 2);
    writer.binary(body);
    writer.finish();
    bytes
}

/// Encodes a health check.
pub(in crate::callers) fn encode_ping(sequence: i32) -> Vec<u8> {
    let mut bytes = Vec::new();
    FrameWriter::new(&mut bytes, CALL, "ping", sequence).finish();
    bytes
}

/// Encodes a call of `invoke` with an unknown field, as a gateway might.
fn invoke_call() -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = FrameWriter::new(&mut bytes, CALL, "invoke", 7);
    writer.map_of_strings(
        1,
        &[reply_field("service", "save"), reply_field("room", "24.5")],
    );
    writer.field(STRUCT, 9);
    writer.field(I32, 1);
    writer.u32(5);
    writer.out.push(STOP);
    writer.field(STRING, 2);
    writer.binary(b"\0\xff\r\n");
    writer.finish();
    bytes
}

#[test]
fn decodes_call_only_once_frame_is_complete() {
    let bytes = invoke_call();
    for cut in 0..bytes.len() {
        assert_eq!(split_frame(&bytes[..cut]), Ok(None), "{cut}");
    }
    let Frame {
        content,
        encoded_len,
    } = split_frame(&bytes).unwrap().unwrap();
    assert_eq!(encoded_len, bytes.len());
    let field = |key, value| RequestField { key, value };
    let fields = vec![field("service", "save"), field("room", "24.5")];
    assert_eq!(
        decode(content),
        Ok(Message::Invoke {
            sequence: 7,
            fields,
            body: b"\0\xff\r\n"
        })
    );
}

#[test]
fn corrupt_bytes_never_panic_and_mostly_fail_to_decode() {
    let bytes = invoke_call();
    let (mut decoded, mut failed) = (0, 0);
    for at in 4..bytes.len() {
        for flip in [0x01, 0x7f, 0x80, 0xff] {
            let mut corrupt = bytes.clone();
            corrupt[at] ^= flip;
            match decode(&corrupt[4..]) {
                Ok(_) => decoded += 1,
                Err(_) => failed += 1,
            }
        }
        assert!(decode(&bytes[4..at]).is_err(), "cut at {at}");
    }
    assert!(decoded > 0 && failed > decoded, "{decoded} {failed}");
    assert_eq!(split_frame(&[0, 1, 0, 0]), Err(DecodeError::Corrupt));
    assert_eq!(split_frame(&[0xff; 8]), Err(DecodeError::Corrupt));
    assert_eq!(split_frame(&[0; 8]), Err(DecodeError::Corrupt));
}

#[test]
fn invalid_message_error_has_sequence_number() {
    let mut bytes = Vec::new();
    FrameWriter::new(&mut bytes, CALL, "novelty", 3).finish();
    assert_eq!(decode(&bytes[4..]), invalid(3, "unknown method"));
    bytes.clear();
    FrameWriter::new(&mut bytes, CALL, "invoke", 4).finish();
    assert_eq!(decode(&bytes[4..]), invalid(4, "malformed arguments"));
    bytes.clear();
    FrameWriter::new(&mut bytes, REPLY, "invoke", 5).finish();
    assert_eq!(decode(&bytes[4..]), invalid(5, "not a call"));
}

#[test]
fn rejects_nesting_beyond_limit() {
    let mut bytes = Vec::new();
    let mut writer = FrameWriter::new(&mut bytes, CALL, "ping", 1);
    for _ in 0..200 {
        writer.field(STRUCT, 1);
    }
    writer.finish();
    assert_eq!(decode(&bytes[4..]), invalid(1, "malformed arguments"));
}

#[test]
fn encoded_replies_are_whole_frames() {
    let mut out = Vec::new();
    Answer {
        method: "ping",
        sequence: 2,
        body: b"",
        fields: &[reply_field("pressure", "0.5")],
        success: true,
    }
    .encode(&mut out);
    let expected = b"\x80\x01\x00\x02\x00\x00\x00\x04ping\x00\x00\x00\x02\x0c\x00\x00\x0b\x00\x01\x00\x00\x00\x00\
            \x0d\x00\x02\x0b\x0b\x00\x00\x00\x01\x00\x00\x00\x08pressure\x00\x00\x00\x030.5\x02\x00\x03\x01\x00\x00";
    assert_eq!(
        split_frame(&out),
        Ok(Some(Frame {
            content: &expected[..],
            encoded_len: out.len()
        }))
    );
    let first = out.len();
    encode_overloaded(&mut out, 3, &[]);
    encode_application_exception(&mut out, 4, "no");
    encode_closing(&mut out);
    let frame_at = |start| split_frame(&out[start..]).unwrap().unwrap();
    let second = first + frame_at(first).encoded_len;
    let third = second + frame_at(second).encoded_len;
    let last = frame_at(third);
    assert_eq!(third + last.encoded_len, out.len());
    assert_eq!(
        last.content,
        b"\x80\x01\x00\x04\x00\x00\x00\x07closing\x00\x00\x00\x00\x00"
    );
}
