//! What the operators' bench asks of `run` in deploy/balancer.toml: one process, reached by `exec`, linked against the C library, that
//! listens where its configuration says and nowhere else.
mod stand_ins;

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::time::Instant;

use object::{Object, ObjectSymbol};
use stand_ins::{LIMIT, Rig, Said};

/// A value of deploy/balancer.toml, which keeps one key a line.
fn deployed(key: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{key} = \"")));
    line.and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or_else(|| panic!("no {key}"))
        .to_owned()
}

/// Runs `run` as it is deployed, but for where the program lies.
fn deployed_rig() -> Rig {
    let run = deployed("run");
    let serve = run.replacen("target/release/coralstep", "\"$0\"", 1);
    assert_ne!(run, serve, "{run} starts another program");
    Rig::shell(&serve)
}

fn proc(rig: &Rig, of: &str) -> PathBuf {
    Path::new("/proc").join(rig.child.id().to_string()).join(of)
}

fn read(rig: &Rig, of: &str) -> String {
    std::fs::read_to_string(proc(rig, of)).unwrap_or_default()
}

/// Inodes of the sockets that the process holds.
fn sockets(rig: &Rig) -> HashSet<String> {
    let links = std::fs::read_dir(proc(rig, "fd")).unwrap();
    let named = links.filter_map(|link| {
        std::fs::read_link(link.ok()?.path())
            .ok()?
            .into_os_string()
            .into_string()
            .ok()
    });
    named
        .filter_map(|to| Some(to.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect()
}

/// Lines of a table of the system's sockets that are the process's own, in words.
fn own(rig: &Rig, table: &str, inode: usize) -> Vec<Vec<String>> {
    let sockets = sockets(rig);
    let lines = read(rig, &format!("net/{table}"));
    let words = lines.lines().skip(1).map(|line| {
        line.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    });
    words
        .filter(|words| {
            words
                .get(inode)
                .is_some_and(|inode| sockets.contains(inode))
        })
        .collect()
}

/// A port as the tables write it.
fn port(words: &[String]) -> u16 {
    u16::from_str_radix(words[1].rsplit(':').next().unwrap(), 16).unwrap()
}

#[test]
fn run_ends_by_exec_in_one_process() {
    let rig = deployed_rig();
    let _engine = rig.engine(0, "old 1000");
    // The shell is gone: the process that was started is the program.
    let exe = std::fs::read_link(proc(&rig, "exe")).unwrap();
    assert_eq!(
        exe,
        Path::new(env!("CARGO_BIN_EXE_coralstep"))
            .canonicalize()
            .unwrap()
    );
    let threads = std::fs::read_dir(proc(&rig, "task"))
        .unwrap()
        .map(|task| task.unwrap().path());
    for thread in threads {
        let children = std::fs::read_to_string(thread.join("children")).unwrap_or_default();
        assert_eq!(
            children.trim(),
            "",
            "{} started a process",
            thread.display()
        );
    }
}

#[test]
fn run_switches_nothing_on_that_the_deployment_does_not_give() {
    assert_eq!(deployed("run"), "exec target/release/coralstep serve");
    // A site file or further words would open what later growth brings.
    assert!(deployed("build").starts_with("cargo build --release"));
}

#[test]
fn the_program_is_linked_against_the_c_library_and_calls_nothing_that_is_refused() {
    let rig = deployed_rig();
    let maps = read(&rig, "maps");
    assert!(
        maps.contains("/libc.so") || maps.contains("/libc-"),
        "no C library is mapped:\n{maps}"
    );
    assert!(
        maps.contains("/ld-"),
        "no dynamic linker is mapped:\n{maps}"
    );
    let program = std::fs::read(env!("CARGO_BIN_EXE_coralstep")).unwrap();
    let program = object::File::parse(&*program).unwrap();
    let imports: HashSet<&str> = program
        .dynamic_symbols()
        .filter(|symbol| symbol.is_undefined())
        .map(|symbol| symbol.name().unwrap())
        .collect();
    // What is looked for would be found: this one is used.
    assert!(imports.contains("getenv"), "{imports:?}");
    for refused in [
        "fork",
        "vfork",
        "execve",
        "execvp",
        "posix_spawn",
        "posix_spawnp",
        "splice",
        "sendfile",
        "sendfile64",
    ] {
        assert!(!imports.contains(refused), "{refused} is linked in");
    }
}

#[test]
fn it_listens_where_its_configuration_says_and_nowhere_else() {
    let rig = deployed_rig();
    let mut engine = rig.engine(0, "old 1000");
    let mut gate = rig.gate();
    let seq = gate.invoke("read", "00000000000000a1", b"x", &[]);
    engine.command();
    engine.send("DONE 1 00000000000000a1 good 7 3\r\nyes\r\n");
    assert_eq!(
        gate.said(),
        Said::Answer {
            seq,
            body: b"yes".to_vec(),
            good: true
        }
    );
    // It has been told, called and reported: whatever it opens is open.
    rig.control.recv(&mut [0; 64]).unwrap();
    let listening: Vec<u16> = own(&rig, "tcp", 9)
        .iter()
        .filter(|words| words[3] == "0A")
        .map(|words| port(words))
        .collect();
    assert_eq!(listening, [rig.address.port()]);
    for (table, inode) in [("tcp6", 9), ("udp6", 9), ("raw", 9), ("packet", 8)] {
        assert_eq!(
            own(&rig, table, inode),
            Vec::<Vec<String>>::new(),
            "{table}"
        );
    }
    // Nobody could come to a Unix socket: none is bound to a name.
    let named: Vec<_> = own(&rig, "unix", 6)
        .into_iter()
        .filter(|words| words.len() > 7)
        .collect();
    assert_eq!(named, Vec::<Vec<String>>::new());
    // Reports go out on a socket of the moment; none stays open for others to write to.
    let start = Instant::now();
    while !own(&rig, "udp", 9).is_empty() {
        assert!(start.elapsed() < LIMIT, "a UDP socket stays open");
    }
}

#[test]
fn every_thread_comes_to_wait() {
    let rig = deployed_rig();
    let mut engine = rig.engine(0, "old 1000");
    let mut gate = rig.gate();
    gate.invoke("read", "00000000000000a1", b"x", &[]);
    engine.command();
    let tasks = || {
        std::fs::read_dir(proc(&rig, "task"))
            .unwrap()
            .map(|task| task.unwrap().path())
    };
    let mut busy: HashSet<PathBuf> = tasks().collect();
    assert!(!busy.is_empty());
    let start = Instant::now();
    while !busy.is_empty() {
        // S: asleep until something comes.
        busy.retain(|task| {
            let stat = std::fs::read_to_string(task.join("stat")).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| !rest.starts_with('S'))
        });
        assert!(start.elapsed() < LIMIT, "{busy:?} never waits");
    }
}
