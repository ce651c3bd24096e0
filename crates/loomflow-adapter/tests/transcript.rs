//! Compares the adapter's output byte for byte with a recorded conversation that contains every settings key, event and
//! action.
//!
//! `transcript/input.jsonl` and `transcript/output.jsonl` were recorded with the build of a2e1c2e, by this command:
//!
//!     ADAPTER=target/release/loomflow-adapter cargo test -p loomflow-adapter --test transcript -- --ignored record
//!
//! Renames in the code must not change these lines: the simulator reads them, and its scores depend on the exact results
//! of the arithmetic.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use serde_json::{Value, json};

/// Time of the last batch of the recorded conversation, ms.
const END_MS: u64 = 9_000;
/// Time between two batches, ms.
const BATCH_MS: u64 = 25;
/// Wire code of a call or a run that succeeded.
const OK: u64 = 10;
/// Wire code of a run that was cancelled.
const CANCELLED: u64 = 70;
/// Outcome codes from which the end of a call is drawn at random; a repeated code is more likely.
const CALL_DISPOSITIONS: [u64; 10] = [OK, OK, OK, OK, 20, 30, 40, 50, 60, 80];
/// Outcome codes from which the end of a run is drawn at random; a repeated code is more likely.
const RUN_DISPOSITIONS: [u64; 8] = [OK, OK, OK, OK, OK, OK, 20, 80];

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/transcript").join(name)
}

/// A running adapter process.
struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    fn start(program: &str) -> Adapter {
        let mut child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("standard input is piped");
        let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
        Adapter { child, input, output }
    }

    /// Writes a batch and returns the reply.
    fn exchange(&mut self, line: &str) -> String {
        writeln!(self.input, "{line}").expect("the adapter reads its input");
        let mut reply = String::new();
        self.output.read_line(&mut reply).expect("the adapter replies");
        reply.trim_end().to_owned()
    }

    /// Closes the input and asserts that the adapter exits with success.
    fn close(mut self) {
        drop(self.input);
        assert!(self.child.wait().expect("the adapter exits").success());
    }
}

#[test]
fn replies_equal_the_recorded_bytes() {
    let input = std::fs::read_to_string(fixture("input.jsonl")).expect("the recorded input can be read");
    let output = std::fs::read_to_string(fixture("output.jsonl")).expect("the recorded output can be read");
    assert_eq!(input.lines().count(), output.lines().count());
    let mut adapter = Adapter::start(env!("CARGO_BIN_EXE_loomflow-adapter"));
    for (number, (line, recorded)) in input.lines().zip(output.lines()).enumerate() {
        assert_eq!(adapter.exchange(line), recorded, "line {}: {line}", number + 1);
    }
    adapter.close();
}

#[test]
fn recorded_conversation_contains_every_event_and_action() {
    let input = std::fs::read_to_string(fixture("input.jsonl")).expect("the recorded input can be read");
    let output = std::fs::read_to_string(fixture("output.jsonl")).expect("the recorded output can be read");
    let events = [
        "BOOT",
        "TEARDOWN",
        "WORK_ITEM",
        "WITHDRAWN",
        "ALARM",
        "BLOCKED",
        "TERMINATE_SOON",
        "CAME_BACK",
        "FINISHED",
    ];
    // The wire also has JOURNAL_LINE, which the adapter never sends.
    let actions = [
        "TAKE",
        "REPLAY",
        "SHED",
        "FINISH_ERROR",
        "ABORT_WORK",
        "GO_CALL",
        "DEGRADE",
        "RETAIN",
        "ERASE",
        "STATUS",
        "STAMP",
        "REAP_AFTER",
        "SET_TIMER",
    ];
    for event in events {
        assert!(input.contains(&format!("\"msg\":\"{event}\"")), "the recorded input lacks {event}");
    }
    for action in actions {
        assert!(output.contains(&format!("\"msg\":\"{action}\"")), "the recorded output lacks {action}");
    }
}

#[test]
#[ignore = "writes the recorded files; see the module documentation"]
fn record() {
    let program =
        std::env::var("ADAPTER").expect("the environment variable ADAPTER must name the program to record");
    let mut adapter = Adapter::start(&program);
    let mut fleet = Fleet::default();
    let (mut input, mut output) = (String::new(), String::new());
    for number in 0..=END_MS / BATCH_MS {
        let line = fleet.batch(number, number * BATCH_MS);
        let reply = adapter.exchange(&line);
        fleet.handle_reply(&reply, number * BATCH_MS);
        writeln!(input, "{line}").unwrap();
        writeln!(output, "{reply}").unwrap();
    }
    adapter.close();
    std::fs::write(fixture("input.jsonl"), input).expect("the input file can be written");
    std::fs::write(fixture("output.jsonl"), output).expect("the output file can be written");
}

/// A linear congruential generator, which yields the same numbers on every machine.
struct Lcg(u64);

impl Lcg {
    /// Returns a number in `0..bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns one of the values.
    fn choose(&mut self, values: &[u64]) -> u64 {
        values[self.below(values.len() as u64) as usize]
    }
}

/// A request that an instance runs.
struct Run {
    class: u64,
    /// Start of the run, ms.
    started_at: u64,
    /// Downstream calls that the run still makes.
    calls_left: u64,
}

/// The simulated engine of one instance, and the requests sent to it.
#[derive(Default)]
struct Instance {
    /// Current runs by request.
    runs: BTreeMap<u64, Run>,
    /// Class of each request sent to the instance, by the number of the request.
    classes: BTreeMap<u64, u64>,
    /// Requests whose idempotency keys the instance retains.
    retained: Vec<u64>,
    /// Events that are still to be sent, with their times, ms.
    scheduled: Vec<(u64, Value)>,
    is_shutting_down: bool,
}

/// All instances.
struct Fleet {
    rng: Lcg,
    instances: BTreeMap<u64, Instance>,
    /// Number of the next request.
    next_ref: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { rng: Lcg(51_070_003), instances: BTreeMap::new(), next_ref: 1 }
    }
}

impl Fleet {
    /// Returns the input line of the batch at `now`, ms.
    fn batch(&mut self, number: u64, now: u64) -> String {
        let mut items = Vec::new();
        self.add_lifecycle(now, &mut items);
        for id in self.instances.keys().copied().collect::<Vec<_>>() {
            self.add_due_events(id, now, &mut items);
            self.add_arrivals(id, now, &mut items);
        }
        json!({"Ts": now as f64, "batch": number, "items": items}).to_string()
    }

    /// Appends the starts, restarts and shutdowns of instances.
    fn add_lifecycle(&mut self, now: u64, items: &mut Vec<Value>) {
        for (id, at) in [(1, 0), (2, 50), (3, 100), (4, 150), (3, 6_000)] {
            if now == at {
                self.instances.insert(id, Instance::default());
                let settings = settings(id);
                items.push(json!({"msg": "BOOT", "ServerId": id, "Seed": 1000 + id, "Settings": settings}));
            }
        }
        if now == 5_900 {
            self.instances.remove(&3);
            items.push(json!({"msg": "TEARDOWN", "ServerId": 3}));
        }
        if now == 7_000 {
            self.instances.get_mut(&2).expect("instance 2 is running").is_shutting_down = true;
            items.push(json!({"msg": "TERMINATE_SOON", "ServerId": 2, "Remaining": 1800.0}));
        }
    }

    /// Appends the events that are due, except those of ended runs, and sometimes the withdrawal of a request.
    fn add_due_events(&mut self, id: u64, now: u64, items: &mut Vec<Value>) {
        let instance = self.instances.get_mut(&id).expect("the instance exists");
        let (due, later) =
            std::mem::take(&mut instance.scheduled).into_iter().partition(|(at, _)| *at <= now);
        instance.scheduled = later;
        let due: Vec<(u64, Value)> = due;
        for (_, mut event) in due {
            let request = event["Ref"].as_u64().unwrap_or(0);
            match event["msg"].as_str().expect("msg is a string") {
                "ALARM" => event["Load"] = self.gauges(id),
                "BLOCKED" | "FINISHED" if !self.is_running(id, request) => continue,
                "FINISHED" => {
                    self.instances.get_mut(&id).expect("the instance exists").runs.remove(&request);
                }
                _ => {}
            }
            items.push(event);
        }
        if self.rng.below(20) == 0 {
            self.add_withdrawal(id, items);
        }
    }

    fn is_running(&self, id: u64, request: u64) -> bool {
        self.instances[&id].runs.contains_key(&request)
    }

    /// The values of the gauges, in the order of the settings.
    fn gauges(&mut self, id: u64) -> Value {
        let runs = self.instances[&id].runs.len() as f64;
        let busy = (runs / 2.0).min(1.0);
        let links = 10.0 + self.rng.below(20) as f64;
        json!([busy, runs + self.rng.below(3) as f64, 0.5, links])
    }

    /// Appends the withdrawal of the latest request, which may have ended.
    fn add_withdrawal(&mut self, id: u64, items: &mut Vec<Value>) {
        let requests: Vec<u64> = self.instances[&id].classes.keys().copied().collect();
        if let Some(request) = requests.last() {
            items.push(json!({"msg": "WITHDRAWN", "ServerId": id, "Ref": request}));
        }
    }

    /// Appends arrivals: more than the capacity between 2 s and 5 s, less before and after.
    fn add_arrivals(&mut self, id: u64, now: u64, items: &mut Vec<Value>) {
        let attempts = if (2_000..5_000).contains(&now) { 3 } else { 1 };
        for _ in 0..attempts {
            if self.rng.below(4) == 0 {
                items.push(self.arrival(id));
            }
        }
    }

    /// A request with random attributes. One in three of class 1 duplicates the request whose key was retained last.
    fn arrival(&mut self, id: u64) -> Value {
        let request = self.next_ref;
        self.next_ref += 1;
        let class = self.rng.below(3);
        let instance = self.instances.get_mut(&id).expect("the instance exists");
        instance.classes.insert(request, class);
        let mut item = json!({
            "msg": "WORK_ITEM", "ServerId": id, "Ref": request, "Service": class, "Account": self.rng.below(3),
            "Remaining": 600.0 + self.rng.below(2_000) as f64, "Kb": 20.0 + self.rng.below(30) as f64,
            "Prio": self.rng.below(100) as f64 / 100.0, "Resent": self.rng.below(5) == 0,
            "From": self.rng.below(caller_count(id)), "Age": self.rng.below(30) as f64,
        });
        item["WeightHint"] = match self.rng.below(3) {
            0 => Value::Null,
            _ => json!(40.0 + self.rng.below(160) as f64),
        };
        let retained = &self.instances[&id].retained;
        let is_duplicate = class == 1 && self.rng.below(3) == 0;
        if let Some(original) = retained.last().filter(|_| is_duplicate) {
            item["SameAs"] = json!(original);
        }
        item
    }

    /// Carries out the actions of a reply.
    fn handle_reply(&mut self, reply: &str, now: u64) {
        let reply: Value = serde_json::from_str(reply).expect("a reply is JSON");
        for action in reply["outbox"].as_array().expect("outbox is an array") {
            let id = action["ServerId"].as_u64().expect("ServerId is a number");
            self.handle_action(id, action, now);
        }
    }

    fn handle_action(&mut self, id: u64, action: &Value, now: u64) {
        let request = action["Ref"].as_u64().unwrap_or(0);
        match action["msg"].as_str().expect("msg is a string") {
            "TAKE" => self.start_run(id, request, now),
            "REPLAY" => {
                let duration = 100 + self.rng.below(100);
                self.schedule_end(id, request, now, duration, OK);
            }
            "ABORT_WORK" => self.schedule_end(id, request, now, 10, CANCELLED),
            "GO_CALL" => {
                let duration = 10 + self.rng.below(120);
                let disposition = self.rng.choose(&CALL_DISPOSITIONS);
                self.schedule(id, now + duration, "CAME_BACK", request, Some((disposition, duration)));
            }
            "DEGRADE" => self.continue_run(id, request, now),
            "RETAIN" => self.instances.get_mut(&id).expect("the instance exists").retained.push(request),
            "SET_TIMER" => {
                let at = action["AlarmTime"].as_f64().expect("AlarmTime is a number") as u64;
                self.schedule(id, at, "ALARM", request, None);
            }
            _ => {}
        }
    }

    fn start_run(&mut self, id: u64, request: u64, now: u64) {
        let class = self.instances[&id].classes[&request];
        let calls_left = if class == 2 { 0 } else { self.rng.below(3) };
        let instance = self.instances.get_mut(&id).expect("the instance exists");
        instance.runs.insert(request, Run { class, started_at: now, calls_left });
        self.continue_run(id, request, now);
    }

    /// Schedules the next event of a run after some work: a downstream call or the end of the run.
    fn continue_run(&mut self, id: u64, request: u64, now: u64) {
        let work = 30 + self.rng.below(150);
        let disposition = self.rng.choose(&RUN_DISPOSITIONS);
        let instance = self.instances.get_mut(&id).expect("the instance exists");
        let Some(run) = instance.runs.get_mut(&request) else { return };
        if run.calls_left > 0 && run.class != 2 {
            run.calls_left -= 1;
            self.schedule(id, now + work, "BLOCKED", request, None);
            // The run ends at this time even if its call has not ended.
            self.schedule(id, now + 900, "FINISHED", request, Some((disposition, 900)));
        } else {
            let duration = now + work - run.started_at;
            self.schedule(id, now + work, "FINISHED", request, Some((disposition, duration)));
        }
    }

    /// Schedules the end of a run `after` ms from now, and adds the run if the request has none.
    fn schedule_end(&mut self, id: u64, request: u64, now: u64, after: u64, disposition: u64) {
        let instance = self.instances.get_mut(&id).expect("the instance exists");
        instance.runs.entry(request).or_insert(Run { class: 2, started_at: now, calls_left: 0 });
        self.schedule(id, now + after, "FINISHED", request, Some((disposition, after)));
    }

    /// Schedules an event for the time `at`, ms; `end` holds the disposition and the duration of a call or a run.
    fn schedule(&mut self, id: u64, at: u64, message: &str, request: u64, end: Option<(u64, u64)>) {
        let mut event = json!({"msg": message, "ServerId": id, "Ref": request});
        if let Some((disposition, duration)) = end {
            event["Disposition"] = json!(disposition);
            event["Spent"] = json!(duration as f64);
        }
        self.instances.get_mut(&id).expect("the instance exists").scheduled.push((at, event));
    }
}

/// The number of callers of an instance: 12, so that each sends many requests, or 5000, so that most send only one.
fn caller_count(id: u64) -> u64 {
    if id == 4 { 5_000 } else { 12 }
}

/// Settings with every key. Instances differ in their downstream service, feedback signal and preemption, among others.
fn settings(id: u64) -> Value {
    let downstream = ["shared", "shared", "tier", "off"][id as usize - 1];
    let feedback_signal = ["weight", "level", "credit", "off"][id as usize - 1];
    let preemption = ["drop", "off", "pause", "drop"][id as usize - 1];
    json!({
        "Classes": [
            {"Name": "read", "Effect": "safe", "OnTime": 700.0, "AimStretch": 0.5, "HardLimit": 1500.0,
             "Points": 1.0, "LateShare": 0.25},
            {"Name": "book", "Effect": "keyed", "OnTime": 900.0, "HardLimit": 2000.0, "Points": 10.0,
             "Window": 3000.0},
            {"Name": "send", "Effect": "unsafe", "OnTime": 800.0, "HardLimit": 1800.0, "Points": 3.0},
        ],
        "Orgs": [{"Name": "a", "QuotaPerS": 4.0}, {"Name": "b", "QuotaPerS": 9.0}, {"Name": "c"}],
        "OverShareWorth": 0.25, "ValueBy": if id == 4 { "work" } else { "request" },
        "Servers": 4, "Stage": 0, "Period": 5.0,
        "Domain": {
            "ClientsTotal": caller_count(id), "Cpus": 2, "HeapKb": 6000.0, "RunMemFactor": 8.0, "KeyKb": 10.0,
            "Downstream": downstream, "CallShare": 2.5, "CallsOver": 5000.0, "StaysFor": 40.0,
            "CallsByClass": [true, true, false], "DegradedWorth": [0.5, 0.0, 0.0],
            "Fresh": if id == 1 { 200.0 } else { 0.0 }, "Halt": preemption, "Say": feedback_signal, "Heeded": 2000.0,
            "Idle": 20000.0, "PassesDeadline": id != 3, "TellsGone": true, "Cold": id != 1,
            "Gauges": ["core_use", "on_cores", "heap_share", "links"], "DeepChecks": id == 2,
        },
        "Prices": {"Handshake": 1.0},
        "Limits": {"RetryAfter": true, "MaxRetryAfter": 4000.0},
        "Rules": {"ColdShare": 0.3, "Cold": 3000.0, "AnswerSlack": 80.0, "DrainGrace": 600.0,
                  "FallMultiple": 6.0, "TipAfter": 1500.0},
    })
}
