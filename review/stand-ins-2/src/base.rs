//! What every case needs: the record, child processes that end with the case, temporary files, free loopback addresses.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The case was played and the rule held.
pub const HELD: i32 = 0;
/// The case was played and the rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not be played.
pub const NOT_PLAYED: i32 = 2;

struct Shared {
    started_at: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    processes: Mutex<Vec<Process>>,
}

static SHARED: OnceLock<Shared> = OnceLock::new();

fn shared() -> &'static Shared {
    SHARED.get().expect("the case has begun")
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens the record in the folder of the case, and limits the time of the case.
pub fn begin(case: &Path) {
    let record = File::create(case.join("record.txt")).expect("record.txt can be written");
    let folder = std::env::temp_dir().join(format!("lf-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder is created");
    let shared = Shared {
        started_at: Instant::now(),
        record: Mutex::new(record),
        folder,
        processes: Mutex::new(Vec::new()),
    };
    assert!(SHARED.set(shared).is_ok());
    std::panic::set_hook(Box::new(|panic| {
        note(&format!("the case could not be played: {panic}"));
        end(NOT_PLAYED);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(116));
        note("the case took longer than 116 s");
        end(NOT_PLAYED);
    });
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes a line with the time since the start of the case to the record.
pub fn note(text: &str) {
    let line = format!("{:8.3} {text}\n", shared().started_at.elapsed().as_secs_f64());
    print!("{line}");
    let _ = locked(&shared().record).write_all(line.as_bytes());
}

/// The folder for the files of the servers; deleted at the end.
pub fn folder() -> &'static Path {
    &shared().folder
}

/// Ends all processes that the case started, and then the case.
pub fn end(code: i32) -> ! {
    note(&format!("exit code {code}"));
    for process in locked(&shared().processes).drain(..) {
        process.kill();
    }
    // Programs of jobs are not children of the case: each writes its process id to a file.
    for pid in fs::read_to_string(folder().join("job-pids")).unwrap_or_default().lines() {
        if let Ok(pid) = pid.trim().parse::<u32>() {
            if fs::read_to_string(format!("/proc/{pid}/cmdline"))
                .unwrap_or_default()
                .contains(&folder().join("job.sh").display().to_string())
            {
                signal(pid, "KILL");
            }
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let _ = fs::remove_dir_all(folder());
    std::process::exit(code);
}

/// Sends a signal to a process.
fn signal(pid: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).stderr(Stdio::null()).status();
}

/// A process that the case started. Its id stays its own until the process was waited for.
#[derive(Clone)]
pub struct Process(Arc<Mutex<Child>>);

impl Process {
    /// Starts a process that ends with the case at the latest.
    pub fn spawn(command: &mut Command) -> Process {
        let process = Process(Arc::new(Mutex::new(command.spawn().expect("the process starts"))));
        locked(&shared().processes).push(process.clone());
        process
    }

    /// Sends a signal, unless the process has ended.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        let mut child = locked(&self.0);
        if matches!(child.try_wait(), Ok(None)) {
            signal(child.id(), name);
        }
    }

    /// Kills the process, unless it has ended, and waits for its end.
    pub fn kill(&self) {
        let mut child = locked(&self.0);
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits for the end of the process; its exit code.
    pub fn code(&self) -> Option<i32> {
        locked(&self.0).wait().ok()?.code()
    }

    /// Whether the process has not ended.
    pub fn runs(&self) -> bool {
        matches!(locked(&self.0).try_wait(), Ok(None))
    }

    pub fn stdin(&self) -> ChildStdin {
        locked(&self.0).stdin.take().expect("standard input is piped")
    }

    pub fn stdout(&self) -> ChildStdout {
        locked(&self.0).stdout.take().expect("standard output is piped")
    }
}

/// Starts a server by the command of the deploy file; its log goes to a file.
pub fn serve(name: &str, config: &Path, options: Option<&Path>) -> Process {
    let log = OpenOptions::new().create(true).append(true).open(folder().join(format!("{name}.log")));
    let log = log.expect("the log file opens");
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", "exec target/release/loomflow serve"])
        .env("PROXY_CONFIG", config)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log file is shared"))
        .stderr(log);
    if let Some(options) = options {
        command.env("LOOMFLOW_OPTIONS", options);
    }
    Process::spawn(&mut command)
}

/// The log of a server.
pub fn log_of(name: &str) -> String {
    fs::read_to_string(folder().join(format!("{name}.log"))).unwrap_or_default()
}

/// Writes a file in the folder of the case.
pub fn write(name: &str, text: &str) -> PathBuf {
    let path = folder().join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

/// A loopback address on which nothing listens.
pub fn free_address() -> SocketAddr {
    listener().local_addr().expect("the listener has an address")
}

/// A listener on a free loopback address.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Waits until a condition holds; without it the case cannot be played.
pub fn need(what: &str, limit: Duration, holds: impl FnMut() -> bool) {
    if !wait(limit, holds) {
        note(&format!("not within {limit:?}: {what}"));
        end(NOT_PLAYED);
    }
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Settings of a small site.
pub fn settings(window_ms: u32, timeout_ms: u32) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Effect\":\"{effect}\",\"HardLimit\":{timeout_ms}.0,\"OnTime\":{}.0,\"Points\":1.0,\"Window\":{window_ms}.0}}",
            timeout_ms / 2
        )
    };
    format!(
        "{{\"Classes\":[{},{}],\"Orgs\":[{{\"Name\":\"acme\",\"QuotaPerS\":100.0}}],\
         \"Domain\":{{\"Cpus\":4,\"HeapKb\":200000.0,\"RunMemFactor\":8.0,\"KeyKb\":1.0,\"Downstream\":\"off\",\
         \"CallsByClass\":[false,false],\"Halt\":\"off\",\"Say\":\"weight\",\"Heeded\":1000.0,\"Idle\":15000.0,\
         \"Gauges\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"],\"DeepChecks\":true,\"Fresh\":0.0}},\
         \"Rules\":{{\"FallMultiple\":5.0,\"TipAfter\":2000.0,\"DrainGrace\":1000.0,\"AnswerSlack\":60.0,\"Cold\":1000.0,\
         \"ColdShare\":0.5}},\"Limits\":{{\"RetryAfter\":true,\"MaxRetryAfter\":1000.0}},\"Servers\":3,\"Stage\":0,\
         \"Period\":5.0}}",
        class("read", "safe"),
        class("book", "keyed"),
    )
}

/// The configuration of a server.
pub fn config(name: &str, listen: SocketAddr, engine: SocketAddr, stop_ms: u32, settings: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"engine\":\"{engine}\",\"seed\":\"8c1f30d27a5be964\",\
         \"stop_ms\":{stop_ms},\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}},\"settings\":{settings}}}\n"
    )
}
