//! One RPC over SCGI, on a connection of its own.
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use coralstep_scgi::{Limits, request, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::{Ask, Said, reference};

/// The longest answer that is read.
const ANSWER: usize = 64 * 1024;

/// What an answer with these bytes, the whole of it, says.
pub fn said(bytes: &[u8]) -> Said {
    let limits = Limits {
        max_body_bytes: ANSWER,
        ..Limits::default()
    };
    let Ok(Some((status, body))) = response::decode(bytes, true, &limits) else {
        return Said::Broken;
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
        200..=299 => Said::Ok(body.to_vec()),
        503 => {
            let after = field("X-Coralstep-Retry-After-Ms")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(0);
            let nowhere = field("X-Coralstep-Nowhere") == Some("1");
            Said::PushedBack {
                after: Duration::from_millis(after),
                nowhere,
            }
        }
        500..=599 => Said::Aborted,
        _ => Said::Refused,
    }
}

/// The bytes of a request.
pub fn bytes(ask: &Ask) -> Option<Vec<u8>> {
    let path = format!("/{}", ask.method);
    let (number, room) = (reference(ask.reference), format!("{:.3}", ask.room_kb));
    let token = ask.token.map(reference);
    let since = ask.since_ms.to_string();
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
    if ask.retry {
        headers.push(("HTTP_X_RETRY", b"1"));
    }
    if !ask.tenant.is_empty() {
        headers.push(("HTTP_X_TENANT", ask.tenant.as_bytes()));
    }
    let mut out = Vec::new();
    request::encode(&mut out, &headers, &ask.body)
        .ok()
        .map(|()| out)
}

pub async fn ask(address: SocketAddr, ask: &Ask) -> Said {
    let Some(bytes) = bytes(ask) else {
        return Said::Refused;
    };
    let talk = async {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        (&stream).write_all(&bytes).await?;
        let mut answer = Vec::new();
        (&stream)
            .take(ANSWER as u64)
            .read_to_end(&mut answer)
            .await?;
        std::io::Result::Ok(answer)
    };
    talk.await.map_or(Said::Broken, |answer| said(&answer))
}

#[cfg(test)]
mod tests;
