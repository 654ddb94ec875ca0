//! Stand-ins for both ends of SCGI, written from its public specification and sharing no code with the server:
//! a caller and an application.
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::LIMIT;

/// Site file with SCGI callers only.
pub const FRONT: &str = r#"{"scgi": {"listen": ["127.0.0.1:0"], "trusted": ["127.0.0.1/32"],
  "routes": [{"verb": "POST", "path": "/read/*", "method": "read"}, {"verb": "POST", "path": "/book", "method": "book"},
    {"verb": "POST", "path": "/pay", "method": "pay"}, {"verb": "POST", "path": "/lock", "method": "lock"}]}}"#;

/// `FRONT` with these applications; `more` are further keys of the `applications` section.
pub fn site(applications: &[SocketAddr], more: &str) -> String {
    let addresses: Vec<String> = applications
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    let section = format!(
        ", \"applications\": {{\"addresses\": [{}]{more}}}}}",
        addresses.join(",")
    );
    FRONT.trim_end().strip_suffix('}').unwrap().to_owned() + &section
}

/// Encodes a request.
pub fn request(verb: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "CONTENT_LENGTH\0{}\0SCGI\x001\0REQUEST_METHOD\0{verb}\0REQUEST_URI\0{path}\0",
        body.len()
    );
    headers
        .iter()
        .for_each(|(name, value)| head += &format!("{name}\0{value}\0"));
    [format!("{}:{head},", head.len()).as_bytes(), body].concat()
}

#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

pub struct Caller {
    pub stream: TcpStream,
}

impl Caller {
    pub fn new(stream: TcpStream) -> Caller {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.set_write_timeout(Some(LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Caller { stream }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads the whole answer, up to the end of the connection; `None` if there is none.
    pub fn answer(mut self) -> Option<Answer> {
        let mut bytes = Vec::new();
        match self.stream.read_to_end(&mut bytes) {
            Err(why) if why.kind() != ErrorKind::ConnectionReset => panic!("{why}"),
            _ if bytes.is_empty() => return None,
            _ => {}
        }
        let end = bytes
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .expect("an empty line");
        let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
        let mut fields: HashMap<String, String> = HashMap::new();
        for line in head.split("\r\n") {
            let (name, value) = line.split_once(": ").unwrap();
            assert!(
                fields.insert(name.to_owned(), value.to_owned()).is_none(),
                "header {name} occurs twice"
            );
        }
        let body = bytes[end + 4..].to_vec();
        assert_eq!(fields["Content-Length"], body.len().to_string());
        Some(Answer {
            status: fields["Status"][..3].parse().unwrap(),
            fields,
            body,
        })
    }

    pub fn status(self) -> u16 {
        self.answer().expect("an answer").status
    }
}

/// What an application does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AppBehavior {
    /// Answers with `ran ` and the body of the request.
    Echo,
    /// Answers with these bytes and closes the connection.
    Reply(&'static str),
    /// Reads this number of bytes and resets the connection.
    Reset(usize),
    /// Reads the request and sends nothing until the caller closes.
    Hang,
    /// Answers with these bytes, which are no whole answer, and keeps the connection open.
    BeginReply(&'static str),
    /// Like `Echo`, this number of milliseconds later.
    EchoAfterMs(u64),
    /// Like `Reply`, 300 ms later, so that many answers come at once.
    ReplyLate(&'static str),
}

/// An application on loopback, whose behavior can be changed at any time.
pub struct Application {
    pub address: SocketAddr,
    behavior: Arc<Mutex<AppBehavior>>,
    /// Bodies of all requests received in full, in order.
    pub received: Arc<Mutex<Vec<Vec<u8>>>>,
    pub connections: Arc<AtomicUsize>,
    pub open: Arc<AtomicUsize>,
}

impl Application {
    pub fn start(behavior: AppBehavior) -> Application {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new(Mutex::new(behavior));
        let (received, connections, open) = (
            Arc::default(),
            Arc::new(AtomicUsize::new(0)),
            Arc::new(AtomicUsize::new(0)),
        );
        let application = Application {
            address,
            behavior: behavior.clone(),
            received: Arc::clone(&received),
            connections: connections.clone(),
            open: open.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (behavior, received, open) = (behavior.clone(), received.clone(), open.clone());
                std::thread::spawn(move || {
                    open.fetch_add(1, Ordering::SeqCst);
                    let _ = serve(stream, &behavior, &received);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        application
    }

    /// Returns a new address at which nobody listens. It lies in a part of loopback that no stand-in uses:
    /// guards against a port that another test has bound since it was found free.
    pub fn unused_address() -> SocketAddr {
        static NEXT: AtomicUsize = AtomicUsize::new(1);
        let number = NEXT.fetch_add(1, Ordering::SeqCst) as u8;
        SocketAddr::from(([127, 254, 0, number], 1))
    }

    pub fn set_behavior(&self, behavior: AppBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    pub fn run_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

fn serve(
    mut stream: TcpStream,
    behavior: &Mutex<AppBehavior>,
    received: &Mutex<Vec<Vec<u8>>>,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(LIMIT * 6))?;
    if let AppBehavior::Reset(count) = *behavior.lock().unwrap() {
        stream.read_exact(&mut vec![0; count])?;
        // Closing with unread bytes resets the connection.
        std::thread::sleep(Duration::from_millis(20));
        return Ok(());
    }
    let mut bytes = Vec::new();
    let body = loop {
        let mut more = [0; 4096];
        match stream.read(&mut more)? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&more[..count]),
        }
        if let Some(body) = body(&bytes) {
            break body;
        }
    };
    received.lock().unwrap().push(body.clone());
    let behavior = *behavior.lock().unwrap();
    if let AppBehavior::EchoAfterMs(delay_ms) = behavior {
        std::thread::sleep(Duration::from_millis(delay_ms));
    }
    if let AppBehavior::ReplyLate(_) = behavior {
        std::thread::sleep(Duration::from_millis(300));
    }
    match behavior {
        AppBehavior::Echo | AppBehavior::EchoAfterMs(_) => {
            let head = format!(
                "Status: 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\nran ",
                body.len() + 4
            );
            stream.write_all(&[head.as_bytes(), &body].concat())
        }
        AppBehavior::Reply(text) | AppBehavior::ReplyLate(text) => {
            stream.write_all(text.as_bytes())
        }
        AppBehavior::BeginReply(text) => {
            stream.write_all(text.as_bytes())?;
            stream.read(&mut [0]).map(|_| ())
        }
        // Waits until the other end closes.
        _ => stream.read(&mut [0]).map(|_| ()),
    }
}

/// Returns the body of a request once it is complete.
fn body(bytes: &[u8]) -> Option<Vec<u8>> {
    let colon = bytes.iter().position(|byte| *byte == b':')?;
    let length: usize = std::str::from_utf8(&bytes[..colon])
        .unwrap()
        .parse()
        .unwrap();
    let head = bytes.get(colon + 1..colon + 1 + length)?;
    let mut words = head.split(|byte| *byte == 0);
    assert_eq!(words.next(), Some(&b"CONTENT_LENGTH"[..]));
    let body: usize = std::str::from_utf8(words.next()?).unwrap().parse().unwrap();
    let start = colon + 2 + length;
    bytes.get(start..start + body).map(<[u8]>::to_vec)
}
