//! Restarts: when a server is ready, and what it does not wait for.
mod stand_ins;

use std::io::{BufRead, BufReader};
use std::net::UdpSocket;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use stand_ins::{LIMIT, Rig, SETTINGS};

/// A program that is ended with its test.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts so many programs in one moment, with neither engine nor control plane there, and gives the seconds until each was ready: a health
/// check was answered.
fn restart(count: usize) -> Vec<f64> {
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
    let asked: Vec<_> = programs
        .iter_mut()
        .map(|program| {
            let mut said = BufReader::new(program.0.stderr.take().unwrap());
            std::thread::spawn(move || {
                let mut line = String::new();
                said.read_line(&mut line).unwrap();
                let address = line
                    .trim_end()
                    .rsplit_once("listens on ")
                    .unwrap()
                    .1
                    .parse()
                    .unwrap();
                assert!(stand_ins::Gate::at(address).unwrap().ping());
                (start.elapsed().as_secs_f64(), said)
            })
        })
        .collect();
    let done: Vec<_> = asked
        .into_iter()
        .map(|asked| asked.join().unwrap())
        .collect();
    let mut ready: Vec<f64> = done.iter().map(|(ready, _)| *ready).collect();
    drop(programs);
    let _ = std::fs::remove_dir_all(&folder);
    ready.sort_by(f64::total_cmp);
    ready
}

#[test]
fn a_restarted_server_is_ready_without_engine_and_control_plane() {
    let ready = restart(12);
    assert!(ready[12 * 9 / 10] < 10.0, "{ready:?}");
}

#[test]
#[ignore = "by hand: three hundred processes"]
fn by_hand_three_hundred_restarts_at_once() {
    let ready = restart(300);
    println!(
        "ready: first {:.2} s, half {:.2}, nine in ten {:.2}, last {:.2}",
        ready[0], ready[150], ready[270], ready[299]
    );
    assert!(ready[270] < 10.0);
}

#[test]
fn a_control_plane_that_comes_late_or_back_hears_of_the_server_at_once() {
    let mut rig = Rig::start();
    // Nobody is there when the engine comes up, and the reports go nowhere.
    let at = rig.control.local_addr().unwrap();
    rig.control = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut engine = rig.engine(0, "new 5");
    engine.sleep(Duration::from_millis(700));
    for _ in 0..2 {
        let plane = UdpSocket::bind(at).unwrap();
        plane.set_read_timeout(Some(LIMIT)).unwrap();
        let mut lease = [0; 64];
        let count = plane.recv(&mut lease).unwrap();
        assert_eq!(&lease[..count], b"lease n3 Ready");
        drop(plane);
        // Down once more, for longer than between two reports.
        engine.sleep(Duration::from_millis(400));
    }
    assert!(rig.gate().ping());
}
