//! A gateway's connection to a server.
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::thrift::{self, Answer, Message};
use crate::world::{unix_ms, Request, World};

type Pending = Arc<Mutex<HashMap<i32, (String, Sender<(Instant, Answer)>)>>>;

pub struct Connection {
    stream: TcpStream,
    sequence: i32,
    pending: Pending,
    pub closed: Arc<AtomicBool>,
    pub closing: Arc<AtomicBool>,
    pings: Receiver<bool>,
}

/// What a request states beside its class, id and time of arrival.
#[derive(Clone, Debug, Default)]
pub struct Extra {
    pub key: Option<String>,
    pub again: bool,
}

pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub answer: Receiver<(Instant, Answer)>,
}

impl Connection {
    pub fn open(world: &Arc<World>, server: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&server, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let pending: Pending = Arc::default();
        let (closed, closing) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (ping, pings) = channel();
        let mut reading = stream.try_clone()?;
        let (open, ended, asked, world) = (pending.clone(), closed.clone(), closing.clone(), world.clone());
        std::thread::spawn(move || {
            while let Some(message) = read_message(&mut reading) {
                match message {
                    Message::Answer { sequence, answer } => {
                        let at = Instant::now();
                        if let Some((id, sender)) = open.lock().unwrap().remove(&sequence) {
                            world.answered(&id);
                            let _ = sender.send((at, answer));
                        }
                    }
                    Message::Ping { good } => drop(ping.send(good)),
                    Message::Closing => asked.store(true, Ordering::SeqCst),
                }
            }
            ended.store(true, Ordering::SeqCst);
            open.lock().unwrap().clear();
        });
        Ok(Connection {
            stream,
            sequence: 0,
            pending,
            closed,
            closing,
            pings,
        })
    }

    pub fn ping(&mut self) -> Option<bool> {
        self.sequence += 1;
        self.stream.write_all(&thrift::ping(self.sequence)).ok()?;
        self.pings.recv_timeout(Duration::from_secs(2)).ok()
    }

    /// Sends a request that comes to the machine now, and tells the world (the engines) of it unless it is `unknown`.
    pub fn send(
        &mut self,
        world: &World,
        class: &str,
        tenant: &str,
        body: &[u8],
        extra: &Extra,
        unknown: bool,
    ) -> std::io::Result<Sent> {
        let (id, bytes, answer) = self.prepare(world, class, tenant, body, extra, unknown);
        self.stream.write_all(&bytes)?;
        Ok(Sent {
            id,
            at: Instant::now(),
            answer,
        })
    }

    /// Sends a request as a client that writes slowly: half of it, and the rest `over` later. Its time counts from its last byte.
    pub fn send_slowly(
        &mut self,
        world: &World,
        class: &str,
        tenant: &str,
        body: &[u8],
        extra: &Extra,
        over: Duration,
    ) -> std::io::Result<Sent> {
        let (id, bytes, answer) = self.prepare(world, class, tenant, body, extra, false);
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        self.stream.write_all(first)?;
        std::thread::sleep(over);
        self.stream.write_all(rest)?;
        Ok(Sent {
            id,
            at: Instant::now(),
            answer,
        })
    }

    fn prepare(
        &mut self,
        world: &World,
        class: &str,
        tenant: &str,
        body: &[u8],
        extra: &Extra,
        unknown: bool,
    ) -> (String, Vec<u8>, Receiver<(Instant, Answer)>) {
        let id = world.new_id();
        if !unknown {
            world.came(
                &id,
                Request {
                    class: class.to_owned(),
                    body: body.to_vec(),
                    key: extra.key.clone(),
                    over: false,
                },
            );
        }
        let mut fields = vec![
            ("service", class.to_owned()),
            ("ref", id.clone()),
            ("since", unix_ms().to_string()),
            ("sender", "4".to_owned()),
            ("project", tenant.to_owned()),
            ("room", "24.5".to_owned()),
            ("class_rank", "0.6250".to_owned()),
        ];
        if extra.again {
            fields.push(("dup", "1".to_owned()));
        }
        if let Some(key) = &extra.key {
            fields.push(("replay", key.clone()));
        }
        self.sequence += 1;
        let (sender, answer) = channel();
        self.pending.lock().unwrap().insert(self.sequence, (id.clone(), sender));
        let bytes = thrift::invoke(self.sequence, &fields, body);
        (id, bytes, answer)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut content = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut content).ok()?;
    thrift::decode(&content)
}
