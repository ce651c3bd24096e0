//! Resource usage of a process, with a finer resolution than `crate::process`.

use std::fs::{read_dir, read_to_string};
use std::time::{Duration, Instant};

/// How long the CPU time of an idle process is measured.
const IDLE_FOR: Duration = Duration::from_secs(2);

/// CPU time that the running threads of a process have used so far, ns.
pub fn cpu_ns(pid: u32) -> u64 {
    let Ok(tasks) = read_dir(format!("/proc/{pid}/task")) else { return 0 };
    tasks.flatten().map(|task| schedstat_ns(&task.path().join("schedstat").to_string_lossy())).sum()
}

/// CPU usage of an idle process, percent of a core.
pub fn idle_core_percent(pid: u32) -> f64 {
    let (before, started_at) = (cpu_ns(pid), Instant::now());
    std::thread::sleep(IDLE_FOR);
    (cpu_ns(pid) - before) as f64 / started_at.elapsed().as_nanos() as f64 * 100.0
}

/// CPU time that the main thread of a process has used so far, ns.
pub fn main_thread_cpu_ns(pid: u32) -> u64 {
    schedstat_ns(&format!("/proc/{pid}/task/{pid}/schedstat"))
}

/// CPU time that the calling thread has used so far, ns.
pub fn own_thread_cpu_ns() -> u64 {
    schedstat_ns("/proc/thread-self/schedstat")
}

fn schedstat_ns(file: &str) -> u64 {
    let text = read_to_string(file).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Peak resident memory of a process, mapped files included, MB.
pub fn peak_mb(pid: u32) -> f64 {
    let text = read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1024.0
}

/// Descriptors that this process may open for connections: its soft limit less a reserve for everything else.
pub fn descriptors_allowed() -> usize {
    const RESERVED: usize = 256;
    let text = read_to_string("/proc/self/limits").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Max open files")).unwrap_or_default();
    let soft = line.split_whitespace().nth(3).and_then(|count| count.parse::<usize>().ok());
    soft.unwrap_or(1024).saturating_sub(RESERVED)
}
