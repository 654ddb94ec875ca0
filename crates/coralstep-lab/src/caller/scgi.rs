//! RPCs over SCGI, each on a new connection.
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use coralstep_scgi::{Limits, request, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::{OutgoingRpc, RpcOutcome, format_id};

/// Maximum length of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Decodes a complete answer.
pub fn decode_answer(bytes: &[u8]) -> RpcOutcome {
    let limits = Limits {
        max_body_bytes: MAX_ANSWER_BYTES,
        ..Limits::default()
    };
    let Ok(Some((status, body))) = response::decode(bytes, true, &limits) else {
        return RpcOutcome::Broken;
    };
    let field = |name: &str| {
        let head = bytes
            .split(|byte| *byte == b'\n')
            .take_while(|line| line.len() > 1);
        let mut values =
            head.filter_map(|line| std::str::from_utf8(line).ok()?.trim_end().split_once(": "));
        values
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    };
    match status {
        200..=299 => RpcOutcome::Ok(body.to_vec()),
        503 => {
            let after = field("X-Coralstep-Retry-After-Ms")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(0);
            let nowhere = field("X-Coralstep-Nowhere") == Some("1");
            RpcOutcome::PushedBack {
                after: Duration::from_millis(after),
                nowhere,
            }
        }
        500..=599 => RpcOutcome::Aborted,
        _ => RpcOutcome::Refused,
    }
}

/// Encodes a request, or returns `None` if that fails.
pub fn encode_request(rpc: &OutgoingRpc) -> Option<Vec<u8>> {
    let path = format!("/{}", rpc.method);
    let (number, room) = (format_id(rpc.reference), format!("{:.3}", rpc.room_kb));
    let token = rpc.token.map(format_id);
    let since = rpc.since_ms.to_string();
    let mut headers = vec![
        ("REQUEST_METHOD", "POST".as_bytes()),
        ("REQUEST_URI", path.as_bytes()),
        ("HTTP_X_REQUEST_ID", number.as_bytes()),
        ("HTTP_X_ARRIVED_MS", since.as_bytes()),
        ("HTTP_X_ROOM_KB", room.as_bytes()),
    ];
    if let Some(token) = &token {
        headers.push(("HTTP_IDEMPOTENCY_KEY", token.as_bytes()));
    }
    if rpc.retry {
        headers.push(("HTTP_X_RETRY", b"1"));
    }
    if !rpc.tenant.is_empty() {
        headers.push(("HTTP_X_TENANT", rpc.tenant.as_bytes()));
    }
    let mut out = Vec::new();
    request::encode(&mut out, &headers, &rpc.body)
        .ok()
        .map(|()| out)
}

/// Sends an RPC and waits for its outcome.
pub async fn send(address: SocketAddr, rpc: &OutgoingRpc) -> RpcOutcome {
    let Some(bytes) = encode_request(rpc) else {
        return RpcOutcome::Refused;
    };
    let exchange = async {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        (&stream).write_all(&bytes).await?;
        let mut answer = Vec::new();
        (&stream)
            .take(MAX_ANSWER_BYTES as u64)
            .read_to_end(&mut answer)
            .await?;
        std::io::Result::Ok(answer)
    };
    exchange
        .await
        .map_or(RpcOutcome::Broken, |answer| decode_answer(&answer))
}

#[cfg(test)]
mod tests;
