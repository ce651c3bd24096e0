//! A server process with test servers for everything that it connects to.

use std::collections::HashSet;
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::autonomous_engine::AutonomousEngine;
use crate::base::{RESPONSE_TIMEOUT, loopback_address};
use crate::control::Control;
use crate::gateway::{Gateway, call, fields, health, next_attempt_id};
use crate::ledger::Ledger;
use crate::lines::PeerConnection;
use crate::scripted_engine::ScriptedEngine;

/// Returns the path of the server's program, in the parent of the directory of the running test.
pub fn program() -> std::path::PathBuf {
    let test = std::env::current_exe().expect("the path of the test is known");
    let directory = test.ancestors().nth(2).expect("the test is in a build directory");
    directory.join("loomflow")
}

/// A server process, its configuration and its test servers.
pub struct ServerFixture {
    /// Address that the server listens on for gateways.
    pub listen: SocketAddr,
    /// Configuration, written to its file at each start of the server.
    pub config: Value,
    /// Scripted engine; not used if the server is started with an autonomous engine.
    pub engine: ScriptedEngine,
    /// Downstream service, which refuses connections until it is opened.
    pub ledger: Ledger,
    /// Control plane that receives the server's reports.
    pub control: Control,
    /// Configuration file.
    file: std::path::PathBuf,
    /// Options file, if there are options.
    options: Option<std::path::PathBuf>,
    /// Program of the server, `$0` in the start command.
    pub program: std::path::PathBuf,
    /// Additional environment variables of the server.
    pub variables: Vec<(String, std::ffi::OsString)>,
    child: Option<Child>,
    /// Earlier processes that were asked to shut down and may still drain.
    draining: Vec<Child>,
    /// Whether the reading end of the log is closed when the server starts.
    has_closed_log: bool,
    /// Standard error of all processes so far.
    log: Arc<Mutex<String>>,
    /// Threads that read the log, one for each process.
    log_readers: Vec<JoinHandle<()>>,
}

impl ServerFixture {
    /// Starts a server with options and an autonomous engine, and waits until it serves.
    pub fn start_with(settings: Value, options: &str, engine: &AutonomousEngine) -> ServerFixture {
        let mut fixture = ServerFixture::new(settings);
        fixture.options(options);
        fixture.serve_with(engine);
        fixture
    }

    /// Starts the server with an autonomous engine, and waits until it serves.
    pub fn serve_with(&mut self, engine: &AutonomousEngine) {
        self.config["engine"] = engine.address.to_string().into();
        self.start("exec \"$0\" serve");
        self.wait_for_service();
    }

    /// Creates the test servers and the configuration without starting the server.
    pub fn new(settings: Value) -> ServerFixture {
        let (engine, ledger, control) = (ScriptedEngine::start(), Ledger::new(), Control::start());
        let listen = loopback_address();
        let config = json!({"name": "n3", "listen": listen.to_string(), "engine": engine.address.to_string(),
            "control": control.address.to_string(), "ledger": ledger.address.to_string(),
            "seed": "8c1f30d27a5be964", "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings});
        let name = format!("loomflow-{}.json", listen.to_string().replace([':', '.'], "-"));
        let file = std::env::temp_dir().join(name);
        ServerFixture {
            listen,
            config,
            engine,
            ledger,
            control,
            file,
            options: None,
            program: program(),
            variables: Vec::new(),
            child: None,
            draining: Vec::new(),
            has_closed_log: false,
            log: Arc::default(),
            log_readers: Vec::new(),
        }
    }

    /// Starts a server with the scripted engine, and waits until it serves; returns the connection to the engine.
    pub fn start_serving(settings: Value) -> (ServerFixture, PeerConnection) {
        let mut fixture = ServerFixture::new(settings);
        fixture.start("exec \"$0\" serve");
        let link = fixture.engine.link();
        link.accept_attach("ATTACH 0");
        fixture.wait_for_service();
        (fixture, link)
    }

    /// Sets the options (YAML) for the next start. The word `CREDENTIALS` is replaced by the path of a file with the
    /// credentials of the test broker.
    pub fn options(&mut self, text: &str) {
        let file = self.file.with_extension("yaml");
        let credentials = file.with_extension("credentials");
        std::fs::write(&credentials, "user: guest\npassword: guest\n").expect("the credentials are written");
        let text = text.replace("CREDENTIALS", &credentials.display().to_string());
        std::fs::write(&file, text).expect("the options are written");
        self.options = Some(file);
    }

    /// Kills the server (SIGKILL) if it was started, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the server to shut down without waiting for its end, so that the next process starts while this one drains.
    pub fn drain_in_background(&mut self) {
        self.terminate();
        self.draining.extend(self.child.take());
    }

    /// Makes the next start close the reading end of the server's log, so that its writes to the log fail.
    pub fn close_log(&mut self) {
        self.has_closed_log = true;
    }

    /// Replaces engine, downstream service and control plane by new ones at new addresses, also in the configuration file;
    /// returns the previous ones, which stay open until they are dropped.
    pub fn move_peers(&mut self) -> (ScriptedEngine, Ledger, Control) {
        let previous = (
            std::mem::replace(&mut self.engine, ScriptedEngine::start()),
            std::mem::replace(&mut self.ledger, Ledger::new()),
            std::mem::replace(&mut self.control, Control::start()),
        );
        self.config["engine"] = self.engine.address.to_string().into();
        self.config["ledger"] = self.ledger.address.to_string().into();
        self.config["control"] = self.control.address.to_string().into();
        self.write(&self.config.to_string());
        previous
    }

    /// Replaces the text of the configuration file.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("the configuration is written");
    }

    /// Creates a named pipe without a writer in place of the configuration file, which must have been removed.
    pub fn make_pipe(&self) {
        assert!(Command::new("mkfifo").arg(&self.file).status().expect("mkfifo starts").success());
    }

    /// Deletes the configuration file.
    pub fn remove_file(&self) {
        std::fs::remove_file(&self.file).expect("the configuration is removed");
    }

    /// Writes the configuration file and starts the server with a shell command, in which `$0` is its program.
    pub fn start(&mut self, command: &str) {
        self.write(&self.config.to_string());
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .arg(&self.program)
            .env("PROXY_CONFIG", &self.file)
            .envs(self.options.iter().map(|file| ("LOOMFLOW_OPTIONS", file)))
            .envs(self.variables.iter().cloned())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the server starts");
        let mut errors = child.stderr.take().expect("standard error is piped");
        if self.has_closed_log {
            drop(errors);
            self.child = Some(child);
            return;
        }
        let log = self.log.clone();
        let reader = thread::spawn(move || {
            let mut bytes = [0; 1024];
            while let Ok(count @ 1..) = errors.read(&mut bytes) {
                log.lock().unwrap().push_str(&String::from_utf8_lossy(&bytes[..count]));
            }
        });
        self.log_readers.push(reader);
        self.child = Some(child);
    }

    /// Waits until the server passes requests to its controller.
    pub fn wait_for_service(&self) {
        let mut gateway = self.gateway();
        gateway.send(&health(1, false));
        assert_eq!(gateway.response().status, "UP");
        let until = Instant::now() + RESPONSE_TIMEOUT;
        let mut tag = 2;
        while Instant::now() < until {
            gateway.send(&call(tag, "no-such-class", &fields(&next_attempt_id()), b""));
            // The server responds BUSY until the engine is connected; after that the controller rejects the unknown class
            // with FAILED.
            if gateway.response().status == "FAILED" {
                return;
            }
            tag += 1;
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not serve within {RESPONSE_TIMEOUT:?}: {}", self.log());
    }

    /// Opens a gateway connection.
    pub fn gateway(&self) -> Gateway {
        Gateway::open(self.listen)
    }

    /// Returns the log of all processes so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Returns the complete log of a server that has ended. It waits for the log readers, because the last lines may be read
    /// only after the end of the process.
    pub fn complete_log(&self) -> String {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while !self.log_readers.iter().all(JoinHandle::is_finished) {
            assert!(
                Instant::now() < until,
                "the log is not closed within {RESPONSE_TIMEOUT:?}: {}",
                self.log()
            );
            thread::sleep(Duration::from_millis(5));
        }
        self.log()
    }

    /// Waits until the log contains `text`.
    pub fn wait_for_log(&self, text: &str) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while !self.log().contains(text) {
            assert!(
                Instant::now() < until,
                "the log does not contain {text:?} within {RESPONSE_TIMEOUT:?}: {}",
                self.log()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the process id of the server.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the server was started").id()
    }

    /// Asks the server to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the server; `name` is without `SIG`, as in `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
        assert!(status.expect("kill starts").success());
    }

    /// Waits for the end of the server; returns its exit code, or `None` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("the server was started");
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = child.try_wait().expect("the state of the process is known") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not end within {RESPONSE_TIMEOUT:?}");
    }

    /// Same as [`is_running`](Self::is_running).
    pub fn has_process(&mut self) -> bool {
        self.child.is_some() && self.is_running()
    }

    /// Whether the current server process runs; false if none was started, or if it was killed or left to drain in the
    /// background.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().expect("the state of the process is known").is_none())
    }

    /// Returns id and name, and the state letter, of each thread of the server.
    pub fn threads(&self) -> Vec<(String, char)> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.pid())).expect("the server runs");
        let state = |task: std::io::Result<std::fs::DirEntry>| {
            let stat = std::fs::read_to_string(task.ok()?.path().join("stat")).ok()?;
            // The name is in brackets and may contain spaces; the state follows the last bracket.
            let (id, rest) = stat.split_once(" (")?;
            let (name, after) = rest.rsplit_once(") ")?;
            Some((format!("{id} {name}"), after.chars().next()?))
        };
        tasks.filter_map(state).collect()
    }

    /// Returns the threads that were never seen waiting or stopped, in up to 200 samples at intervals of 10 ms.
    pub fn spinning_threads(&self) -> Vec<String> {
        let (mut waited, mut observed) = (HashSet::new(), HashSet::new());
        for _ in 0..200 {
            for (thread, state) in self.threads() {
                if matches!(state, 'S' | 'D' | 'I' | 't' | 'T') {
                    waited.insert(thread.clone());
                }
                observed.insert(thread);
            }
            if !observed.is_empty() && observed.is_subset(&waited) {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        assert!(!observed.is_empty(), "the server has threads");
        observed.difference(&waited).cloned().collect()
    }

    /// Returns the number of open file descriptors of the server.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("the server runs").count()
    }
}

impl Drop for ServerFixture {
    fn drop(&mut self) {
        self.kill();
        for mut child in self.draining.drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.file);
        for file in self.options.iter().flat_map(|file| [file.clone(), file.with_extension("credentials")]) {
            let _ = std::fs::remove_file(file);
        }
    }
}
