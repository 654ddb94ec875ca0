//! Connections that close while input is unread.
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, TcpListener};
use std::time::{Instant, SystemTime};

use async_executor::LocalExecutor;
use async_io::block_on;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use nanorand::{Rng, WyRand};

use super::*;
use crate::base::memory_budget::MemoryBudgets;
use crate::callers::thrift::tests::{encode_invoke, encode_ping, reply_field};
use crate::runs::request_handler::tests::fixture::{LONG_WINDOW, Server, limits};

/// Time limit of each read of a test.
const LIMIT: Duration = Duration::from_secs(10);
const HISTORIES: u64 = 150;
/// Messages of a history; few enough that a closing connection reads all of them.
const HISTORY_MESSAGES: i32 = 24;

/// A message that a gateway has received, with its sequence number.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Received {
    Answer(i32),
    Rejected(i32),
    Exception(i32),
    Closing,
}

impl Received {
    /// Decodes the whole messages at the start of `bytes`.
    fn decode_all(bytes: &[u8]) -> Vec<Received> {
        let (mut received, mut rest) = (Vec::new(), bytes);
        while let Some(frame) = thrift::split_frame(rest).unwrap() {
            received.push(Received::decode(frame.content));
            rest = &rest[frame.encoded_len..];
        }
        received
    }

    fn decode(content: &[u8]) -> Received {
        let u32_at = |at: usize| u32::from_be_bytes(content[at..at + 4].try_into().unwrap());
        let name_end = 8 + u32_at(4) as usize;
        let sequence = u32_at(name_end) as i32;
        // The first field of a reply's result tells an answer from a declared exception.
        match (content[3], content.get(name_end + 6)) {
            (4, None) => Received::Closing,
            (3, _) => Received::Exception(sequence),
            (2, Some(0)) => Received::Answer(sequence),
            (2, Some(1)) => Received::Rejected(sequence),
            other => panic!("{other:?}"),
        }
    }
}

/// A connection between a gateway and the server.
struct Fixture {
    gateway: TcpStream,
    stream: Async<TcpStream>,
    connection: Rc<Connection>,
    executor: Rc<LocalExecutor<'static>>,
    dispatcher: RequestDispatcher,
    server: Server,
}

impl Fixture {
    fn new() -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        gateway.set_read_timeout(Some(LIMIT)).unwrap();
        // What is written has arrived when the server reads next.
        gateway.set_nodelay(true).unwrap();
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let server = Server::new(limits(), LONG_WINDOW);
        let executor = Rc::new(LocalExecutor::new());
        let budgets = MemoryBudgets::new(&limits());
        let replies = budgets.replies.clone();
        let dispatcher = RequestDispatcher::new(
            executor.clone(),
            server.scheduler.clone(),
            server.handler.clone(),
            budgets,
        );
        let peer = IpAddr::from([127, 0, 0, 1]);
        Fixture {
            gateway,
            stream,
            connection: Rc::new(Connection::new(Rc::new(GatewayProtocol), peer, &replies)),
            executor,
            dispatcher,
            server,
        }
    }

    /// Writes as a gateway that sends nothing more.
    fn write_all(&mut self, frames: &[Vec<u8>]) {
        self.gateway.write_all(&frames.concat()).unwrap();
    }

    /// Serves the connection to its end, while `script` runs; returns what the gateway has received.
    fn serve(&mut self, script: impl Future<Output = ()>) -> Vec<Received> {
        let protocol = Rc::new(GatewayProtocol);
        let read = async {
            let _ = protocol
                .read_connection(&self.dispatcher, &self.stream, &self.connection)
                .await;
        };
        let served = self.connection.serve(&self.stream, read);
        let script = async {
            script.await;
            std::future::pending().await
        };
        block_on(self.executor.run(served.or(script)));
        // Fails if the gateway has closed the connection, too.
        let _ = self.stream.get_ref().shutdown(Shutdown::Both);
        self.receive_all()
    }

    fn receive_all(&mut self) -> Vec<Received> {
        let mut bytes = Vec::new();
        self.gateway.set_nonblocking(false).unwrap();
        self.gateway.read_to_end(&mut bytes).unwrap();
        Received::decode_all(&bytes)
    }
}

/// Waits until `gateway` has received `count` messages, without reading them.
async fn wait_until_received(gateway: TcpStream, count: usize) {
    let gateway = Async::new(gateway).unwrap();
    let mut bytes = [0; 4 * 1024];
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < LIMIT, "{count} messages never came");
        let available = gateway.peek(&mut bytes).await.unwrap();
        if Received::decode_all(&bytes[..available]).len() >= count {
            return;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
}

fn invoke(sequence: i32, body: &[u8]) -> Vec<u8> {
    let id = format!("{:016x}", 0x51a3_77e0_0000_0000_u64 + sequence as u64);
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis();
    let fields = [
        reply_field("service", "pay"),
        reply_field("ref", &id),
        reply_field("since", &now.to_string()),
        reply_field("room", "1"),
    ];
    encode_invoke(sequence, &fields, body)
}

/// Guards against requests that were written before the caller could know of the close, and are never answered.
#[test]
fn all_requests_unread_when_connection_closes_are_answered() {
    let mut fixture = Fixture::new();
    // Several times what one read returns.
    let frames: Vec<_> = (1..=32)
        .map(|sequence| invoke(sequence, &[b'x'; MAX_BODY_BYTES]))
        .collect();
    fixture.write_all(&frames);
    fixture.connection.begin_close();
    let expected: Vec<_> = (1..=32).map(Received::Rejected).collect();
    assert_eq!(fixture.serve(async {}), expected);
    assert_eq!(fixture.server.runs(), 0);
}

/// Guards against a client that sends without pause and so keeps a closing connection open.
#[test]
fn closing_connection_reads_limited_number_of_messages() {
    let mut fixture = Fixture::new();
    let frames: Vec<_> = (1..=2_000).map(encode_ping).collect();
    fixture.write_all(&frames);
    fixture.connection.begin_close();
    let received = fixture.serve(async {});
    assert_eq!(received.len(), MAX_MESSAGES_WHILE_CLOSING, "{received:?}");
}

/// Guards against half a message that keeps a closing connection open.
#[test]
fn closing_connection_does_not_wait_for_rest_of_message() {
    let mut fixture = Fixture::new();
    let message = invoke(2, b"");
    fixture.write_all(&[encode_ping(1), message[..20].to_vec()]);
    fixture.connection.begin_close();
    assert_eq!(fixture.serve(async {}), [Received::Answer(1)]);
}

/// Guards against valid requests that are never answered because an invalid message came before them.
#[test]
fn requests_behind_violation_are_answered_while_another_is_open() {
    let too_many: Vec<_> = (2..2 + MAX_INVALID_MESSAGES as i32)
        .map(|sequence| encode_invoke(sequence, &[], b""))
        .collect();
    let exceptions = (2..2 + MAX_INVALID_MESSAGES as i32).map(Received::Exception);
    for (violation, replies) in [
        (vec![encode_ping(1)], vec![]),
        (vec![b"\0\0\0\x04abcd".to_vec()], vec![]),
        (too_many, exceptions.collect()),
    ] {
        let mut fixture = Fixture::new();
        let behind = [invoke(20, b""), encode_ping(21)];
        fixture.write_all(&[&[encode_ping(1)], &violation[..], &behind].concat());
        let connection = fixture.connection.clone();
        connection.record_request_start();
        let gateway = fixture.gateway.try_clone().unwrap();
        let count = 4 + replies.len();
        let received = fixture.serve(async {
            wait_until_received(gateway, count).await;
            connection.record_request_end();
        });
        let expected = [Received::Answer(1)].into_iter().chain(replies).chain([
            Received::Closing,
            Received::Rejected(20),
            Received::Answer(21),
        ]);
        assert_eq!(received, expected.collect::<Vec<_>>());
        assert_eq!(fixture.server.runs(), 0);
    }
}

/// A message of a random history.
struct HistoryMessage {
    sequence: i32,
    /// Whether the server owes it an answer.
    valid: bool,
    /// Position of its end in the gateway's output.
    end: usize,
}

/// A gateway that writes valid and invalid messages in pieces of random size, while requests begin and end and the
/// connection is closed at a random step.
struct History {
    rng: WyRand,
    messages: Vec<HistoryMessage>,
    output: Vec<u8>,
    written: usize,
    /// Bytes that were written before the server ended the connection.
    written_in_time: usize,
}

impl History {
    fn new(seed: u64) -> History {
        let mut history = History {
            rng: WyRand::new_seed(seed),
            messages: Vec::new(),
            output: Vec::new(),
            written: 0,
            written_in_time: 0,
        };
        for sequence in 1..=HISTORY_MESSAGES {
            history.add_message(sequence);
        }
        history
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.generate_range(0..count)
    }

    fn add_message(&mut self, sequence: i32) {
        let kind = self.pick(12);
        let frame = match kind {
            0 => b"\0\0\0\x04abcd".to_vec(),
            1 => encode_invoke(sequence, &[], b""),
            2 => encode_ping(0),
            3..=5 => encode_ping(sequence),
            _ => {
                let length = self.pick(MAX_BODY_BYTES + 1);
                invoke(sequence, &vec![b'x'; length])
            }
        };
        self.output.extend(frame);
        self.messages.push(HistoryMessage {
            sequence,
            valid: kind >= 3,
            end: self.output.len(),
        });
    }

    /// Writes the next piece, mostly a short one.
    fn write(&mut self, mut gateway: &TcpStream, connection: &Connection) {
        let longest = [40, 400, 8_000][self.pick(3)];
        let left = self.output.len() - self.written;
        let end = self.written + (1 + self.pick(longest)).min(left);
        gateway.write_all(&self.output[self.written..end]).unwrap();
        self.written = end;
        if !connection.is_lingering() {
            self.written_in_time = end;
        }
    }

    async fn play(&mut self, gateway: &TcpStream, connection: &Connection) {
        let steps = 1 + self.pick(60);
        let mut open = 0;
        for _ in 0..steps {
            match self.pick(8) {
                0 if open < 2 && !connection.is_closing() => {
                    connection.record_request_start();
                    open += 1;
                }
                1 if open > 0 => {
                    connection.record_request_end();
                    open -= 1;
                }
                2 => drop(Timer::after(Duration::from_micros(50)).await),
                _ => self.write(gateway, connection),
            }
            for _ in 0..self.pick(4) {
                yield_now().await;
            }
        }
        connection.announce_close();
        while open > 0 || self.pick(3) > 0 {
            if open > 0 && self.pick(2) == 0 {
                connection.record_request_end();
                open -= 1;
            }
            self.write(gateway, connection);
            yield_now().await;
        }
    }

    /// Checks that each valid message has one answer if it was written in time, and one at most otherwise.
    fn check(&self, seed: u64, received: &[Received]) {
        for message in self.messages.iter().filter(|message| message.valid) {
            let of_message = |received: &&Received| {
                matches!(**received, Received::Answer(sequence) | Received::Rejected(sequence)
                    | Received::Exception(sequence) if sequence == message.sequence)
            };
            let answers = received.iter().filter(of_message).count();
            let owed = usize::from(message.end <= self.written_in_time);
            assert_eq!(answers, owed, "seed {seed}, message {}", message.sequence);
        }
    }
}

/// Guards against any order of messages, replies and a close in which a request is not answered though it was written before
/// the connection ended.
#[test]
fn requests_written_before_the_end_are_answered_in_random_histories() {
    for seed in 0..HISTORIES {
        let mut fixture = Fixture::new();
        let mut history = History::new(seed);
        let gateway = fixture.gateway.try_clone().unwrap();
        let connection = fixture.connection.clone();
        let received = fixture.serve(async {
            history.play(&gateway, &connection).await;
            while !connection.is_lingering() {
                yield_now().await;
            }
            gateway.shutdown(Shutdown::Write).unwrap();
        });
        history.check(seed, &received);
    }
}
