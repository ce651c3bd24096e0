//! Stopping processes and listing their children through `/proc`.

use std::time::{Duration, Instant};

use rustix::io::Errno;
use rustix::process::{Pid, Signal, kill_process};

use super::WAIT_TIMEOUT;

/// Stops a process (SIGSTOP) and waits until all its threads are stopped; returns false if the process has ended.
pub(super) fn stop(pid: u32) -> bool {
    match kill_process(Pid::from_raw(pid as i32).expect("a process id is positive"), Signal::STOP) {
        Err(Errno::SRCH) => return false,
        sent => sent.expect("the signal is sent"),
    }
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        let states = thread_states(pid);
        if states.iter().all(|state| matches!(state, 'Z' | 'X')) {
            return false;
        }
        if states.iter().all(|state| matches!(state, 'T' | 'Z' | 'X')) {
            return true;
        }
        assert!(
            Instant::now() < until,
            "process {pid} does not stop within {WAIT_TIMEOUT:?}, states of its threads: {states:?}"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Returns the state letter of each thread of a process; empty if the process does not exist.
fn thread_states(pid: u32) -> Vec<char> {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return Vec::new() };
    let state = |task: std::io::Result<std::fs::DirEntry>| {
        let stat = std::fs::read_to_string(task.ok()?.path().join("stat")).ok()?;
        stat.rsplit_once(") ")?.1.chars().next()
    };
    tasks.filter_map(state).collect()
}

/// Returns the ids of the child processes of a process.
pub(super) fn children(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").expect("/proc is readable");
    let child = |entry: std::io::Result<std::fs::DirEntry>| {
        let pid: u32 = entry.ok()?.file_name().to_str()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The fields after the program name are the state and the id of the parent.
        let parent_of_pid: u32 = stat.rsplit_once(") ")?.1.split_whitespace().nth(1)?.parse().ok()?;
        (parent_of_pid == parent).then_some(pid)
    };
    entries.filter_map(child).collect()
}
