//! The adapter's lines, byte for byte: a recorded conversation that has every settings key, event and action in it.
//!
//! `transcript/input.jsonl` and `transcript/output.jsonl` were recorded with the build of a2e1c2e:
//!
//!     ADAPTER=target/release/loomflow-adapter cargo test -p loomflow-adapter --test transcript -- --ignored record
//!
//! Names in the code may change freely, these lines may not: the simulator reads them, and its scores rest on the
//! arithmetic behind them.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use serde_json::{Value, json};

/// How long the recorded conversation lasts, and the time between two batches, ms.
const END_MS: u64 = 9_000;
const BATCH_MS: u64 = 25;
/// Dispositions of a call or a run on the wire.
const OK: u64 = 10;
const CANCELLED: u64 = 70;
const CALL_DISPOSITIONS: [u64; 10] = [OK, OK, OK, OK, 20, 30, 40, 50, 60, 80];
const RUN_DISPOSITIONS: [u64; 8] = [OK, OK, OK, OK, OK, OK, 20, 80];

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/transcript").join(name)
}

/// A running adapter.
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
        let input = child.stdin.take().expect("its input");
        let output = BufReader::new(child.stdout.take().expect("its output"));
        Adapter { child, input, output }
    }

    fn answer(&mut self, line: &str) -> String {
        writeln!(self.input, "{line}").expect("the adapter reads");
        let mut answer = String::new();
        self.output.read_line(&mut answer).expect("the adapter answers");
        answer.trim_end().to_owned()
    }

    fn end(mut self) {
        drop(self.input);
        assert!(self.child.wait().expect("the adapter ends").success());
    }
}

#[test]
fn a_recorded_conversation_is_answered_with_the_same_bytes() {
    let input = std::fs::read_to_string(fixture("input.jsonl")).expect("the recorded input");
    let output = std::fs::read_to_string(fixture("output.jsonl")).expect("the recorded output");
    assert_eq!(input.lines().count(), output.lines().count());
    let mut adapter = Adapter::start(env!("CARGO_BIN_EXE_loomflow-adapter"));
    for (number, (line, recorded)) in input.lines().zip(output.lines()).enumerate() {
        assert_eq!(adapter.answer(line), recorded, "line {}: {line}", number + 1);
    }
    adapter.end();
}

#[test]
fn the_recorded_conversation_has_every_event_and_action() {
    let input = std::fs::read_to_string(fixture("input.jsonl")).expect("the recorded input");
    let output = std::fs::read_to_string(fixture("output.jsonl")).expect("the recorded output");
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
    // JOURNAL_LINE is known to the wire, and the module has nothing to say in it.
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
        assert!(input.contains(&format!("\"msg\":\"{event}\"")), "{event}");
    }
    for action in actions {
        assert!(output.contains(&format!("\"msg\":\"{action}\"")), "{action}");
    }
}

#[test]
#[ignore = "writes the fixture; see the head of this file"]
fn record() {
    let program = std::env::var("ADAPTER").expect("ADAPTER names the program to record");
    let mut adapter = Adapter::start(&program);
    let mut fleet = Fleet::default();
    let (mut input, mut output) = (String::new(), String::new());
    for number in 0..=END_MS / BATCH_MS {
        let line = fleet.batch(number, number * BATCH_MS);
        let answer = adapter.answer(&line);
        fleet.take_actions(&answer, number * BATCH_MS);
        writeln!(input, "{line}").unwrap();
        writeln!(output, "{answer}").unwrap();
    }
    adapter.end();
    std::fs::write(fixture("input.jsonl"), input).expect("the input is written");
    std::fs::write(fixture("output.jsonl"), output).expect("the output is written");
}

/// A linear congruential generator: the same draws on every machine.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn one_of(&mut self, values: &[u64]) -> u64 {
        values[self.below(values.len() as u64) as usize]
    }
}

/// What an instance has been told to run.
struct Run {
    class: u64,
    began_at: u64,
    calls_left: u64,
}

#[derive(Default)]
struct Instance {
    runs: BTreeMap<u64, Run>,
    /// Classes of what was sent to it.
    classes: BTreeMap<u64, u64>,
    /// Requests whose results it keeps.
    retained: Vec<u64>,
    /// Events to come, by time.
    due: Vec<(u64, Value)>,
    is_leaving: bool,
}

/// The instances, with an engine and callers for each.
struct Fleet {
    draws: Draws,
    instances: BTreeMap<u64, Instance>,
    next_ref: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { draws: Draws(51_070_003), instances: BTreeMap::new(), next_ref: 1 }
    }
}

impl Fleet {
    fn batch(&mut self, number: u64, now: u64) -> String {
        let mut items = Vec::new();
        self.scheduled(now, &mut items);
        for id in self.instances.keys().copied().collect::<Vec<_>>() {
            self.due(id, now, &mut items);
            self.arrivals(id, now, &mut items);
        }
        json!({"Ts": now as f64, "batch": number, "items": items}).to_string()
    }

    /// Starts, restarts and ends of instances.
    fn scheduled(&mut self, now: u64, items: &mut Vec<Value>) {
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
            self.instances.get_mut(&2).expect("instance 2").is_leaving = true;
            items.push(json!({"msg": "TERMINATE_SOON", "ServerId": 2, "Remaining": 1800.0}));
        }
    }

    fn due(&mut self, id: u64, now: u64, items: &mut Vec<Value>) {
        let instance = self.instances.get_mut(&id).expect("an instance");
        let (due, later) = std::mem::take(&mut instance.due).into_iter().partition(|(at, _)| *at <= now);
        instance.due = later;
        let due: Vec<(u64, Value)> = due;
        for (_, mut event) in due {
            let request = event["Ref"].as_u64().unwrap_or(0);
            match event["msg"].as_str().expect("a message") {
                "ALARM" => event["Load"] = self.gauges(id),
                "BLOCKED" | "FINISHED" if !self.runs(id, request) => continue,
                "FINISHED" => drop(self.instances.get_mut(&id).expect("an instance").runs.remove(&request)),
                _ => {}
            }
            items.push(event);
        }
        if self.draws.below(20) == 0 {
            self.withdraw(id, items);
        }
    }

    fn runs(&self, id: u64, request: u64) -> bool {
        self.instances[&id].runs.contains_key(&request)
    }

    fn gauges(&mut self, id: u64) -> Value {
        let runs = self.instances[&id].runs.len() as f64;
        let busy = (runs / 2.0).min(1.0);
        let links = 10.0 + self.draws.below(20) as f64;
        json!([busy, runs + self.draws.below(3) as f64, 0.5, links])
    }

    fn withdraw(&mut self, id: u64, items: &mut Vec<Value>) {
        let known: Vec<u64> = self.instances[&id].classes.keys().copied().collect();
        if let Some(request) = known.last() {
            items.push(json!({"msg": "WITHDRAWN", "ServerId": id, "Ref": request}));
        }
    }

    /// Requests: few at first, too many in the middle, few at the end.
    fn arrivals(&mut self, id: u64, now: u64, items: &mut Vec<Value>) {
        let crowd = if (2_000..5_000).contains(&now) { 3 } else { 1 };
        for _ in 0..crowd {
            if self.draws.below(4) == 0 {
                items.push(self.arrival(id));
            }
        }
    }

    fn arrival(&mut self, id: u64) -> Value {
        let request = self.next_ref;
        self.next_ref += 1;
        let class = self.draws.below(3);
        let instance = self.instances.get_mut(&id).expect("an instance");
        instance.classes.insert(request, class);
        let mut item = json!({
            "msg": "WORK_ITEM", "ServerId": id, "Ref": request, "Service": class, "Account": self.draws.below(3),
            "Remaining": 600.0 + self.draws.below(2_000) as f64, "Kb": 20.0 + self.draws.below(30) as f64,
            "Prio": self.draws.below(100) as f64 / 100.0, "Resent": self.draws.below(5) == 0,
            "From": self.draws.below(callers(id)), "Age": self.draws.below(30) as f64,
        });
        item["WeightHint"] = match self.draws.below(3) {
            0 => Value::Null,
            _ => json!(40.0 + self.draws.below(160) as f64),
        };
        let retained = &self.instances[&id].retained;
        let repeats = class == 1 && self.draws.below(3) == 0;
        if let Some(original) = retained.last().filter(|_| repeats) {
            item["SameAs"] = json!(original);
        }
        item
    }

    fn take_actions(&mut self, answer: &str, now: u64) {
        let answer: Value = serde_json::from_str(answer).expect("an answer is JSON");
        for action in answer["outbox"].as_array().expect("an outbox") {
            let id = action["ServerId"].as_u64().expect("an instance");
            self.take_action(id, action, now);
        }
    }

    fn take_action(&mut self, id: u64, action: &Value, now: u64) {
        let request = action["Ref"].as_u64().unwrap_or(0);
        match action["msg"].as_str().expect("a message") {
            "TAKE" => self.begin(id, request, now),
            "REPLAY" => {
                let took = 100 + self.draws.below(100);
                self.finish(id, request, now, took, OK);
            }
            "ABORT_WORK" => self.finish(id, request, now, 10, CANCELLED),
            "GO_CALL" => {
                let spent = 10 + self.draws.below(120);
                let disposition = self.draws.one_of(&CALL_DISPOSITIONS);
                self.later(id, now + spent, "CAME_BACK", request, Some((disposition, spent)));
            }
            "DEGRADE" => self.go_on(id, request, now),
            "RETAIN" => self.instances.get_mut(&id).expect("an instance").retained.push(request),
            "SET_TIMER" => {
                let at = action["AlarmTime"].as_f64().expect("a time") as u64;
                self.later(id, at, "ALARM", request, None);
            }
            _ => {}
        }
    }

    fn begin(&mut self, id: u64, request: u64, now: u64) {
        let class = self.instances[&id].classes[&request];
        let calls_left = if class == 2 { 0 } else { self.draws.below(3) };
        let instance = self.instances.get_mut(&id).expect("an instance");
        instance.runs.insert(request, Run { class, began_at: now, calls_left });
        self.go_on(id, request, now);
    }

    /// A run works for a while, then needs a call or is over.
    fn go_on(&mut self, id: u64, request: u64, now: u64) {
        let work = 30 + self.draws.below(150);
        let disposition = self.draws.one_of(&RUN_DISPOSITIONS);
        let instance = self.instances.get_mut(&id).expect("an instance");
        let Some(run) = instance.runs.get_mut(&request) else { return };
        if run.calls_left > 0 && run.class != 2 {
            run.calls_left -= 1;
            self.later(id, now + work, "BLOCKED", request, None);
            // Whatever becomes of the call, the run is over some time.
            self.later(id, now + 900, "FINISHED", request, Some((disposition, 900)));
        } else {
            let took = now + work - run.began_at;
            self.later(id, now + work, "FINISHED", request, Some((disposition, took)));
        }
    }

    fn finish(&mut self, id: u64, request: u64, now: u64, after: u64, disposition: u64) {
        let instance = self.instances.get_mut(&id).expect("an instance");
        instance.runs.entry(request).or_insert(Run { class: 2, began_at: now, calls_left: 0 });
        self.later(id, now + after, "FINISHED", request, Some((disposition, after)));
    }

    fn later(&mut self, id: u64, at: u64, message: &str, request: u64, ended: Option<(u64, u64)>) {
        let mut event = json!({"msg": message, "ServerId": id, "Ref": request});
        if let Some((disposition, spent)) = ended {
            event["Disposition"] = json!(disposition);
            event["Spent"] = json!(spent as f64);
        }
        self.instances.get_mut(&id).expect("an instance").due.push((at, event));
    }
}

/// Few callers come back; of many, hardly one does.
fn callers(id: u64) -> u64 {
    if id == 4 { 5_000 } else { 12 }
}

/// Settings with every key; instances differ in what they call, how they tell and what stopping does.
fn settings(id: u64) -> Value {
    let downstream = ["shared", "shared", "tier", "off"][id as usize - 1];
    let say = ["weight", "level", "credit", "off"][id as usize - 1];
    let halt = ["drop", "off", "pause", "drop"][id as usize - 1];
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
            "ClientsTotal": callers(id), "Cpus": 2, "HeapKb": 6000.0, "RunMemFactor": 8.0, "KeyKb": 10.0,
            "Downstream": downstream, "CallShare": 2.5, "CallsOver": 5000.0, "StaysFor": 40.0,
            "CallsByClass": [true, true, false], "DegradedWorth": [0.5, 0.0, 0.0],
            "Fresh": if id == 1 { 200.0 } else { 0.0 }, "Halt": halt, "Say": say, "Heeded": 2000.0,
            "Idle": 20000.0, "PassesDeadline": id != 3, "TellsGone": true, "Cold": id != 1,
            "Gauges": ["core_use", "on_cores", "heap_share", "links"], "DeepChecks": id == 2,
        },
        "Prices": {"Handshake": 1.0},
        "Limits": {"RetryAfter": true, "MaxRetryAfter": 4000.0},
        "Rules": {"ColdShare": 0.3, "Cold": 3000.0, "AnswerSlack": 80.0, "DrainGrace": 600.0,
                  "FallMultiple": 6.0, "TipAfter": 1500.0},
    })
}
