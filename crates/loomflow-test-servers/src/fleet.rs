//! A fleet of real server processes, each with a test engine, and a relay on each link between two of them.
//!
//! Tests observe the processes and the gateway ports from outside, not what the fleet reports about itself.

mod members;
mod processes;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

use self::processes::{children, stop};
use crate::base::loopback_address;
use crate::relay::{LinkFault, Relay};
use crate::{AutonomousEngine, ServerFixture};

/// How long a test waits for something that must happen. Only failures take this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of members that vote in a fleet of at least as many.
const LARGE_FLEET_VOTERS: usize = 5;
/// Number of members that vote in a smaller fleet.
const SMALL_FLEET_VOTERS: usize = 3;

/// A server of the fleet and its test servers.
pub struct Member {
    /// The server's process and its test servers.
    pub fixture: ServerFixture,
    /// Its engine.
    pub worker: AutonomousEngine,
    /// Its state directory.
    pub state: PathBuf,
    /// Where it listens for the fleet.
    pub address: SocketAddr,
}

/// A fleet of server processes, connected through relays.
pub struct Fleet {
    /// Its servers.
    pub members: Vec<Member>,
    /// Relays by sender and receiver.
    relays: Vec<Vec<Option<Relay>>>,
    folder: PathBuf,
    /// Seed of the random faults.
    pub seed: u64,
    /// Processes that are paused and not continued yet.
    paused: Vec<u32>,
    /// Actions of the test, with their times.
    timeline: Vec<(Instant, String)>,
}

/// Parameters of a fleet.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Number of servers.
    pub members: usize,
    /// Number of zones.
    pub zones: usize,
    /// Lines of the options' `fleet` beyond those that every member needs.
    pub extra: &'static str,
    /// Cores of each engine.
    pub cores: usize,
    /// Duration of a run.
    pub work: Duration,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        let extra = "  begin_within_s: 5\n  warm_for_s: 1\n";
        Plan { members: 3, zones: 1, extra, cores: 4, work: Duration::from_millis(5), seed: 1 }
    }
}

impl Plan {
    /// Number of members that vote.
    fn voters(&self) -> usize {
        if self.members >= LARGE_FLEET_VOTERS { LARGE_FLEET_VOTERS } else { SMALL_FLEET_VOTERS }
    }
}

fn name(member_index: usize) -> String {
    format!("n{}", member_index + 1)
}

/// Creates the folder of a fleet, whose name is unique by an address of the fleet.
fn create_folder(address: SocketAddr) -> PathBuf {
    let name = format!("loomflow-fleet-{}", address.to_string().replace([':', '.'], "-"));
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

impl Fleet {
    /// As [`Fleet::start_with`], with the program of this build.
    pub fn start(plan: Plan) -> Fleet {
        Fleet::start_with(plan, &crate::program())
    }

    /// Starts all members without bootstrapping the fleet. The first three members vote, or the first five of at least five.
    pub fn start_with(plan: Plan, program: &Path) -> Fleet {
        Fleet::start_from(plan, program, |_| ())
    }

    /// As [`Fleet::start_with`]; `restore` puts stored data into the fleet's folder before any member starts.
    pub fn start_from(plan: Plan, program: &Path, restore: impl FnOnce(&Path)) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..plan.members).map(|_| loopback_address()).collect();
        let folder = create_folder(addresses[0]);
        restore(&folder);
        let relays = members::start_relays(&plan, &addresses);
        let member = |member_index: usize| {
            let state = folder.join(name(member_index));
            let options = members::options(&plan, member_index, &addresses, &relays[member_index], &state);
            let fixture = members::fixture(&plan, member_index, program, &folder, &options);
            let worker = AutonomousEngine::start(plan.cores, plan.work);
            Member { fixture, worker, state, address: addresses[member_index] }
        };
        let members = (0..plan.members).map(member).collect();
        let mut fleet =
            Fleet { members, relays, folder, seed: plan.seed, paused: Vec::new(), timeline: Vec::new() };
        (0..plan.members).for_each(|member_index| fleet.start_member(member_index));
        fleet
    }

    /// As [`Fleet::start`], and bootstraps the fleet.
    pub fn start_bootstrapped(plan: Plan) -> Fleet {
        Fleet::start(plan).bootstrap(plan)
    }

    /// Bootstraps the fleet on the first member, and waits until all voters have joined.
    #[must_use]
    pub fn bootstrap(self, plan: Plan) -> Fleet {
        let fleet = self;
        let (code, _, errors) = fleet.run_command(0, &["found"]);
        assert_eq!(code, 0, "{errors}");
        fleet.wait_until("all are here and the voters vote", |fleet| {
            let status = fleet.status(0);
            let members = status["members"]
                .as_array()
                .map_or(0, |members| members.iter().filter(|member| member["standing"] == "Serving").count());
            let voters = status["voters"].as_array().map_or(0, Vec::len);
            status["fresh"] == true && members == plan.members && voters == plan.voters()
        });
        fleet
    }

    /// Starts a server that was stopped.
    pub fn start_member(&mut self, member_index: usize) {
        self.note(format!("{} starts", name(member_index)));
        let member = &mut self.members[member_index];
        let worker = member.worker.clone();
        member.fixture.serve_with(&worker);
    }

    /// Kills a server's process. Its engine keeps running.
    pub fn kill(&mut self, member_index: usize) {
        self.note(format!("{} is killed", name(member_index)));
        self.members[member_index].fixture.kill();
    }

    /// Pauses a server (SIGSTOP).
    pub fn pause(&mut self, member_index: usize) {
        self.note(format!("{} is stopped", name(member_index)));
        self.members[member_index].fixture.signal("STOP");
    }

    /// Continues a paused server (SIGCONT).
    pub fn resume(&mut self, member_index: usize) {
        self.note(format!("{} goes on", name(member_index)));
        self.members[member_index].fixture.signal("CONT");
    }

    /// Pauses a server and all its child processes (SIGSTOP); returns the ids of those that are stopped, its own first.
    ///
    /// A signal arrives some time after it was sent, and until then a process may start another or reap one that has ended. So
    /// each is seen to stand still before its children are listed: from then on they are what it has.
    pub fn pause_process_tree(&mut self, member_index: usize) -> Vec<u32> {
        self.note(format!("{} and all that it started are stopped", name(member_index)));
        let server = self.members[member_index].fixture.pid();
        assert!(stop(server), "{} has ended\n{}", name(member_index), self.diagnostics());
        let mut all = vec![server];
        let mut next = 0;
        while let Some(parent) = all.get(next).copied() {
            // One that ended before it was stopped is no longer part of the tree.
            let found: Vec<u32> = children(parent).into_iter().filter(|pid| stop(*pid)).collect();
            all.extend(found);
            next += 1;
        }
        self.paused.extend(&all);
        all
    }

    /// Continues paused processes.
    pub fn resume_processes(&mut self, all: &[u32]) {
        self.note(format!("{all:?} go on"));
        for pid in all.iter().rev().filter_map(|pid| Pid::from_raw(*pid as i32)) {
            let _ = kill_process(pid, Signal::CONT);
        }
        self.paused.retain(|pid| !all.contains(pid));
    }

    /// A directory for files of jobs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Deletes the state directory of a server.
    pub fn delete_data_directory(&mut self, member_index: usize) {
        self.note(format!("{} loses its folder", name(member_index)));
        std::fs::remove_dir_all(&self.members[member_index].state).expect("the folder is removed");
    }

    /// Makes writes to the state directory fail, or succeed again, by a limit on the size of files.
    pub fn fill_disk(&mut self, member_index: usize, full: bool) {
        self.note(format!("the disk of {} is {}", name(member_index), if full { "full" } else { "free" }));
        let pid = Pid::from_raw(self.members[member_index].fixture.pid() as i32);
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        prlimit(pid, Resource::Fsize, limit).expect("a limit");
    }

    /// Sets the fault of one direction of a link.
    pub fn set_link_fault(&mut self, from: usize, to: usize, fault: LinkFault) {
        self.note(format!("from {} to {}: {fault:?}", name(from), name(to)));
        if let Some(relay) = &self.relays[from][to] {
            relay.set_fault(fault);
        }
    }

    /// Sets the fault of all links between `side` and the other members.
    pub fn isolate(&mut self, side: &[usize], fault: LinkFault) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.set_link_fault(from, to, fault);
                }
            }
        }
    }

    /// Sets the fault of all links.
    pub fn set_fault_on_all_links(&mut self, fault: LinkFault) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                self.set_link_fault(from, to, fault);
            }
        }
    }

    /// Sends all messages of one direction of a link again.
    pub fn replay_messages(&mut self, from: usize, to: usize) {
        self.note(format!("{} to {}: all again", name(from), name(to)));
        if let Some(relay) = &self.relays[from][to] {
            relay.replay();
        }
    }

    fn note(&mut self, what: String) {
        self.timeline.push((Instant::now(), what));
    }

    fn command(&self, member_index: usize, words: &[&str]) -> Command {
        let member = &self.members[member_index];
        let mut command = Command::new(&member.fixture.program);
        command.arg("fleet").args(words).arg("--socket").arg(member.state.with_extension("sock"));
        command
    }

    /// Runs `loomflow fleet …` for a member; returns exit code, output and errors.
    pub fn run_command(&self, member_index: usize, words: &[&str]) -> (i32, String, String) {
        self.run_command_with(member_index, words, &[])
    }

    /// As [`Fleet::run_command`], with a command after `--`.
    pub fn run_command_with(
        &self,
        member_index: usize,
        words: &[&str],
        then: &[&str],
    ) -> (i32, String, String) {
        let mut command = self.command(member_index, words);
        if !then.is_empty() {
            command.arg("--").args(then);
        }
        let done = command.output().expect("the command runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (done.status.code().unwrap_or(-1), text(&done.stdout), text(&done.stderr))
    }

    /// As [`Fleet::run_command_with`], without waiting for the end.
    pub fn spawn(&self, member_index: usize, words: &[&str], then: &[&str]) -> Child {
        let mut command = self.command(member_index, words);
        command.arg("--").args(then).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().expect("the command runs")
    }

    /// The fleet's status as a member reports it.
    pub fn status(&self, member_index: usize) -> Value {
        serde_json::from_str(&self.run_command(member_index, &["status", "--json"]).1).unwrap_or(Value::Null)
    }

    /// Sends a line to the operators' socket of a member; returns the response.
    pub fn send_operator_line(&self, member_index: usize, line: &str) -> Value {
        let socket = self.members[member_index].state.with_extension("sock");
        let Ok(mut stream) = UnixStream::connect(socket) else { return Value::Null };
        let _ = writeln!(stream, "{line}");
        let mut line = String::new();
        let _ = BufReader::new(stream).read_line(&mut line);
        serde_json::from_str(&line).unwrap_or(Value::Null)
    }

    /// The local status of a member, which needs no leader.
    pub fn local_status(&self, member_index: usize) -> Value {
        self.send_operator_line(member_index, "\"Here\"")["Here"].clone()
    }

    /// The index of the leader, as a member reports it.
    pub fn leader(&self, member_index: usize) -> Option<usize> {
        let status = self.status(member_index);
        let leader = status["leader"].as_str()?;
        (0..self.members.len()).find(|other| name(*other) == leader)
    }

    /// Requests a ticket for a server through a member; returns its number.
    pub fn request_ticket(&mut self, member_index: usize, server: usize) -> u64 {
        let words = ["work", "ask", "--server", &name(server), "--reason", "test", "--for", "1m", "--json"];
        let mut output = (1, String::new(), String::new());
        self.wait_until("a ticket is taken", |fleet| {
            output = fleet.run_command(member_index, &words);
            output.0 == 0
        });
        self.note(format!("{} asked for by {}", name(server), name(member_index)));
        let tickets: Vec<u64> = serde_json::from_str(&output.1).expect("a list of tickets");
        tickets[0]
    }

    /// The stage of a ticket, as a member reports it.
    pub fn stage(&self, member_index: usize, ticket: u64) -> String {
        let (_, history, _) = self.run_command(member_index, &["work", "history", "--json"]);
        let events: Value = serde_json::from_str(&history).unwrap_or(Value::Null);
        let last =
            events.as_array().and_then(|all| all.iter().rev().find(|e| e["ticket"] == ticket).cloned());
        last.map_or(String::new(), |event| event["stage"].as_str().unwrap_or_default().to_owned())
    }

    /// Whether a process runs.
    pub fn is_running(&mut self, member_index: usize) -> bool {
        self.members[member_index].fixture.has_process()
    }

    /// Waits until a condition holds. A failure prints seed and timeline.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Fleet) -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < until, "never: {what}\n{}", self.diagnostics());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits for the end of a process; returns its exit code.
    pub fn wait_for_exit(&mut self, member_index: usize) -> Option<i32> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while self.is_running(member_index) {
            assert!(Instant::now() < until, "{} does not end\n{}", name(member_index), self.diagnostics());
            std::thread::sleep(Duration::from_millis(20));
        }
        self.note(format!("{} has ended", name(member_index)));
        self.members[member_index].fixture.exit_code()
    }

    /// Seed, timeline, and log and status of each member.
    pub fn diagnostics(&self) -> String {
        let start = self.timeline.first().map_or_else(Instant::now, |(at, _)| *at);
        let mut text = format!("seed {}\n", self.seed);
        for (at, what) in &self.timeline {
            let _ = writeln!(text, "{:>8.3} {what}", at.duration_since(start).as_secs_f64());
        }
        for (member_index, member) in self.members.iter().enumerate() {
            let _ =
                write!(text, "--- {} at {}\n{}", name(member_index), member.address, member.fixture.log());
            text += &self.run_command(member_index, &["status"]).1;
        }
        text
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(|member| member.fixture.kill());
        // After a failure: what is still paused cannot end by itself.
        for pid in self.paused.iter().filter_map(|pid| Pid::from_raw(*pid as i32)) {
            let _ = kill_process(pid, Signal::KILL);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
