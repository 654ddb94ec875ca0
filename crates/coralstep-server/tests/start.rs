//! Server start: when a server is ready, and which peers it does not wait for.
mod stand_ins;

use std::io::{BufRead, BufReader};
use std::net::UdpSocket;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use stand_ins::{LIMIT, SETTINGS, TestServer};

/// A server process that is killed when dropped.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts `count` servers at once, without engine and control plane, and returns the sorted seconds until each
/// was ready, that is, answered a health check.
fn start_servers(count: usize) -> Vec<f64> {
    let folder =
        std::env::temp_dir().join(format!("coralstep-start-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let files: Vec<_> = (0..count)
        .map(|at| {
            let file = folder.join(format!("{at}.json"));
            let config = format!(
                r#"{{"name":"n{at}","listen":"127.0.0.1:0","engine":"127.0.0.1:1","control":"127.0.0.1:1","store":"127.0.0.1:1",
                "seed":"{at:x}","settings":{SETTINGS}}}"#
            );
            std::fs::write(&file, config).unwrap();
            file
        })
        .collect();
    let start = Instant::now();
    let mut programs: Vec<Program> = files
        .iter()
        .map(|file| {
            let mut program = Command::new(env!("CARGO_BIN_EXE_coralstep"));
            program
                .args(["serve", "--config"])
                .arg(file)
                .stderr(Stdio::piped());
            Program(program.spawn().unwrap())
        })
        .collect();
    let threads: Vec<_> = programs
        .iter_mut()
        .map(|program| {
            let mut stderr = BufReader::new(program.0.stderr.take().unwrap());
            std::thread::spawn(move || {
                let mut line = String::new();
                stderr.read_line(&mut line).unwrap();
                let address = line
                    .trim_end()
                    .rsplit_once("listens on ")
                    .unwrap()
                    .1
                    .parse()
                    .unwrap();
                assert!(stand_ins::Gateway::connect(address).unwrap().ping());
                (start.elapsed().as_secs_f64(), stderr)
            })
        })
        .collect();
    let results: Vec<_> = threads
        .into_iter()
        .map(|threads| threads.join().unwrap())
        .collect();
    let mut ready: Vec<f64> = results.iter().map(|(ready, _)| *ready).collect();
    drop(programs);
    let _ = std::fs::remove_dir_all(&folder);
    ready.sort_by(f64::total_cmp);
    ready
}

#[test]
fn server_is_ready_without_engine_and_control_plane() {
    let ready = start_servers(12);
    assert!(ready[12 * 9 / 10] < 10.0, "{ready:?}");
}

#[test]
#[ignore = "manual: three hundred processes"]
fn manual_three_hundred_simultaneous_starts() {
    let ready = start_servers(300);
    println!(
        "ready: first {:.2} s, half {:.2}, nine in ten {:.2}, last {:.2}",
        ready[0], ready[150], ready[270], ready[299]
    );
    assert!(ready[270] < 10.0);
}

#[test]
fn late_or_restarted_control_plane_receives_lease() {
    let mut server = TestServer::start();
    // The control plane is down when the engine comes up, so the leases are lost.
    let at = server.control.local_addr().unwrap();
    server.control = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut engine = server.engine(0, "new 5");
    engine.serve_idle_for(Duration::from_millis(700));
    for _ in 0..2 {
        let control_plane = UdpSocket::bind(at).unwrap();
        control_plane.set_read_timeout(Some(LIMIT)).unwrap();
        let mut lease = [0; 64];
        let count = control_plane.recv(&mut lease).unwrap();
        assert_eq!(&lease[..count], b"lease n3 Ready");
        drop(control_plane);
        // Down again, for longer than the interval between two leases.
        engine.serve_idle_for(Duration::from_millis(400));
    }
    assert!(server.gateway().ping());
}
