//! A fleet of real server processes, each with a test engine, and a relay for each direction of each link between them.
//!
//! Tests verify the fleet from outside, through the processes and their gateway ports, rather than through what it reports
//! about itself.

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

/// Timeout of waits for events that must occur. Only a failing test takes this long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of voters in a fleet that has at least this many members.
const LARGE_FLEET_VOTERS: usize = 5;
/// Number of voters in a smaller fleet.
const SMALL_FLEET_VOTERS: usize = 3;

/// A server of the fleet and its test servers.
pub struct Member {
    /// The server's process and its test servers.
    pub fixture: ServerFixture,
    /// Engine that the server runs requests on.
    pub engine: AutonomousEngine,
    /// State directory of the server.
    pub state: PathBuf,
    /// Address that the server listens on for other members.
    pub address: SocketAddr,
}

/// A fleet of server processes, connected through relays.
pub struct Fleet {
    /// Servers by member index; the first ones are the voters.
    pub members: Vec<Member>,
    /// Relays by sender, then receiver; `None` from a member to itself.
    relays: Vec<Vec<Option<Relay>>>,
    /// Temporary directory with the state of all members; deleted on drop.
    directory: PathBuf,
    /// Seed of the random faults.
    pub seed: u64,
    /// Processes that [`Fleet::pause_process_tree`] paused and that were not continued yet.
    paused: Vec<u32>,
    /// Actions of the test with their times, printed when a wait fails.
    timeline: Vec<(Instant, String)>,
}

/// Parameters of a fleet.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Number of servers.
    pub members: usize,
    /// Number of zones, over which the members are distributed in turn.
    pub zones: usize,
    /// Additional YAML lines for the `fleet` section of the options.
    pub extra: &'static str,
    /// Number of cores of each engine.
    pub cores: usize,
    /// Duration of each run.
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
    /// Returns the number of voters.
    fn voters(&self) -> usize {
        if self.members >= LARGE_FLEET_VOTERS { LARGE_FLEET_VOTERS } else { SMALL_FLEET_VOTERS }
    }
}

/// Returns the name of a member: `n1` for index 0.
fn name(member_index: usize) -> String {
    format!("n{}", member_index + 1)
}

/// Creates the directory of a fleet. An address of the fleet makes its name unique.
fn create_directory(address: SocketAddr) -> PathBuf {
    let name = format!("loomflow-fleet-{}", address.to_string().replace([':', '.'], "-"));
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the fleet's directory is created");
    directory
}

impl Fleet {
    /// Like [`Fleet::start_with`], with the program of this build.
    pub fn start(plan: Plan) -> Fleet {
        Fleet::start_with(plan, &crate::program())
    }

    /// Starts all members without bootstrapping the fleet. The first three members are its voters, or the first five if there
    /// are at least five.
    pub fn start_with(plan: Plan, program: &Path) -> Fleet {
        Fleet::start_from(plan, program, |_| ())
    }

    /// Like [`Fleet::start_with`]; `restore` writes stored data to the fleet's directory before any member starts.
    pub fn start_from(plan: Plan, program: &Path, restore: impl FnOnce(&Path)) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..plan.members).map(|_| loopback_address()).collect();
        let directory = create_directory(addresses[0]);
        restore(&directory);
        let relays = members::start_relays(&plan, &addresses);
        let member = |member_index: usize| {
            let state = directory.join(name(member_index));
            let options = members::options(&plan, member_index, &addresses, &relays[member_index], &state);
            let fixture = members::fixture(&plan, member_index, program, &directory, &options);
            let engine = AutonomousEngine::start(plan.cores, plan.work);
            Member { fixture, engine, state, address: addresses[member_index] }
        };
        let members = (0..plan.members).map(member).collect();
        let mut fleet =
            Fleet { members, relays, directory, seed: plan.seed, paused: Vec::new(), timeline: Vec::new() };
        (0..plan.members).for_each(|member_index| fleet.start_member(member_index));
        fleet
    }

    /// Starts and bootstraps a fleet.
    pub fn start_bootstrapped(plan: Plan) -> Fleet {
        Fleet::start(plan).bootstrap(plan)
    }

    /// Bootstraps the fleet on the first member, and waits until all members serve and all voters vote.
    #[must_use]
    pub fn bootstrap(self, plan: Plan) -> Fleet {
        let fleet = self;
        let (code, _, errors) = fleet.run_command(0, &["found"]);
        assert_eq!(code, 0, "{errors}");
        fleet.wait_until("all members serve and all voters vote", |fleet| {
            let status = fleet.status(0);
            let members = status["members"]
                .as_array()
                .map_or(0, |members| members.iter().filter(|member| member["standing"] == "Serving").count());
            let voters = status["voters"].as_array().map_or(0, Vec::len);
            status["fresh"] == true && members == plan.members && voters == plan.voters()
        });
        fleet
    }

    /// Starts a server that is not running.
    pub fn start_member(&mut self, member_index: usize) {
        self.record(format!("{} starts", name(member_index)));
        let member = &mut self.members[member_index];
        let engine = member.engine.clone();
        member.fixture.serve_with(&engine);
    }

    /// Kills a server's process. Its engine keeps running.
    pub fn kill(&mut self, member_index: usize) {
        self.record(format!("{} is killed", name(member_index)));
        self.members[member_index].fixture.kill();
    }

    /// Pauses a server (SIGSTOP).
    pub fn pause(&mut self, member_index: usize) {
        self.record(format!("{} is paused", name(member_index)));
        self.members[member_index].fixture.signal("STOP");
    }

    /// Continues a paused server (SIGCONT).
    pub fn resume(&mut self, member_index: usize) {
        self.record(format!("{} is resumed", name(member_index)));
        self.members[member_index].fixture.signal("CONT");
    }

    /// Pauses a server and all its descendants (SIGSTOP); returns the ids of the stopped processes, the server first.
    ///
    /// A signal takes effect some time after it was sent, and until then a process may start or reap children. Therefore the
    /// children of a process are listed only after all its threads have stopped, when the list can no longer grow.
    pub fn pause_process_tree(&mut self, member_index: usize) -> Vec<u32> {
        self.record(format!("{} and its descendant processes are paused", name(member_index)));
        let server = self.members[member_index].fixture.pid();
        assert!(
            stop(server),
            "{} has ended and cannot be paused\n{}",
            name(member_index),
            self.diagnostics()
        );
        let mut all = vec![server];
        let mut next = 0;
        while let Some(parent) = all.get(next).copied() {
            // Skips processes that ended before they could be stopped.
            let found: Vec<u32> = children(parent).into_iter().filter(|pid| stop(*pid)).collect();
            all.extend(found);
            next += 1;
        }
        self.paused.extend(&all);
        all
    }

    /// Continues paused processes (SIGCONT), the last in the list first.
    pub fn resume_processes(&mut self, all: &[u32]) {
        self.record(format!("processes {all:?} are resumed"));
        for pid in all.iter().rev().filter_map(|pid| Pid::from_raw(*pid as i32)) {
            let _ = kill_process(pid, Signal::CONT);
        }
        self.paused.retain(|pid| !all.contains(pid));
    }

    /// Returns the fleet's temporary directory, in which jobs may create files.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Deletes the state directory of a server.
    pub fn delete_data_directory(&mut self, member_index: usize) {
        self.record(format!("the state directory of {} is deleted", name(member_index)));
        std::fs::remove_dir_all(&self.members[member_index].state).expect("the state directory is deleted");
    }

    /// Makes the server's writes to files fail, or succeed again, through its limit on file sizes (`RLIMIT_FSIZE`).
    pub fn set_disk_full(&mut self, member_index: usize, full: bool) {
        self.record(format!("the disk of {} is {}", name(member_index), if full { "full" } else { "free" }));
        let pid = Pid::from_raw(self.members[member_index].fixture.pid() as i32);
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        prlimit(pid, Resource::Fsize, limit).expect("RLIMIT_FSIZE is set");
    }

    /// Sets the fault of one direction of a link.
    pub fn set_link_fault(&mut self, from: usize, to: usize, fault: LinkFault) {
        self.record(format!("link from {} to {}: {fault:?}", name(from), name(to)));
        if let Some(relay) = &self.relays[from][to] {
            relay.set_fault(fault);
        }
    }

    /// Sets the fault of all links between the members in `side` and the others, in both directions.
    pub fn isolate(&mut self, side: &[usize], fault: LinkFault) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.set_link_fault(from, to, fault);
                }
            }
        }
    }

    /// Sets the fault of all links, in both directions.
    pub fn set_fault_on_all_links(&mut self, fault: LinkFault) {
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                self.set_link_fault(from, to, fault);
            }
        }
    }

    /// Sends the messages of one direction of a link since the last replay again.
    pub fn replay_messages(&mut self, from: usize, to: usize) {
        self.record(format!("link from {} to {}: messages are replayed", name(from), name(to)));
        if let Some(relay) = &self.relays[from][to] {
            relay.replay();
        }
    }

    /// Adds an action of the test to the timeline.
    fn record(&mut self, action: String) {
        self.timeline.push((Instant::now(), action));
    }

    /// Prepares `loomflow fleet …` with the operators' socket of a member.
    fn command(&self, member_index: usize, arguments: &[&str]) -> Command {
        let member = &self.members[member_index];
        let mut command = Command::new(&member.fixture.program);
        command.arg("fleet").args(arguments).arg("--socket").arg(member.state.with_extension("sock"));
        command
    }

    /// Runs `loomflow fleet …` on a member; returns the exit code (-1 after a signal), standard output and standard error.
    pub fn run_command(&self, member_index: usize, arguments: &[&str]) -> (i32, String, String) {
        self.run_command_with(member_index, arguments, &[])
    }

    /// Like [`Fleet::run_command`], with the command `program` after `--`.
    pub fn run_command_with(
        &self,
        member_index: usize,
        arguments: &[&str],
        program: &[&str],
    ) -> (i32, String, String) {
        let mut command = self.command(member_index, arguments);
        if !program.is_empty() {
            command.arg("--").args(program);
        }
        let output = command.output().expect("the command starts");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
    }

    /// Like [`Fleet::run_command_with`], but returns the process without waiting for its end. Its output is discarded.
    pub fn spawn(&self, member_index: usize, arguments: &[&str], program: &[&str]) -> Child {
        let mut command = self.command(member_index, arguments);
        command.arg("--").args(program).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().expect("the command starts")
    }

    /// Returns the status of the fleet as a member reports it; null if the command fails.
    pub fn status(&self, member_index: usize) -> Value {
        serde_json::from_str(&self.run_command(member_index, &["status", "--json"]).1).unwrap_or(Value::Null)
    }

    /// Sends a line to the operators' socket of a member; returns the response, or null if there is none.
    pub fn send_operator_line(&self, member_index: usize, line: &str) -> Value {
        let socket = self.members[member_index].state.with_extension("sock");
        let Ok(mut stream) = UnixStream::connect(socket) else { return Value::Null };
        let _ = writeln!(stream, "{line}");
        let mut line = String::new();
        let _ = BufReader::new(stream).read_line(&mut line);
        serde_json::from_str(&line).unwrap_or(Value::Null)
    }

    /// Returns the local status of a member, which is available without a leader.
    pub fn local_status(&self, member_index: usize) -> Value {
        self.send_operator_line(member_index, "\"Here\"")["Here"].clone()
    }

    /// Returns the member index of the leader as a member reports it.
    pub fn leader(&self, member_index: usize) -> Option<usize> {
        let status = self.status(member_index);
        let leader = status["leader"].as_str()?;
        (0..self.members.len()).find(|other| name(*other) == leader)
    }

    /// Requests a ticket for a server through a member, with retries until it is accepted; returns the ticket's id.
    pub fn request_ticket(&mut self, member_index: usize, server: usize) -> u64 {
        let arguments =
            ["work", "ask", "--server", &name(server), "--reason", "test", "--for", "1m", "--json"];
        let mut output = (1, String::new(), String::new());
        self.wait_until("a ticket is created", |fleet| {
            output = fleet.run_command(member_index, &arguments);
            output.0 == 0
        });
        self.record(format!("ticket for {} is requested through {}", name(server), name(member_index)));
        let tickets: Vec<u64> = serde_json::from_str(&output.1).expect("the output is a list of ticket ids");
        tickets[0]
    }

    /// Returns the stage of a ticket as a member reports it; empty if the ticket is unknown.
    pub fn stage(&self, member_index: usize, ticket: u64) -> String {
        let (_, history, _) = self.run_command(member_index, &["work", "history", "--json"]);
        let events: Value = serde_json::from_str(&history).unwrap_or(Value::Null);
        let last =
            events.as_array().and_then(|all| all.iter().rev().find(|e| e["ticket"] == ticket).cloned());
        last.map_or(String::new(), |event| event["stage"].as_str().unwrap_or_default().to_owned())
    }

    /// Whether the server's process runs.
    pub fn is_running(&mut self, member_index: usize) -> bool {
        self.members[member_index].fixture.has_process()
    }

    /// Waits until a condition holds; `what` describes it in the panic message.
    ///
    /// # Panics
    ///
    /// Panics with [`Fleet::diagnostics`] after [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Fleet) -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < until, "not within {WAIT_TIMEOUT:?}: {what}\n{}", self.diagnostics());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a server has ended; returns its exit code.
    pub fn wait_for_exit(&mut self, member_index: usize) -> Option<i32> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while self.is_running(member_index) {
            assert!(
                Instant::now() < until,
                "{} does not end within {WAIT_TIMEOUT:?}\n{}",
                name(member_index),
                self.diagnostics()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        self.record(format!("{} has ended", name(member_index)));
        self.members[member_index].fixture.exit_code()
    }

    /// Returns the seed, the timeline of actions, and the log and status of each member.
    pub fn diagnostics(&self) -> String {
        let start = self.timeline.first().map_or_else(Instant::now, |(at, _)| *at);
        let mut text = format!("seed {}\n", self.seed);
        for (at, action) in &self.timeline {
            let _ = writeln!(text, "{:>8.3} {action}", at.duration_since(start).as_secs_f64());
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
        // Processes that a failed test left paused would never end by themselves.
        for pid in self.paused.iter().filter_map(|pid| Pid::from_raw(*pid as i32)) {
            let _ = kill_process(pid, Signal::KILL);
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
