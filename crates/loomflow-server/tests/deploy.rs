//! The server as the deploy file starts it: what the platform's bench allows is all that it does.
//!
//! The bench of the standing test runs `run` under a system-call filter of its own: the line must end by `exec` in one
//! dynamically linked process, which listens only where its configuration says, keeps no Unix socket, starts no other
//! program, and has no thread that neither waits nor ends. Every front beyond the gateways is off there, as no options
//! file is named.

use std::collections::HashSet;
use std::time::Duration;

use loomflow_test_servers::*;

/// `run` of the deploy file, with the program's path in the place of the one that `build` leaves.
fn run_line() -> String {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let deploy: toml::Table = text.parse().expect("the deploy file is TOML");
    let run = deploy["run"].as_str().expect("run is a line");
    assert!(run.starts_with("exec "), "run ends by exec: {run}");
    assert!(run.contains("target/release/loomflow "), "run starts the server: {run}");
    run.replacen("target/release/loomflow", "\"$0\"", 1)
}

/// Inodes of the sockets that a process holds.
fn socket_inodes(pid: u32) -> HashSet<u64> {
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    let inode = |one: std::io::Result<std::fs::DirEntry>| {
        let to = std::fs::read_link(one.ok()?.path()).ok()?;
        to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    held.filter_map(inode).collect()
}

/// The rows of a table under `/proc/<pid>/net` whose inode the process holds: local address and state, as written.
fn rows_held(pid: u32, table: &str, inodes: &HashSet<u64>) -> Vec<(String, String)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode: u64 = fields.get(9)?.parse().ok()?;
        inodes.contains(&inode).then(|| (fields[1].to_string(), fields[3].to_string()))
    };
    text.lines().skip(1).filter_map(row).collect()
}

/// The Unix sockets that a process holds; their table has its inode in the seventh column.
fn unix_held(pid: u32, inodes: &HashSet<u64>) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/unix")).unwrap_or_default();
    let inode = |line: &str| line.split_whitespace().nth(6)?.parse::<u64>().ok();
    text.lines().skip(1).filter_map(inode).filter(|one| inodes.contains(one)).count()
}

/// The files of a disk that a process opened; its standard streams are whoever's started it.
fn files_held(pid: u32) -> Vec<String> {
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    let own =
        held.filter_map(Result::ok).filter(|one| !["0", "1", "2"].iter().any(|std| one.file_name() == *std));
    let paths = own.filter_map(|one| std::fs::read_link(one.path()).ok());
    let paths = paths.map(|path| path.display().to_string());
    paths.filter(|path| path.starts_with('/') && !path.starts_with("/dev/")).collect()
}

/// An address as `/proc/net/tcp` writes it: the IPv4 address in the host's order, then the port, in hex.
fn as_written(address: std::net::SocketAddr) -> String {
    let std::net::SocketAddr::V4(v4) = address else { panic!("an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port())
}

/// A server started by the deploy line that serves, with the engine it works with.
fn start_deployed() -> (ServerFixture, AutonomousEngine) {
    let worker = AutonomousEngine::start(1, Duration::from_millis(5));
    let mut fixture = ServerFixture::new(site(10_000.0));
    fixture.config["engine"] = worker.address.to_string().into();
    fixture.start(&run_line());
    fixture.wait_for_service();
    (fixture, worker)
}

#[test]
fn the_deployed_server_is_one_dynamically_linked_process_with_one_listener() {
    let (fixture, _worker) = start_deployed();
    let pid = fixture.pid();
    // `exec` left no shell between the bench and the server.
    let exe = std::fs::read_link(format!("/proc/{pid}/exe")).expect("its program");
    assert_eq!(exe.file_name(), fixture.program.file_name(), "{exe:?}");
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).expect("its mappings");
    assert!(maps.lines().any(|line| line.contains("/libc.so")), "linked against the C library");
    let inodes = socket_inodes(pid);
    let (listening, outward): (Vec<_>, Vec<_>) =
        rows_held(pid, "tcp", &inodes).into_iter().partition(|(_, state)| state == "0A");
    let listening: Vec<String> = listening.into_iter().map(|(local, _)| local).collect();
    assert_eq!(listening, [as_written(fixture.listen)], "one listener, the configured one");
    assert_eq!(rows_held(pid, "tcp6", &inodes), [], "no IPv6 sockets");
    assert_eq!(rows_held(pid, "udp6", &inodes), [], "no IPv6 sockets");
    assert_eq!(unix_held(pid, &inodes), 0, "no Unix sockets");
    // Nothing of a fleet: no thread of it, no folder or file that is written to.
    let threads = fixture.threads();
    assert!(threads.iter().all(|(thread, _)| !thread.contains("fleet")), "{threads:?}");
    assert_eq!(threads.len(), 4, "{threads:?}");
    assert_eq!(files_held(pid), Vec::<String>::new(), "no files are held open");
    // Engine, ledger and control plane are the only links out; no AMQP link or other front.
    assert!(outward.len() <= 3, "{} links out: {outward:?}", outward.len());
}

#[test]
fn no_thread_of_an_idle_server_spins() {
    let (fixture, _worker) = start_deployed();
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new(), "threads that never waited");
}
