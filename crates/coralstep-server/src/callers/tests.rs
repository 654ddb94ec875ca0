//! Compares the encoding of every reply with golden files. `GOLDEN_WRITE=1` rewrites the files.
use std::path::Path;

use crate::callers::gateway::GatewayReplyWriter;
use crate::callers::reply_writer::ReplyWriter;
use crate::callers::scgi::ScgiReplyWriter;
use crate::callers::thrift::{self, Answer, ReplyField};
use crate::decisions::ServerStatus;
use crate::runs::reply::Reply;

const REPLIES: [(&str, Reply<'static>); 7] = [
    ("ok", Reply::Ok(b"\0\r\n\xff")),
    ("ok, empty", Reply::Ok(b"")),
    ("aborted", Reply::Failed),
    (
        "rejected",
        Reply::Rejected {
            retry_after_ms: 0,
            is_final: false,
        },
    ),
    (
        "rejected, come back",
        Reply::Rejected {
            retry_after_ms: 1001,
            is_final: false,
        },
    ),
    (
        "rejected, nowhere else",
        Reply::Rejected {
            retry_after_ms: 0,
            is_final: true,
        },
    ),
    (
        "rejected, come back, nowhere else",
        Reply::Rejected {
            retry_after_ms: 250,
            is_final: true,
        },
    ),
];

/// Returns statuses with neither load nor level, with one of them, and with both.
fn server_statuses() -> [ServerStatus; 4] {
    [
        (None, None),
        (Some(0.625), None),
        (None, Some("lean")),
        (Some(1.0), Some("lean")),
    ]
    .map(|(value, level)| ServerStatus {
        value,
        level: level.map(str::to_owned),
    })
}

/// Returns a line with the bytes that `write` appends, and checks that it keeps the bytes before them.
fn format_case(case: &str, write: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = b"before".to_vec();
    write(&mut out);
    let written = out
        .strip_prefix(b"before")
        .expect("existing bytes are kept");
    format!("{case}: \"{}\"\n", written.escape_ascii())
}

fn format_replies(writer: &impl ReplyWriter) -> String {
    let mut text = format_case("failed", |out| writer.write_internal_error(out));
    for status in server_statuses() {
        for (case, reply) in &REPLIES {
            let known = (status.value, status.level.as_deref().unwrap_or("no level"));
            text += &format_case(&format!("{case} {known:?}"), |out| {
                writer.write_reply(out, reply, &status)
            });
        }
    }
    text
}

fn assert_matches_golden(name: &str, text: &str) {
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

/// Guards against a changed field, field order or type in any reply to a gateway.
#[test]
fn gateway_replies_match_golden_file() {
    let mut text = format_replies(&GatewayReplyWriter {
        sequence: 0x0102_0304,
    }) + &format_replies(&GatewayReplyWriter { sequence: -1 });
    text += &format_case("closing", thrift::encode_closing);
    text += &format_case("exception", |out| {
        thrift::encode_application_exception(out, 7, "unknown service")
    });
    let fields = [ReplyField {
        key: "pressure",
        value: "0.5".to_owned(),
    }];
    let ping = |fields, success| Answer {
        method: "ping",
        sequence: 2,
        body: b"",
        fields,
        success,
    };
    text += &format_case("good ping", |out| ping(&fields, true).encode(out));
    text += &format_case("bad ping", |out| ping(&[], false).encode(out));
    assert_matches_golden("thrift_answers.txt", &text);
}

/// Guards against a changed header, header order or value in any reply to an SCGI caller.
#[test]
fn scgi_replies_match_golden_file() {
    assert_matches_golden("scgi_replies.txt", &format_replies(&ScgiReplyWriter));
}
