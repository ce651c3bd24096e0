//! Three servers configured as a fleet, each with an engine of its own, and one duty `filing` with a job.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use crate::base::{self, Process, config, folder, free_address, need, note, serve, settings};
use crate::engine::Engine;

pub struct Member {
    pub name: String,
    engine: Engine,
    config: PathBuf,
    pub options: PathBuf,
    pub process: Process,
}

pub struct Fleet {
    pub members: Vec<Member>,
}

/// A line of the file to which the job writes.
#[derive(Clone, Debug)]
pub struct JobLine {
    pub at_ms: u64,
    pub what: String,
    pub token: u64,
}

/// The job: writes what it does to a file. On SIGTERM it completes its work within `finish` tenths of a second and succeeds.
fn job_script(work: u32, finish: u32) -> String {
    format!(
        "#!/bin/sh\nF={0}/job\necho $$ >> {0}/job-pids\nT=0\nN=0\ntrap 'T=1' TERM\n\
         log() {{ echo \"$(date +%s%3N) $1 $LOOMFLOW_TOKEN\" >> \"$F\"; }}\nlog began\n\
         while [ $N -lt {1} ]; do\n  sleep 0.1\n  N=$((N+1))\n  log alive\n\
         \x20 if [ $T = 1 ]; then T=2; log asked-to-end; if [ $N -lt {2} ]; then N={2}; fi; fi\ndone\nlog done\nexit 0\n",
        folder().display(),
        work,
        work.saturating_sub(finish),
    )
}

impl Fleet {
    /// Starts three servers and founds the fleet. The job takes `work` tenths of a second, or `finish` from SIGTERM.
    pub fn start(lease_s: u32, stop_ms: u32, work: u32, finish: u32) -> Fleet {
        let job = base::write("job.sh", &job_script(work, finish));
        let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let voters: String = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| format!("    - {{name: n{}, address: \"{address}\"}}\n", index + 1))
            .collect();
        let members = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| {
                let name = format!("n{}", index + 1);
                let engine = Engine::start(Duration::from_millis(20));
                let text = config(&name, free_address(), engine.address, stop_ms, &settings(5000, 10_000));
                let config = base::write(&format!("{name}.json"), &text);
                let options = format!(
                    "fleet:\n  name: review-{}\n  zone: z{}\n  listen: {address}\n  state: {}\n  warm_for_s: 2\n  voters:\n{voters}  \
                     duties:\n    lease_s: {lease_s}\n    programs: true\n    jobs:\n      - name: filing\n        run: [sh, {}]\n",
                    std::process::id(),
                    index + 1,
                    folder().join(&name).display(),
                    job.display()
                );
                let options = base::write(&format!("{name}.yaml"), &options);
                let process = serve(&name, &config, Some(&options));
                Member { name, engine, config, options, process }
            })
            .collect();
        let fleet = Fleet { members };
        need("a server answers `fleet status`", Duration::from_secs(15), || {
            fleet.command(0, &["found"]).0 == 0
        });
        need("three members serve", Duration::from_secs(30), || {
            let (_, status) = fleet.command(0, &["status", "--json"]);
            status.matches("\"Serving\"").count() >= 3
        });
        note("the fleet of n1, n2, n3 is founded, and all serve");
        fleet
    }

    /// Runs `loomflow fleet …` with the options of a member; returns the exit code and the output.
    pub fn command(&self, member: usize, arguments: &[&str]) -> (i32, String) {
        let output = Command::new("target/release/loomflow")
            .arg("fleet")
            .args(arguments)
            .env("LOOMFLOW_OPTIONS", &self.members[member].options)
            .stdin(Stdio::null())
            .output()
            .expect("the command starts");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// The member that owns the duty, as the fleet reports it to `observer`.
    pub fn owner(&self, observer: usize) -> Option<usize> {
        let (_, show) = self.command(observer, &["duty", "show", "filing", "--json"]);
        let owner = show.split("\"owner\":").nth(1)?;
        let name = owner.split("\"name\":").nth(1)?.trim_start().trim_start_matches('"');
        self.members.iter().position(|member| name.starts_with(&format!("{}\"", member.name)))
    }

    /// Waits until the duty has an owner, starts one run of its job, and waits until the job has begun.
    pub fn start_one_run(&self, limit: Duration) -> usize {
        need("the duty has an owner", limit, || self.owner(0).is_some());
        base::pause(1500);
        need("one run is requested", Duration::from_secs(5), || {
            self.command(0, &["duty", "start", "filing"]).0 == 0
        });
        note("operator: fleet duty start filing (one run is requested): done");
        need("the job has begun", Duration::from_secs(10), || !lines_of("began").is_empty());
        let owner = self.owner(0).unwrap_or_else(|| base::end(base::NOT_PLAYED));
        note(&format!(
            "the job has begun on {} under token {}",
            self.members[owner].name,
            lines_of("began")[0].token
        ));
        owner
    }

    /// Kills a server outright.
    pub fn kill(&self, member: usize) {
        self.members[member].process.kill();
        note(&format!("{} is killed (SIGKILL)", self.members[member].name));
    }

    /// Starts a server that has ended.
    pub fn restart(&mut self, member: usize) {
        let member = &mut self.members[member];
        member.engine.restarted();
        member.process = serve(&member.name, &member.config, Some(&member.options));
        note(&format!("{} is started again", member.name));
    }

    /// Writes the fleet's own history of the duty to the record.
    pub fn note_history(&self, observer: usize) {
        for line in self.command(observer, &["duty", "show", "filing"]).1.lines() {
            note(&format!("fleet duty show filing: {line}"));
        }
    }
}

/// The lines that the job has written.
pub fn job_lines() -> Vec<JobLine> {
    let text = fs::read_to_string(folder().join("job")).unwrap_or_default();
    text.lines()
        .filter_map(|line| {
            let mut words = line.split(' ');
            let at_ms = words.next()?.parse().ok()?;
            let what = words.next()?.to_owned();
            Some(JobLine { at_ms, what, token: words.next()?.parse().ok()? })
        })
        .collect()
}

pub fn lines_of(what: &str) -> Vec<JobLine> {
    job_lines().into_iter().filter(|line| line.what == what).collect()
}

/// Writes to the record what the job did, without the lines that only show that it is alive.
pub fn note_job() {
    let lines = job_lines();
    let first = lines.first().map_or(0, |line| line.at_ms);
    for line in &lines {
        if line.what != "alive" {
            note(&format!("job: +{} ms {} token={}", line.at_ms - first, line.what, line.token));
        }
    }
    for token in lines.iter().map(|line| line.token).collect::<std::collections::BTreeSet<_>>() {
        let of: Vec<&JobLine> = lines.iter().filter(|line| line.token == token).collect();
        note(&format!(
            "job: token {token} wrote from +{} ms to +{} ms",
            of[0].at_ms - first,
            of[of.len() - 1].at_ms - first
        ));
    }
}
