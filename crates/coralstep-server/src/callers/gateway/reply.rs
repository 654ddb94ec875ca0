//! Encodes replies to gateways.
use crate::callers::reply_writer::ReplyWriter;
use crate::callers::thrift::{self, Answer, ReplyField};
use crate::decisions::ServerStatus;
use crate::runs::reply::Reply;

/// Returns the fields that report the server's load and degradation level in every reply.
pub(super) fn status_fields(status: &ServerStatus) -> Vec<ReplyField> {
    let load = status.value.map(|value| ReplyField {
        key: "pressure",
        value: value.to_string(),
    });
    let level = status.level.clone().map(|level| ReplyField {
        key: "level",
        value: level,
    });
    load.into_iter().chain(level).collect()
}

/// Writes the reply to the request with the given sequence number.
#[derive(Debug)]
pub(in crate::callers) struct GatewayReplyWriter {
    pub(in crate::callers) sequence: i32,
}

impl GatewayReplyWriter {
    fn write_rejection(
        &self,
        out: &mut Vec<u8>,
        mut fields: Vec<ReplyField>,
        retry_after_ms: u64,
        is_final: bool,
    ) {
        if retry_after_ms > 0 {
            fields.push(ReplyField {
                key: "cooldown",
                value: retry_after_ms.to_string(),
            });
        }
        if is_final {
            fields.push(ReplyField {
                key: "nowhere",
                value: "1".to_owned(),
            });
        }
        thrift::encode_overloaded(out, self.sequence, &fields);
    }
}

impl ReplyWriter for GatewayReplyWriter {
    fn write_reply(&self, out: &mut Vec<u8>, reply: &Reply<'_>, status: &ServerStatus) {
        let fields = status_fields(status);
        match *reply {
            Reply::Ok(body) => Answer {
                method: "invoke",
                sequence: self.sequence,
                body,
                fields: &fields,
                success: true,
            }
            .encode(out),
            Reply::Failed => thrift::encode_internal_error(out, self.sequence, &fields),
            Reply::Rejected {
                retry_after_ms,
                is_final,
            } => self.write_rejection(out, fields, retry_after_ms, is_final),
        }
    }

    fn write_internal_error(&self, out: &mut Vec<u8>) {
        thrift::encode_application_exception(out, self.sequence, "internal error");
    }

    fn closes_connection(&self) -> bool {
        false
    }
}
