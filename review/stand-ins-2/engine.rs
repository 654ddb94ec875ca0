//! The engine: runs what it is told to run, each run for the time that the case names.
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use crate::world::World;

/// Returns how long the run of a request with this body takes.
pub type Work = fn(&str, trouble: bool) -> Duration;

pub struct Engine {
    pub address: SocketAddr,
    work: Work,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// All notices, the first under number 1.
    notices: Vec<Vec<u8>>,
    /// Bodies of the requests that run or have run, by id.
    started: HashMap<String, String>,
}

impl Engine {
    pub fn start(world: &'static World, work: Work) -> &'static Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let engine: &'static Engine = Box::leak(Box::new(Engine {
            address,
            work,
            state: Mutex::default(),
        }));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || engine.serve(world, stream));
            }
        });
        engine
    }

    fn serve(&'static self, world: &'static World, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|count| count > 0) {
                return;
            }
            let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            match words.as_slice() {
                ["ATTACH", number] => {
                    let mut state = self.state.lock().unwrap();
                    let read: usize = number.parse().unwrap_or(0);
                    let _ = writer.write_all(b"HELLO old 3600000\r\n");
                    for notice in &state.notices[read.min(state.notices.len())..] {
                        let _ = writer.write_all(notice);
                    }
                    state.link = writer.try_clone().ok();
                }
                ["STAT", tag] => {
                    let _guard = self.state.lock().unwrap();
                    let _ = writer.write_all(format!("STATS {tag} 0.3 1 0.1 4\r\n").as_bytes());
                }
                ["RUN", id, class, length] => {
                    let Some(body) = read_body(&mut reader, length) else {
                        return;
                    };
                    self.run(world, id, class, &body);
                }
                ["HALT", _] => {}
                _ => return,
            }
        }
    }

    fn run(&'static self, world: &'static World, id: &str, class: &str, body: &str) {
        let known = self
            .state
            .lock()
            .unwrap()
            .started
            .insert(id.to_owned(), body.to_owned());
        if known.is_some() {
            return;
        }
        let work = (self.work)(body, world.trouble);
        world.note(format!(
            "engine: run of {id} ({class}, {body}), {} ms",
            work.as_millis()
        ));
        let id = id.to_owned();
        std::thread::spawn(move || {
            std::thread::sleep(work);
            let result = format!("result for {id}");
            let mut state = self.state.lock().unwrap();
            let number = state.notices.len() + 1;
            let notice = format!(
                "DONE {number} {id} good {} {}\r\n{result}\r\n",
                work.as_millis(),
                result.len()
            );
            state.notices.push(notice.into_bytes());
            let State { link, notices, .. } = &mut *state;
            if let Some(link) = link {
                let _ = link.write_all(&notices[number - 1]);
            }
        });
    }
}

fn read_body(reader: &mut impl Read, length: &str) -> Option<String> {
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    reader.read_exact(&mut body).ok()?;
    body.truncate(body.len() - 2);
    String::from_utf8(body).ok()
}
