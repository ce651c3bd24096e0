//! The server as started by the `run` line of the deploy file, within the limits of the platform's test bench.
//!
//! The bench runs that line under a system-call filter. The line must `exec` a single dynamically linked process that
//! listens only at its configured address, has no Unix socket, starts no other program and has no spinning thread. No
//! options file is set there, so AMQP and the fleet are off.

use std::collections::HashSet;
use std::time::Duration;

use loomflow_test_servers::*;

/// The `run` line of the deploy file, with `$0` in place of the path of the release build.
fn run_line() -> String {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let deploy: toml::Table = text.parse().expect("the deploy file is TOML");
    let run = deploy["run"].as_str().expect("run is a line");
    assert!(run.starts_with("exec "), "run does not begin with exec: {run}");
    assert!(run.contains("target/release/loomflow "), "run does not start target/release/loomflow: {run}");
    run.replacen("target/release/loomflow", "\"$0\"", 1)
}

/// Inodes of the sockets that a process has open.
fn socket_inodes(pid: u32) -> HashSet<u64> {
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("/proc/PID/fd is readable");
    let inode = |entry: std::io::Result<std::fs::DirEntry>| {
        let target = std::fs::read_link(entry.ok()?.path()).ok()?;
        target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    descriptors.filter_map(inode).collect()
}

/// Local address and state, in hex, of those rows in a table of `/proc/<pid>/net` whose inode is in `inodes`.
fn socket_table_rows(pid: u32, table: &str, inodes: &HashSet<u64>) -> Vec<(String, String)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let inode: u64 = fields.get(9)?.parse().ok()?;
        inodes.contains(&inode).then(|| (fields[1].to_string(), fields[3].to_string()))
    };
    text.lines().skip(1).filter_map(row).collect()
}

/// Number of the process's Unix sockets; the inode is the seventh column of `/proc/<pid>/net/unix`.
fn unix_socket_count(pid: u32, inodes: &HashSet<u64>) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/unix")).unwrap_or_default();
    let inode = |line: &str| line.split_whitespace().nth(6)?.parse::<u64>().ok();
    text.lines().skip(1).filter_map(inode).filter(|inode| inodes.contains(inode)).count()
}

/// Paths of the files that a process has open, without its standard streams, which it inherited.
fn open_files(pid: u32) -> Vec<String> {
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("/proc/PID/fd is readable");
    let own = descriptors
        .filter_map(Result::ok)
        .filter(|entry| !["0", "1", "2"].iter().any(|std| entry.file_name() == *std));
    let paths = own.filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let paths = paths.map(|path| path.display().to_string());
    paths.filter(|path| path.starts_with('/') && !path.starts_with("/dev/")).collect()
}

/// An address in the form of `/proc/net/tcp`: the IPv4 address in host byte order and the port, both in hex.
fn proc_net_address(address: std::net::SocketAddr) -> String {
    let std::net::SocketAddr::V4(v4) = address else { panic!("{address} is not an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port())
}

/// Starts a server by the deploy line, with an autonomous engine, and waits until it serves.
fn start_deployed() -> (ServerFixture, AutonomousEngine) {
    let worker = AutonomousEngine::start(1, Duration::from_millis(5));
    let mut fixture = ServerFixture::new(site(10_000.0));
    fixture.config["engine"] = worker.address.to_string().into();
    fixture.start(&run_line());
    fixture.wait_for_service();
    (fixture, worker)
}

#[test]
fn the_deployed_server_is_one_process_with_one_listener() {
    let (fixture, _worker) = start_deployed();
    let pid = fixture.pid();
    // The process that was started is the server itself, with no shell as its parent.
    let exe = std::fs::read_link(format!("/proc/{pid}/exe")).expect("/proc/PID/exe is readable");
    assert_eq!(exe.file_name(), fixture.program.file_name(), "{exe:?}");
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).expect("/proc/PID/maps is readable");
    assert!(maps.lines().any(|line| line.contains("/libc.so")), "the program is not linked against libc.so");
    let inodes = socket_inodes(pid);
    let (listening, connected): (Vec<_>, Vec<_>) =
        socket_table_rows(pid, "tcp", &inodes).into_iter().partition(|(_, state)| state == "0A");
    let listening: Vec<String> = listening.into_iter().map(|(local, _)| local).collect();
    assert_eq!(
        listening,
        [proc_net_address(fixture.listen)],
        "listening addresses other than the configured one"
    );
    assert_eq!(socket_table_rows(pid, "tcp6", &inodes), [], "IPv6 TCP sockets");
    assert_eq!(socket_table_rows(pid, "udp6", &inodes), [], "IPv6 UDP sockets");
    assert_eq!(unix_socket_count(pid, &inodes), 0, "Unix sockets");
    // The fleet is off: it has no thread, and no file is open.
    let threads = fixture.threads();
    assert!(threads.iter().all(|(thread, _)| !thread.contains("fleet")), "{threads:?}");
    assert_eq!(threads.len(), 4, "{threads:?}");
    assert_eq!(open_files(pid), Vec::<String>::new(), "open files");
    // Outgoing connections go only to the engine, the ledger and the control plane.
    assert!(connected.len() <= 3, "{} connections, at most 3 are expected: {connected:?}", connected.len());
}

#[test]
fn idle_server_threads_do_not_spin() {
    let (fixture, _worker) = start_deployed();
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new(), "threads that ran in every sample");
}
