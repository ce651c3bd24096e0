//! A server process with test servers of everything that it connects to.

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

/// Path of the server's program: the directory above that of the running test.
pub fn program() -> std::path::PathBuf {
    let test = std::env::current_exe().expect("a path");
    let folder = test.ancestors().nth(2).expect("the folder of the build");
    folder.join("loomflow")
}

/// A server process, its configuration and its test servers.
pub struct ServerFixture {
    /// Where the server listens for gateways.
    pub listen: SocketAddr,
    /// Its configuration.
    pub config: Value,
    /// Its scripted engine.
    pub engine: ScriptedEngine,
    /// Its downstream service.
    pub ledger: Ledger,
    /// Its control plane.
    pub control: Control,
    file: std::path::PathBuf,
    options: Option<std::path::PathBuf>,
    /// The program, `$0` in the start command.
    pub program: std::path::PathBuf,
    /// Additional environment variables.
    pub variables: Vec<(String, std::ffi::OsString)>,
    child: Option<Child>,
    /// Earlier processes that are draining.
    draining: Vec<Child>,
    has_closed_log: bool,
    log: Arc<Mutex<String>>,
    /// The readers of the log, one for each process.
    log_readers: Vec<JoinHandle<()>>,
}

impl ServerFixture {
    /// Starts a server with options and an engine that runs requests by itself.
    pub fn start_with(settings: Value, options: &str, worker: &AutonomousEngine) -> ServerFixture {
        let mut fixture = ServerFixture::new(settings);
        fixture.options(options);
        fixture.serve_with(worker);
        fixture
    }

    /// Starts the server with an engine, and waits until it serves.
    pub fn serve_with(&mut self, worker: &AutonomousEngine) {
        self.config["engine"] = worker.address.to_string().into();
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

    /// Starts a server with a scripted engine; returns the engine's connection.
    pub fn start_serving(settings: Value) -> (ServerFixture, PeerConnection) {
        let mut fixture = ServerFixture::new(settings);
        fixture.start("exec \"$0\" serve");
        let link = fixture.engine.link();
        link.accept_attach("ATTACH 0");
        fixture.wait_for_service();
        (fixture, link)
    }

    /// Sets the options (YAML) for the next start. `CREDENTIALS` is replaced by a file with those of the test broker.
    pub fn options(&mut self, text: &str) {
        let file = self.file.with_extension("yaml");
        let credentials = file.with_extension("credentials");
        std::fs::write(&credentials, "user: guest\npassword: guest\n").expect("the credentials are written");
        let text = text.replace("CREDENTIALS", &credentials.display().to_string());
        std::fs::write(&file, text).expect("the options are written");
        self.options = Some(file);
    }

    /// Kills the server.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the server to shut down without waiting for its end: the next start runs beside it.
    pub fn drain_in_background(&mut self) {
        self.terminate();
        self.draining.extend(self.child.take());
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        self.has_closed_log = true;
    }

    /// Replaces engine, downstream service and control plane by new ones at new addresses; returns the previous ones, which
    /// stay open until they are dropped.
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

    /// Replaces the configuration file.
    pub fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("the configuration is written");
    }

    /// Replaces the configuration file by a pipe that nobody writes to.
    pub fn make_pipe(&self) {
        assert!(Command::new("mkfifo").arg(&self.file).status().expect("mkfifo").success());
    }

    /// Deletes the configuration file.
    pub fn remove_file(&self) {
        std::fs::remove_file(&self.file).expect("the configuration is removed");
    }

    /// Starts the server by a shell command, in which `$0` is its program.
    pub fn start(&mut self, line: &str) {
        self.write(&self.config.to_string());
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(line)
            .arg(&self.program)
            .env("PROXY_CONFIG", &self.file)
            .envs(self.options.iter().map(|file| ("LOOMFLOW_OPTIONS", file)))
            .envs(self.variables.iter().cloned())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the server starts");
        let mut errors = child.stderr.take().expect("its log");
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
            // Before the engine is connected the response is BUSY, after that it is FAILED.
            if gateway.response().status == "FAILED" {
                return;
            }
            tag += 1;
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not serve");
    }

    /// Opens a gateway connection.
    pub fn gateway(&self) -> Gateway {
        Gateway::open(self.listen)
    }

    /// The server's log so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// The log of a server that has ended, to its last line: what it wrote last is read only some time after its end.
    pub fn complete_log(&self) -> String {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while !self.log_readers.iter().all(JoinHandle::is_finished) {
            assert!(Instant::now() < until, "the log does not end: {}", self.log());
            thread::sleep(Duration::from_millis(5));
        }
        self.log()
    }

    /// Waits until the log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while !self.log().contains(text) {
            assert!(Instant::now() < until, "{text}: {}", self.log());
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Process id of the server.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("a server").id()
    }

    /// Asks the server to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
        assert!(done.expect("kill").success());
    }

    /// Waits for the end of the server; returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("a server");
        let until = Instant::now() + RESPONSE_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = child.try_wait().expect("its state") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the server does not end");
    }

    /// Whether a process was started and has not ended.
    pub fn has_process(&mut self) -> bool {
        self.child.is_some() && self.is_running()
    }

    /// Whether the process that was started has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().expect("its state").is_none())
    }

    /// Id, name and state letter of each thread of the server.
    pub fn threads(&self) -> Vec<(String, char)> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.pid())).expect("its threads");
        let state = |one: std::io::Result<std::fs::DirEntry>| {
            let stat = std::fs::read_to_string(one.ok()?.path().join("stat")).ok()?;
            // The name is in brackets and may contain spaces; the state follows the last bracket.
            let (id, rest) = stat.split_once(" (")?;
            let (name, after) = rest.rsplit_once(") ")?;
            Some((format!("{id} {name}"), after.chars().next()?))
        };
        tasks.filter_map(state).collect()
    }

    /// Threads that are running in every one of many samples.
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

    /// Number of open file descriptors of the server.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("its descriptors").count()
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
