//! SCGI callers, and an SCGI application that runs what it is sent.
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::world::World;

/// Encodes a request.
pub fn request(headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = Vec::new();
    let length = body.len().to_string();
    for (name, value) in [("CONTENT_LENGTH", length.as_str()), ("SCGI", "1")]
        .iter()
        .chain(headers)
    {
        head.extend(name.as_bytes());
        head.push(0);
        head.extend(value.as_bytes());
        head.push(0);
    }
    let mut out = format!("{}:", head.len()).into_bytes();
    out.extend(head);
    out.push(b',');
    out.extend(body);
    out
}

/// The status and the body of an answer; `None` where the connection ends without one.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Sends a request on a connection of its own and waits for its answer.
pub fn call(
    server: SocketAddr,
    verb: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&server, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    let mut all = vec![("REQUEST_METHOD", verb), ("PATH_INFO", path)];
    all.extend(headers);
    stream.write_all(&request(&all, body))?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    Ok(parse_answer(&bytes))
}

fn parse_answer(bytes: &[u8]) -> Answer {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.lines().find_map(|line| line.strip_prefix("Status: "))?;
    let status = status.split(' ').next()?.parse().ok()?;
    Some((status, bytes[end + 4..].to_vec()))
}

/// What an application was asked to run.
#[derive(Clone, Debug)]
pub struct Asked {
    pub path: String,
    pub body: String,
}

pub struct Application {
    pub address: SocketAddr,
    pub asked: Arc<Mutex<Vec<Asked>>>,
}

impl Application {
    /// Starts an application whose runs take `work`.
    pub fn start(world: &Arc<World>, name: &str, work: Duration) -> Application {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
        let (log, world, name) = (asked.clone(), world.clone(), name.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, world, name) = (log.clone(), world.clone(), name.clone());
                std::thread::spawn(move || {
                    let Some((headers, body)) = read_request(&stream) else {
                        return;
                    };
                    let path = headers.get("PATH_INFO").cloned().unwrap_or_default();
                    let body = String::from_utf8_lossy(&body).into_owned();
                    world.note(&format!("{name} runs {path} for \"{body}\""));
                    log.lock().unwrap().push(Asked {
                        path: path.clone(),
                        body: body.clone(),
                    });
                    std::thread::sleep(work);
                    let result = format!("{path} did \"{body}\"");
                    let answer = format!("Status: 200 OK\r\nContent-Length: {}\r\n\r\n{result}", result.len());
                    let _ = (&stream).write_all(answer.as_bytes());
                });
            }
        });
        Application { address, asked }
    }
}

fn read_request(mut stream: &TcpStream) -> Option<(HashMap<String, String>, Vec<u8>)> {
    let mut length = 0;
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        match byte[0] {
            b':' => break,
            digit if digit.is_ascii_digit() => length = length * 10 + usize::from(digit - b'0'),
            _ => return None,
        }
    }
    let mut head = vec![0; length + 1];
    stream.read_exact(&mut head).ok()?;
    let mut parts = head[..length]
        .split(|byte| *byte == 0)
        .map(|part| String::from_utf8_lossy(part).into_owned());
    let mut headers = HashMap::new();
    while let (Some(name), Some(value)) = (parts.next(), parts.next()) {
        headers.insert(name, value);
    }
    let mut body = vec![0; headers.get("CONTENT_LENGTH")?.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some((headers, body))
}
