//! The bytes of every reply that a protocol can write, compared with golden files. `GOLDEN_WRITE=1` writes them anew.
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

/// Nothing known; a value; a level; both.
fn abouts() -> [ServerStatus; 4] {
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

/// One line for what `write` puts behind bytes that are already there.
fn line(case: &str, write: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = b"before".to_vec();
    write(&mut out);
    let written = out.strip_prefix(b"before").expect("what was there stays");
    format!("{case}: \"{}\"\n", written.escape_ascii())
}

fn answers(writer: &impl ReplyWriter) -> String {
    let mut text = line("failed", |out| writer.write_internal_error(out));
    for about in abouts() {
        for (case, reply) in &REPLIES {
            let known = (about.value, about.level.as_deref().unwrap_or("no level"));
            text += &line(&format!("{case} {known:?}"), |out| {
                writer.write_reply(out, reply, &about)
            });
        }
    }
    text
}

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

/// Guards against a changed field, its order or its type in any answer to a gateway.
#[test]
fn answers_to_gateways_keep_their_bytes() {
    let mut text = answers(&GatewayReplyWriter {
        sequence: 0x0102_0304,
    }) + &answers(&GatewayReplyWriter { sequence: -1 });
    text += &line("closing", thrift::encode_closing);
    text += &line("exception", |out| {
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
    text += &line("good ping", |out| ping(&fields, true).encode(out));
    text += &line("bad ping", |out| ping(&[], false).encode(out));
    compare("thrift_answers.txt", &text);
}

/// Guards against a changed header, its order or its figure in any answer to a caller of SCGI.
#[test]
fn answers_to_callers_of_scgi_keep_their_bytes() {
    compare("scgi_replies.txt", &answers(&ScgiReplyWriter));
}
