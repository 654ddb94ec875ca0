//! Records the bytes on the wire as text and compares them with files under `tests/golden`.
use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use super::LIMIT;

/// Messages in both directions, one per line.
#[derive(Clone, Default)]
pub struct Transcript(Rc<RefCell<String>>);

impl Transcript {
    pub fn add(&self, way: &str, bytes: &[u8]) {
        *self.0.borrow_mut() += &format!("{way}: \"{}\"\n", mask(bytes).escape_ascii());
    }

    /// Compares with the golden file `name`; writes the file if `GOLDEN_WRITE` is set.
    pub fn compare(&self, name: &str) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name);
        if std::env::var_os("GOLDEN_WRITE").is_some() {
            return std::fs::write(path, &*self.0.borrow()).unwrap();
        }
        let golden = std::fs::read_to_string(&path).unwrap();
        let transcript = self.0.borrow();
        for (number, (line, expected)) in transcript.lines().zip(golden.lines()).enumerate() {
            assert_eq!(line, expected, "{name}, line {}", number + 1);
        }
        assert_eq!(transcript.lines().count(), golden.lines().count(), "{name}");
    }
}

/// Masks only what differs between two runs: the load report in replies, the arrival time of an RPC and the
/// timeout sent to the store. Each must be a number.
pub fn mask(bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    if let Some(start) = position(&bytes, b"pressure\0\0\0") {
        // The lengths of the value and of the frame change with the value.
        let length = start + b"pressure\0\0\0".len();
        let value = length + 1..length + 1 + bytes[length] as usize;
        assert!(
            std::str::from_utf8(&bytes[value.clone()])
                .unwrap()
                .parse::<f64>()
                .is_ok()
        );
        bytes[length] = 1;
        bytes.splice(value, *b"#");
        let frame = bytes.len() as u32 - 4;
        bytes[..4].copy_from_slice(&frame.to_be_bytes());
    }
    mask_number(&mut bytes, b"since\0\0\0\x0d");
    mask_number(&mut bytes, b"X-Coralstep-Value: ");
    if bytes.starts_with(b"CALL ") {
        let id = bytes[..b"CALL 0123456789abcdef ".len()].to_vec();
        mask_number(&mut bytes, &id);
    }
    bytes
}

fn mask_number(bytes: &mut Vec<u8>, before: &[u8]) {
    let Some(start) = position(bytes, before).map(|start| start + before.len()) else {
        return;
    };
    let figure = bytes[start..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit() || **byte == b'.')
        .count();
    assert!(figure > 0, "no number: {}", bytes.escape_ascii());
    bytes.splice(start..start + figure, *b"#");
}

fn position(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Accepts the next connection.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            stream.set_read_timeout(Some(LIMIT)).unwrap();
            return stream;
        }
        assert!(start.elapsed() < LIMIT, "no connection was made");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

/// Reads one whole frame of a Thrift connection, with its length.
pub fn frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    stream.read_exact(&mut bytes).unwrap();
    let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
    bytes.resize(4 + length, 0);
    stream.read_exact(&mut bytes[4..]).unwrap();
    bytes
}

/// Query for the gauges of an engine.
const GAUGES: &[u8] = b"STAT gauges\r\n";

/// The remote end of a line-based link, recorded byte by byte.
pub struct Link {
    stream: BufReader<TcpStream>,
    peer: &'static str,
    gauges: &'static str,
    transcript: Transcript,
}

impl Link {
    pub fn accept(listener: &TcpListener, peer: &'static str, transcript: &Transcript) -> Link {
        let stream = BufReader::new(accept(listener));
        Link {
            stream,
            peer,
            gauges: "0.5 1 0.1 3",
            transcript: transcript.clone(),
        }
    }

    /// Attaches an engine that has been up for an hour and reports `gauges`.
    pub fn engine(listener: &TcpListener, gauges: &'static str, transcript: &Transcript) -> Link {
        let mut link = Link {
            gauges,
            ..Link::accept(listener, "engine", transcript)
        };
        link.next();
        link.send("HELLO old 3600000\r\n");
        assert_eq!(link.next(), "STAT attached\r\n");
        link.send(&format!("STATS attached {gauges}\r\n"));
        // The gauge query proves that the engine is attached: the server sends later commands at once.
        let question = link.line();
        transcript.add("server -> engine", &question);
        assert_eq!(question, GAUGES);
        link.send(&format!("STATS gauges {gauges}\r\n"));
        link
    }

    pub fn send(&mut self, text: &str) {
        self.transcript
            .add(&format!("{} -> server", self.peer), text.as_bytes());
        self.stream.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn line(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.stream.read_until(b'\n', &mut bytes).unwrap();
        bytes
    }

    /// Returns the next message. Gauge queries arrive at any time: they are answered and not recorded.
    pub fn next(&mut self) -> String {
        let way = format!("server -> {}", self.peer);
        loop {
            let mut bytes = self.line();
            let line = String::from_utf8(bytes.clone()).unwrap();
            if bytes == GAUGES {
                write!(self.stream.get_mut(), "STATS gauges {}\r\n", self.gauges).unwrap();
                continue;
            }
            if ["RUN ", "FEED ", "CALL "]
                .iter()
                .any(|word| line.starts_with(word))
            {
                let length: usize = line.trim_end().rsplit_once(' ').unwrap().1.parse().unwrap();
                let head = bytes.len();
                bytes.resize(head + length + 2, 0);
                self.stream.read_exact(&mut bytes[head..]).unwrap();
            }
            self.transcript.add(&way, &bytes);
            return String::from_utf8_lossy(&bytes).into_owned();
        }
    }
}
