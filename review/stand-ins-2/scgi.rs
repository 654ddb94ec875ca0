//! SCGI from its public specification: callers, and an application that runs what it is sent.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use crate::world::World;

/// Encodes a request.
pub fn request(path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "CONTENT_LENGTH\0{}\0SCGI\x001\0REQUEST_METHOD\0POST\0PATH_INFO\0{path}\0",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}\0{value}\0");
    }
    [format!("{}:{head},", head.len()).as_bytes(), body].concat()
}

/// Sends a request on a new connection.
pub fn send(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.write_all(&request(path, headers, body))?;
    Ok(stream)
}

/// An answer: its status and its body.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Reads the answer up to the end of the connection. `None` if none came within `patience`.
pub fn read_answer(stream: &mut TcpStream, patience: Duration) -> Option<Answer> {
    let _ = stream.set_read_timeout(Some(patience));
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.strip_prefix("Status: ")?.get(..3)?.parse().ok()?;
    Some(Answer {
        status,
        body: body.to_owned(),
    })
}

/// One run at the application.
#[derive(Clone, Debug)]
pub struct Run {
    pub key: String,
    pub id: String,
    pub body: String,
}

/// How long an application works on the run of a number, the first being 1; `None`: its answer never comes, and the
/// connection stays open.
pub type Work = fn(&World, usize) -> Option<Duration>;

/// An application that runs each request that it reads whole, and answers when it has worked on it.
pub struct Application {
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
}

impl Application {
    pub fn start(world: &'static World, work: Work) -> &'static Application {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let application: &'static Application = Box::leak(Box::new(Application {
            address: listener.local_addr().expect("its address"),
            runs: Mutex::new(Vec::new()),
        }));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || application.serve(world, stream, work));
            }
        });
        application
    }

    fn serve(&self, world: &World, mut stream: TcpStream, work: Work) {
        let _ = stream.set_nodelay(true);
        let Some((headers, body)) = read_request(&mut stream) else {
            return;
        };
        let header = |name: &str| {
            let found = headers.iter().find(|(known, _)| known == name);
            found.map_or(String::new(), |(_, value)| value.clone())
        };
        let run = Run {
            key: header("HTTP_IDEMPOTENCY_KEY"),
            id: header("CORALSTEP_ID"),
            body,
        };
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run.clone());
            runs.len()
        };
        world.note(format!(
            "application: run {number}, key {:?}, id {}, body of {} bytes",
            run.key,
            run.id,
            run.body.len()
        ));
        let Some(time) = work(world, number) else {
            world.note(format!(
                "application: the answer of run {number} never comes"
            ));
            std::thread::sleep(Duration::from_secs(600));
            return;
        };
        std::thread::sleep(time);
        let result = format!("result of run {number}");
        let answer = format!(
            "Status: 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{result}",
            result.len()
        );
        let written = stream.write_all(answer.as_bytes());
        world.note(format!(
            "application: run {number} ended, answer {}",
            if written.is_ok() {
                "written"
            } else {
                "not written"
            }
        ));
    }

    /// Returns the runs whose body is `body`.
    pub fn runs_of(&self, body: &str) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.body == body)
            .cloned()
            .collect()
    }
}

fn read_request(stream: &mut TcpStream) -> Option<(Vec<(String, String)>, String)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(colon) = bytes.iter().position(|byte| *byte == b':') {
            let length: usize = std::str::from_utf8(&bytes[..colon]).ok()?.parse().ok()?;
            let start = colon + 1;
            if bytes.len() > start + length {
                let head = String::from_utf8_lossy(&bytes[start..start + length]).into_owned();
                let words: Vec<&str> = head.split('\0').collect();
                let pairs = words
                    .chunks_exact(2)
                    .map(|pair| (pair[0].to_owned(), pair[1].to_owned()));
                let headers: Vec<(String, String)> = pairs.collect();
                let body_length: usize = headers.first()?.1.parse().ok()?;
                let body_start = start + length + 1;
                if bytes.len() >= body_start + body_length {
                    let body = &bytes[body_start..body_start + body_length];
                    return Some((headers, String::from_utf8_lossy(body).into_owned()));
                }
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}
