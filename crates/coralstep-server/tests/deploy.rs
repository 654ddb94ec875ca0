//! Checks the requirements of the benchmark on `run` in deploy/balancer.toml: a single process, started by
//! `exec`, linked against the C library, that listens only at its configured address.
mod stand_ins;

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::time::Instant;

use object::{Object, ObjectSymbol};
use stand_ins::{LIMIT, Reply, TestServer};

/// Returns a value of deploy/balancer.toml, which has one key per line.
fn deployed(key: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{key} = \"")));
    line.and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or_else(|| panic!("key {key} is missing"))
        .to_owned()
}

/// Starts the server by `run` as deployed, with the path of the test's program.
fn start_deployed_server() -> TestServer {
    let run = deployed("run");
    let serve = run.replacen("target/release/coralstep", "\"$0\"", 1);
    assert_ne!(run, serve, "{run} starts another program");
    TestServer::with_shell_command(&serve)
}

fn proc_path(server: &TestServer, of: &str) -> PathBuf {
    Path::new("/proc")
        .join(server.child.id().to_string())
        .join(of)
}

fn read(server: &TestServer, of: &str) -> String {
    std::fs::read_to_string(proc_path(server, of)).unwrap_or_default()
}

/// Returns the inodes of the process's open sockets.
fn sockets(server: &TestServer) -> HashSet<String> {
    let links = std::fs::read_dir(proc_path(server, "fd")).unwrap();
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

/// Returns the rows of a socket table in /proc that belong to the process, split into words.
fn own_sockets(server: &TestServer, table: &str, inode: usize) -> Vec<Vec<String>> {
    let sockets = sockets(server);
    let lines = read(server, &format!("net/{table}"));
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

/// Returns the port in a row of a socket table.
fn port(words: &[String]) -> u16 {
    u16::from_str_radix(words[1].rsplit(':').next().unwrap(), 16).unwrap()
}

#[test]
fn run_replaces_shell_by_single_process() {
    let server = start_deployed_server();
    let _engine = server.engine(0, "old 1000");
    // The shell is gone: the started process is the server itself.
    let exe = std::fs::read_link(proc_path(&server, "exe")).unwrap();
    assert_eq!(
        exe,
        Path::new(env!("CARGO_BIN_EXE_coralstep"))
            .canonicalize()
            .unwrap()
    );
    let threads = std::fs::read_dir(proc_path(&server, "task"))
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
fn run_enables_no_optional_feature() {
    assert_eq!(deployed("run"), "exec target/release/coralstep serve");
    // A site file or further arguments would enable features that were added later.
    assert!(deployed("build").starts_with("cargo build --release"));
}

#[test]
fn program_links_c_library_and_imports_no_forbidden_function() {
    let server = start_deployed_server();
    let maps = read(&server, "maps");
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
    // Proves that the check below would find an import.
    assert!(imports.contains("getenv"), "{imports:?}");
    for forbidden in [
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
        assert!(!imports.contains(forbidden), "{forbidden} is linked in");
    }
}

#[test]
fn server_listens_only_at_configured_address() {
    let server = start_deployed_server();
    let mut engine = server.engine(0, "old 1000");
    let mut gateway = server.gateway();
    let seq = gateway.invoke("read", "00000000000000a1", b"x", &[]);
    engine.next_command();
    engine.send("DONE 1 00000000000000a1 good 7 3\r\nyes\r\n");
    assert_eq!(
        gateway.read_reply(),
        Reply::Answer {
            seq,
            body: b"yes".to_vec(),
            good: true
        }
    );
    // The server has run an RPC and sent a lease: all its sockets are open by now.
    server.control.recv(&mut [0; 64]).unwrap();
    let listening: Vec<u16> = own_sockets(&server, "tcp", 9)
        .iter()
        .filter(|words| words[3] == "0A")
        .map(|words| port(words))
        .collect();
    assert_eq!(listening, [server.address.port()]);
    for (table, inode) in [("tcp6", 9), ("udp6", 9), ("raw", 9), ("packet", 8)] {
        assert_eq!(
            own_sockets(&server, table, inode),
            Vec::<Vec<String>>::new(),
            "{table}"
        );
    }
    // No Unix socket is bound to a name, so nobody can connect to one.
    let named: Vec<_> = own_sockets(&server, "unix", 6)
        .into_iter()
        .filter(|words| words.len() > 7)
        .collect();
    assert_eq!(named, Vec::<Vec<String>>::new());
    // Leases are sent from short-lived sockets; none stays open to receive.
    let start = Instant::now();
    while !own_sockets(&server, "udp", 9).is_empty() {
        assert!(start.elapsed() < LIMIT, "a UDP socket stays open");
    }
}

#[test]
fn every_thread_becomes_idle() {
    let server = start_deployed_server();
    let mut engine = server.engine(0, "old 1000");
    let mut gateway = server.gateway();
    gateway.invoke("read", "00000000000000a1", b"x", &[]);
    engine.next_command();
    let tasks = || {
        std::fs::read_dir(proc_path(&server, "task"))
            .unwrap()
            .map(|task| task.unwrap().path())
    };
    let mut busy: HashSet<PathBuf> = tasks().collect();
    assert!(!busy.is_empty());
    let start = Instant::now();
    while !busy.is_empty() {
        // S: sleeping, interruptible.
        busy.retain(|task| {
            let stat = std::fs::read_to_string(task.join("stat")).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| !rest.starts_with('S'))
        });
        assert!(start.elapsed() < LIMIT, "{busy:?} never became idle");
    }
}
