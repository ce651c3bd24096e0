//! What a process uses, in finer steps than `crate::process`.

use std::fs::{read_dir, read_to_string};
use std::time::{Duration, Instant};

/// How long an idle process is watched.
const IDLE_FOR: Duration = Duration::from_secs(2);

/// Time on a core so far, of all threads, ns.
pub fn cpu_ns(pid: u32) -> u64 {
    let Ok(tasks) = read_dir(format!("/proc/{pid}/task")) else { return 0 };
    tasks.flatten().map(|task| schedstat_ns(&task.path().join("schedstat").to_string_lossy())).sum()
}

/// Part of a core that an idle process takes, percent.
pub fn idle_core_percent(pid: u32) -> f64 {
    let (before, began) = (cpu_ns(pid), Instant::now());
    std::thread::sleep(IDLE_FOR);
    (cpu_ns(pid) - before) as f64 / began.elapsed().as_nanos() as f64 * 100.0
}

/// Time on a core so far of a process's main thread, ns.
pub fn main_thread_cpu_ns(pid: u32) -> u64 {
    schedstat_ns(&format!("/proc/{pid}/task/{pid}/schedstat"))
}

/// Time on a core so far of the calling thread, ns.
pub fn own_thread_cpu_ns() -> u64 {
    schedstat_ns("/proc/thread-self/schedstat")
}

fn schedstat_ns(file: &str) -> u64 {
    let text = read_to_string(file).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Peak memory, with what it maps, MB.
pub fn peak_mb(pid: u32) -> f64 {
    let text = read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1024.0
}

/// Descriptors that this process may still open, less what it needs otherwise.
pub fn descriptors_allowed() -> usize {
    const OWN: usize = 256;
    let text = read_to_string("/proc/self/limits").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Max open files")).unwrap_or_default();
    let soft = line.split_whitespace().nth(3).and_then(|count| count.parse::<usize>().ok());
    soft.unwrap_or(1024).saturating_sub(OWN)
}
