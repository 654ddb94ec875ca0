//! Compares encoded messages and decoding errors with golden files. `GOLDEN_WRITE=1` rewrites the files.
use std::fmt::Display;
use std::path::Path;

use coralstep_scgi::{DecodeError, Limits, request, response};

const LIMITS: Limits = Limits {
    max_head_bytes: 400,
    max_headers: 4,
    max_body_bytes: 20,
};

fn compare(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        return std::fs::write(path, text).unwrap();
    }
    let golden = std::fs::read_to_string(path).unwrap();
    assert_eq!(
        text.lines().collect::<Vec<_>>(),
        golden.lines().collect::<Vec<_>>(),
        "{name}"
    );
}

fn describe(error: DecodeError) -> String {
    match error {
        DecodeError::Malformed(reason) => format!("malformed, {reason}"),
        DecodeError::TooLarge(reason) => format!("too large, {reason}"),
    }
}

/// Guards against a changed encoding of requests: order of headers, lengths and terminators.
#[test]
fn encoded_requests_match_golden_file() {
    let binary: Vec<u8> = (0..=255).collect();
    let cases: [(&[request::Header<'_>], &[u8]); 4] = [
        (&[], b""),
        (
            &[("REQUEST_METHOD", b"POST"), ("PATH_INFO", b"/save")],
            b"\0body\r\n",
        ),
        (&[("HTTP_IDEMPOTENCY_KEY", b"\xff 1"), ("EMPTY", b"")], b"x"),
        (&[], &binary),
    ];
    let mut text = String::new();
    for (headers, body) in cases {
        let mut bytes = Vec::new();
        request::encode(&mut bytes, headers, body).unwrap();
        text += &format!("{}\n", bytes.escape_ascii());
        let (decoded, used) = request::decode(&bytes, &Limits::default())
            .unwrap()
            .unwrap();
        assert_eq!(
            (&decoded.headers[2..], decoded.body, used),
            (headers, body, bytes.len())
        );
    }
    compare("requests.txt", &text);
}

/// Guards against a changed encoding of responses, for each status with a reason phrase and one without.
#[test]
fn encoded_responses_match_golden_file() {
    let mut text = String::new();
    for status in [200, 400, 404, 405, 408, 413, 500, 503, 599] {
        let fields: [(&str, &dyn Display); 2] =
            [("Content-Type", &"text/plain"), ("Retry-After", &7)];
        for (fields, body) in [(&fields[..], &b"a\r\n\xff"[..]), (&[], b"")] {
            let mut bytes = Vec::new();
            response::encode(&mut bytes, status, fields, body);
            text += &format!("{}\n", bytes.escape_ascii());
            assert_eq!(
                response::decode(&bytes, false, &Limits::default()),
                Ok(Some((status, body)))
            );
        }
    }
    compare("answers.txt", &text);
}

/// Guards against changed error texts, which are sent to SCGI callers.
#[test]
fn decode_errors_match_golden_file() {
    let head = |headers: &str| format!("{}:{headers},", headers.len());
    let mut text = String::new();
    for bytes in [
        "x".to_owned(),
        "01:".to_owned(),
        "401:".to_owned(),
        "99999999".to_owned(),
        "1:ab".to_owned(),
        head("A"),
        head("A\0"),
        head("\0b\0"),
        head("A\0b\0A\0c\0"),
        head("A\0b\0B\0b\0C\0b\0D\0b\0E\0b\0"),
        head("A\0b\0"),
        head("CONTENT_LENGTH\0-1\0"),
        head("CONTENT_LENGTH\x000\0"),
        head("CONTENT_LENGTH\x0021\0SCGI\x001\0"),
    ] {
        let error = describe(request::decode(bytes.as_bytes(), &LIMITS).unwrap_err());
        text += &format!("request {}: {error}\n", bytes.escape_default());
    }
    for bytes in [
        "\r\n",
        "Status 200\r\n\r\n",
        "Status: 99\r\n\r\n",
        "Status: 200\r\nStatus: 200\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "Content-Length: 21\r\n\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
        "Status: 200\r\nContent-Length: 1\r\n\r\nab",
        "Status: 200\r\nContent-Length: 3\r\n\r\nab",
        "Status: 200\r\n\r\nabcdefghijklmnopqrstuvwxyz",
        "A: b\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\n",
        ": x\r\n\r\n",
        "",
        &"A".repeat(401),
    ] {
        let error = describe(response::decode(bytes.as_bytes(), true, &LIMITS).unwrap_err());
        text += &format!("answer {}: {error}\n", bytes.escape_default());
    }
    compare("faults.txt", &text);
}
