//! Encoding and decoding of complete, truncated and corrupt messages.
use coralstep_scgi::{DecodeError, Limits, request, response};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    max_head_bytes: 400,
    max_headers: 12,
    max_body_bytes: 200,
};

fn sample() -> Vec<u8> {
    let mut bytes = Vec::new();
    let headers: [(&str, &[u8]); 3] = [
        ("REQUEST_METHOD", b"POST"),
        ("PATH_INFO", b"/save"),
        ("HTTP_IDEMPOTENCY_KEY", b"\xff 1"),
    ];
    request::encode(&mut bytes, &headers, b"\0body\r\n").unwrap();
    bytes
}

/// Returns a netstring of raw headers, followed by a body.
fn raw(headers: &str, body: &str) -> Vec<u8> {
    format!("{}:{headers},{body}", headers.len()).into_bytes()
}

/// Guards against a receive buffer that is too small for a request, or grows again while the request arrives.
#[test]
fn stated_length_is_that_of_the_whole_request_once_known() {
    let bytes = sample();
    let stated: Vec<Option<usize>> = (0..=bytes.len())
        .map(|cut| request::stated_len(&bytes[..cut], &LIMITS))
        .collect();
    let known = stated.iter().position(Option::is_some).unwrap();
    assert!(known < 48, "{known}");
    assert!(
        stated[known..]
            .iter()
            .all(|length| *length == Some(bytes.len()))
    );
}

/// Guards against a request with an invalid first header that is never read to the end of its headers, and so never answered.
#[test]
fn stated_length_of_invalid_request_is_that_of_its_headers() {
    for headers in [
        "SCGI\x001\0CONTENT_LENGTH\x005\0",
        "CONTENT_LENGTH\x00none\0SCGI\x001\0",
        "CONTENT_LENGTH\x00201\0SCGI\x001\0",
        &"x".repeat(100),
    ] {
        let bytes = raw(headers, "");
        let stated = request::stated_len(&bytes, &LIMITS);
        assert_eq!(stated, Some(bytes.len()), "{headers:?}");
        assert!(request::encoded_len(&bytes, &LIMITS).is_err());
    }
    let too_long = format!("{}:", LIMITS.max_head_bytes + 1).into_bytes();
    assert_eq!(request::stated_len(&too_long, &LIMITS), None);
    assert!(request::encoded_len(&too_long, &LIMITS).is_err());
}

#[test]
fn decodes_request_only_when_complete() {
    let bytes = sample();
    for cut in 0..bytes.len() {
        assert_eq!(request::decode(&bytes[..cut], &LIMITS), Ok(None), "{cut}");
    }
    let (request, used) = request::decode(&bytes, &LIMITS).unwrap().unwrap();
    assert_eq!((request.body, used), (&b"\0body\r\n"[..], bytes.len()));
    // The size is known as soon as the headers are complete.
    assert_eq!(
        request::encoded_len(&bytes[..bytes.len() - 8], &LIMITS),
        Ok(None)
    );
    assert_eq!(
        request::encoded_len(&bytes[..bytes.len() - 7], &LIMITS),
        Ok(Some(bytes.len()))
    );
    assert_eq!(request.text("REQUEST_METHOD"), Some("POST"));
    assert_eq!(
        (
            request.get("HTTP_IDEMPOTENCY_KEY"),
            request.text("HTTP_IDEMPOTENCY_KEY")
        ),
        (Some(&b"\xff 1"[..]), None)
    );
    assert_eq!(
        request.headers[..2],
        [("CONTENT_LENGTH", &b"7"[..]), ("SCGI", b"1")]
    );
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn rejects_malformed_requests() {
    let malformed = |bytes: Vec<u8>, reason| {
        assert_eq!(
            request::decode(&bytes, &LIMITS),
            Err(DecodeError::Malformed(reason))
        );
    };
    let large = |bytes: Vec<u8>, reason| {
        assert_eq!(
            request::decode(&bytes, &LIMITS),
            Err(DecodeError::TooLarge(reason))
        );
    };
    malformed(b"GET / HTTP".to_vec(), "no netstring");
    malformed(b"-5:".to_vec(), "no length of the headers");
    malformed(b"05:".to_vec(), "no length of the headers");
    malformed(b":".to_vec(), "no length of the headers");
    large(b"1048576".to_vec(), "headers too long");
    large(b"401:".to_vec(), "headers too long");
    malformed(b"4:abcdX".to_vec(), "no comma behind the headers");
    malformed(raw("", ""), "CONTENT_LENGTH is not the first header");
    malformed(
        raw("SCGI\x001\0CONTENT_LENGTH\x000\0", ""),
        "CONTENT_LENGTH is not the first header",
    );
    malformed(raw("CONTENT_LENGTH\x000\0", ""), "SCGI is not 1");
    malformed(raw("CONTENT_LENGTH\x000\0SCGI\x002\0", ""), "SCGI is not 1");
    for length in ["-1", "", "+1", "1x", "99999999999999999999"] {
        malformed(
            raw(&format!("CONTENT_LENGTH\0{length}\0SCGI\x001\0"), ""),
            "CONTENT_LENGTH is no length",
        );
    }
    large(
        raw("CONTENT_LENGTH\x00201\0SCGI\x001\0", ""),
        "body too long",
    );
    malformed(
        raw("CONTENT_LENGTH\x000\0SCGI\x001\0CONTENT_LENGTH\x005\0", ""),
        "a header twice",
    );
    malformed(
        raw("CONTENT_LENGTH\x000\0SCGI\x001\0A\0", ""),
        "a header without a value",
    );
    malformed(
        raw("CONTENT_LENGTH\x000\0SCGI\x001\0\0x\0", ""),
        "a header without a proper name",
    );
    malformed(
        raw("CONTENT_LENGTH\x000\0SCGI\x001\0A b\0x\0", ""),
        "a header without a proper name",
    );
    malformed(
        raw("CONTENT_LENGTH\x000\0SCGI\x001\0A\0x", ""),
        "a header without a value",
    );
    let many: String = (0..11).map(|at| format!("H{at}\0\0")).collect();
    large(
        raw(&format!("CONTENT_LENGTH\x000\0SCGI\x001\0{many}"), ""),
        "too many headers",
    );
}

#[test]
fn encode_rejects_invalid_and_duplicate_headers() {
    for headers in [
        &[("A", &b"x\0y"[..])][..],
        &[("", b"x")],
        &[("A b", b"x")],
        &[("SCGI", b"1")],
        &[("CONTENT_LENGTH", b"0")],
        &[("A", b"1"), ("A", b"1")],
    ] {
        let mut out = b"before".to_vec();
        assert!(
            request::encode(&mut out, headers, b"").is_err(),
            "{headers:?}"
        );
        assert_eq!(out, b"before");
    }
}

#[test]
fn decodes_response_only_when_complete() {
    let mut bytes = Vec::new();
    response::encode(
        &mut bytes,
        503,
        &[("Retry-After", &1), ("X-Value", &"0.5")],
        b"later\r\n",
    );
    assert!(bytes.starts_with(
        b"Status: 503 Service Unavailable\r\nRetry-After: 1\r\nX-Value: 0.5\r\nContent-Length: 7\r\n\r\n"
    ));
    for cut in 0..bytes.len() {
        assert_eq!(
            response::decode(&bytes[..cut], false, &LIMITS),
            Ok(None),
            "{cut}"
        );
        assert_eq!(
            response::decode(&bytes[..cut], true, &LIMITS),
            Err(DecodeError::Malformed("cut short")),
            "{cut}"
        );
    }
    assert_eq!(
        response::decode(&bytes, false, &LIMITS),
        Ok(Some((503, &b"later\r\n"[..])))
    );
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn decodes_all_valid_forms_of_responses_and_rejects_others() {
    let decode = |text: &str, ended| {
        response::decode(text.as_bytes(), ended, &LIMITS)
            .map(|decoded| decoded.map(|(status, body)| (status, body.len())))
    };
    // Without a length the body ends with the connection. Lines end with LF or CR LF.
    assert_eq!(decode("Status: 200\n\nab", false), Ok(None));
    assert_eq!(decode("Status: 200\n\nab", true), Ok(Some((200, 2))));
    assert_eq!(
        decode("content-type: text/plain\r\n\r\n", true),
        Ok(Some((200, 0)))
    );
    assert_eq!(
        decode("STATUS:404 gone\r\ncontent-length: 1\r\n\r\nx", false),
        Ok(Some((404, 1)))
    );
    for (text, reason) in [
        ("\r\n", "neither a status nor a type"),
        ("X: y\r\n\r\n", "neither a status nor a type"),
        ("HTTP/1.1 200 OK\r\n\r\n", "a field without a colon"),
        ("Status: abc\r\n\r\n", "a status that is none"),
        ("Status: 2000\r\n\r\n", "a status that is none"),
        ("Status: 99 x\r\n\r\n", "a status that is none"),
        ("Status: 200\r\nStatus: 500\r\n\r\n", "a status twice"),
        (
            "Status: 200\r\nContent-Length: -1\r\n\r\n",
            "a length that is none",
        ),
        (
            "Status: 200\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
            "a length twice",
        ),
        (
            "Status: 200\r\nContent-Length: 1\r\n\r\nab",
            "longer than its length",
        ),
        (": x\r\n\r\n", "a field without a proper name"),
    ] {
        assert_eq!(
            decode(text, true),
            Err(DecodeError::Malformed(reason)),
            "{text:?}"
        );
    }
    assert_eq!(
        decode(&"A".repeat(401), false),
        Err(DecodeError::TooLarge("headers without end"))
    );
    assert_eq!(
        decode(&"A: b\r\n".repeat(14), false),
        Err(DecodeError::TooLarge("too many headers"))
    );
    assert_eq!(
        decode("Status: 200\r\nContent-Length: 201\r\n\r\n", false),
        Err(DecodeError::TooLarge("body too long"))
    );
    assert_eq!(
        decode(&format!("Status: 200\r\n\r\n{}", "x".repeat(201)), false),
        Err(DecodeError::TooLarge("body too long"))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn encoded_requests_decode_to_the_same_request(
        names in prop::collection::btree_set("[A-Z_]{1,8}", 0..6),
        value in prop::collection::vec(1u8.., 0..20),
        body in prop::collection::vec(any::<u8>(), 0..200),
        cut in any::<prop::sample::Index>(),
    ) {
        let headers: Vec<(&str, &[u8])> = names.iter().filter(|name| *name != "SCGI").map(|name| (name.as_str(), &value[..])).collect();
        let mut bytes = Vec::new();
        request::encode(&mut bytes, &headers, &body).unwrap();
        prop_assert_eq!(request::decode(&bytes[..cut.index(bytes.len())], &LIMITS), Ok(None));
        // Bytes after the request are ignored.
        bytes.extend_from_slice(b"more");
        let (request, used) = request::decode(&bytes, &LIMITS).unwrap().unwrap();
        prop_assert_eq!((request.body, used), (&body[..], bytes.len() - 4));
        prop_assert_eq!(&request.headers[2..], &headers[..]);
    }

    #[test]
    fn corrupt_requests_neither_panic_nor_exceed_the_limits(
        position in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = sample();
        let index = position.index(bytes.len());
        bytes[index] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);
        if let Ok(Some((request, used))) = request::decode(&bytes, &LIMITS) {
            prop_assert!(used <= bytes.len() && request.body.len() <= LIMITS.max_body_bytes);
            prop_assert_eq!(request.headers[0].0, "CONTENT_LENGTH");
        }
    }

    #[test]
    fn decoding_any_ended_bytes_gives_a_response_or_an_error(bytes in prop::collection::vec(prop::sample::select(b"Status: 20Content-Lgh\r\n\0".to_vec()), 0..120)) {
        prop_assert!(!matches!(response::decode(&bytes, true, &LIMITS), Ok(None)));
        if let Ok(Some((status, _))) = response::decode(&bytes, false, &LIMITS) {
            prop_assert!((100..600).contains(&status));
        }
    }
}
