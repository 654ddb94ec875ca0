//! A fake SCGI application: reads a request, sleeps for the work given by the world, answers. Written from the public description of
//! SCGI; it shares no code with the server.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::world::World;

pub struct Application {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    /// If set, requests are read but never answered.
    pub hangs: Arc<AtomicBool>,
}

impl Drop for Application {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

/// Called with the RPC's body when a run starts.
pub type RunStarted = dyn Fn(&[u8]) + Send + Sync;

impl Application {
    pub fn start(
        world: &World,
        seed: u64,
        run_started: Arc<RunStarted>,
    ) -> std::io::Result<Application> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (stop, hangs) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let (world, ends, hung) = (Arc::new(world.clone()), stop.clone(), hangs.clone());
        let in_flight = Arc::new(AtomicU64::new(0));
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let (world, run_started, hung) = (world.clone(), run_started.clone(), hung.clone());
                let in_flight = in_flight.clone();
                std::thread::spawn(move || {
                    in_flight.fetch_add(1, Ordering::SeqCst);
                    let _ = serve(
                        stream,
                        &world,
                        seed + number as u64,
                        &*run_started,
                        &hung,
                        &in_flight,
                    );
                    in_flight.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Application {
            address,
            stop,
            hangs,
        })
    }
}

fn serve(
    mut stream: TcpStream,
    world: &World,
    seed: u64,
    run_started: &RunStarted,
    hangs: &AtomicBool,
    in_flight: &AtomicU64,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut bytes = Vec::new();
    let (path, body) = loop {
        let mut more = [0; 4096];
        match stream.read(&mut more)? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&more[..count]),
        }
        if let Some(request) = parse_request(&bytes) {
            break request;
        }
    };
    run_started(&body);
    if hangs.load(Ordering::SeqCst) {
        return stream.read(&mut [0]).map(|_| ());
    }
    let method = world
        .methods
        .iter()
        .find(|method| path == format!("/{}", method.name));
    let mut chance = SmallRng::seed_from_u64(seed);
    let cores = world
        .applications
        .as_ref()
        .map_or(1.0, |of| f64::from(of.cores));
    let crowd = (in_flight.load(Ordering::SeqCst) as f64 / cores).max(1.0);
    let ms = method.map_or(0.0, |method| method.work_ms.draw(&mut chance)) * crowd;
    std::thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    let head = format!(
        "Status: 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\ndid ",
        body.len() + 4
    );
    stream.write_all(&[head.as_bytes(), &body].concat())
}

/// Parses a complete request into its path and body.
fn parse_request(bytes: &[u8]) -> Option<(String, Vec<u8>)> {
    let colon = bytes.iter().position(|byte| *byte == b':')?;
    let length: usize = std::str::from_utf8(&bytes[..colon]).ok()?.parse().ok()?;
    let head = bytes.get(colon + 1..(colon + 1).checked_add(length)?)?;
    let words: Vec<&[u8]> = head.split(|byte| *byte == 0).collect();
    let field = |name: &str| {
        let at = words
            .iter()
            .step_by(2)
            .position(|word| *word == name.as_bytes())?;
        std::str::from_utf8(words.get(2 * at + 1)?).ok()
    };
    let body: usize = field("CONTENT_LENGTH")?.parse().ok()?;
    let start = colon + 2 + length;
    let path = field("REQUEST_URI").or(field("PATH_INFO"))?.to_owned();
    Some((path, bytes.get(start..start.checked_add(body)?)?.to_vec()))
}
