//! Encodes replies as CGI responses.
use std::fmt::Display;

use coralstep_scgi::response;

use crate::callers::reply_writer::ReplyWriter;
use crate::decisions::ServerStatus;
use crate::runs::reply::Reply;

/// Header with the server's degradation level.
const LEVEL_HEADER: &str = "X-Coralstep-Level";
/// Header with the server's load report.
const LOAD_HEADER: &str = "X-Coralstep-Value";
/// Header with the exact time after which to retry, in ms.
const RETRY_AFTER_MS_HEADER: &str = "X-Coralstep-Retry-After-Ms";
/// Header that tells the caller not to retry on another server.
const NO_OTHER_SERVER_HEADER: &str = "X-Coralstep-Nowhere";

/// A header's name and value, in the form expected by [`response::encode`].
pub(super) type Header<'a> = (&'a str, &'a dyn Display);

/// Returns the content type of error bodies.
pub(super) fn plain_text() -> Header<'static> {
    ("Content-Type", &"text/plain")
}

/// Appends a response with `headers` and the headers that report `server_status`.
pub(super) fn encode(
    out: &mut Vec<u8>,
    server_status: &ServerStatus,
    http_status: u16,
    headers: &[Header<'_>],
    body: &[u8],
) {
    let mut headers = headers.to_vec();
    if let Some(load) = &server_status.value {
        headers.push((LOAD_HEADER, load));
    }
    if let Some(level) = &server_status.level {
        headers.push((LEVEL_HEADER, level));
    }
    response::encode(out, http_status, &headers, body);
}

fn encode_rejected(
    out: &mut Vec<u8>,
    server_status: &ServerStatus,
    retry_after_ms: u64,
    is_final: bool,
) {
    let retry_after_s = retry_after_ms.div_ceil(1000);
    let mut headers: Vec<Header<'_>> = Vec::new();
    if retry_after_ms > 0 {
        headers.push(("Retry-After", &retry_after_s));
        headers.push((RETRY_AFTER_MS_HEADER, &retry_after_ms));
    }
    if is_final {
        headers.push((NO_OTHER_SERVER_HEADER, &1));
    }
    encode(out, server_status, 503, &headers, b"");
}

/// Writes the reply to a connection's only request.
#[derive(Debug)]
pub(in crate::callers) struct ScgiReplyWriter;

impl ReplyWriter for ScgiReplyWriter {
    fn write_reply(&self, out: &mut Vec<u8>, reply: &Reply<'_>, status: &ServerStatus) {
        match *reply {
            Reply::Ok(body) => {
                let content_type: Header<'_> = ("Content-Type", &"application/octet-stream");
                encode(out, status, 200, &[content_type], body);
            }
            Reply::Failed => encode(out, status, 500, &[], b""),
            Reply::Rejected {
                retry_after_ms,
                is_final,
            } => encode_rejected(out, status, retry_after_ms, is_final),
        }
    }

    fn write_internal_error(&self, out: &mut Vec<u8>) {
        encode(out, &ServerStatus::default(), 500, &[], b"");
    }

    fn closes_connection(&self) -> bool {
        true
    }
}
