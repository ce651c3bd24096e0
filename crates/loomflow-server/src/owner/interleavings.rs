//! Property test of the link to the engine. Generated interleavings of requests, runs, calls, links lost at any byte, replays
//! and address changes run against a model of the engine in place of its socket.

mod engine_model;
mod messages;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use loomflow_protocol::AttemptId;
use loomflow_protocol::gateway::{Call, MAX_OPEN_REQUESTS, Request};
use loomflow_protocol::ledger::{Reply, ReplyStatus};
use proptest::prelude::*;

use super::*;
use crate::close_reason::CloseReason;
use crate::connection;
use crate::connection::ConnectionHandle;
use crate::front::fixtures;
use crate::mailbox::{FrontEvent, GatewayEvent, LinkId};
use engine_model::{EngineModel, result_of};
use messages::ReceivedResponse;

const GATEWAY: u64 = 1;
/// The timeout of a request. The latency objective is half of it, which is longer than all steps of an interleaving take.
const TIMEOUT_MS: f64 = 60_000.0;
/// A command that was sent this long before its link is lost counts as delivered.
const DELIVERY_TIME: Duration = Duration::from_millis(300);
const READ: &str = "read";
const PAYMENT: &str = "pay";
const BOOKING: &str = "book";
/// A read may run again, a payment must not, and a booking carries an idempotency key.
const CLASSES: [&str; 3] = [READ, PAYMENT, BOOKING];
/// More rounds of [`EngineLinkModel::settle`] than the requests of any interleaving need to finish.
const SETTLE_ROUNDS: usize = 400;
/// Seconds after which all unfinished requests have timed out.
const TIMEOUT_S: usize = 80;

/// A step of an interleaving. A choice is an index, taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum EngineLinkStep {
    /// The gateway sends a request of the class with this index in [`CLASSES`].
    SubmitRequest(usize),
    /// The operating system takes at most this many bytes from the server, which are then in transit to the engine.
    WriteCommands(usize),
    /// The engine reads and executes all commands in transit.
    ReceiveCommands,
    /// A run continues to its next call or to its end.
    AdvanceRun(usize),
    /// The server reads at most this many notices.
    DeliverNotices(usize),
    /// The ledger replies to a call in flight.
    ReplyToCall(usize),
    /// The link is lost. At most this many of the bytes in transit reach the engine, and no notice reaches the server.
    LoseLink(usize),
    /// The engine's address changes. All commands in transit reach the engine, and then at most this many notices are read on
    /// the former link.
    ChangeAddress(usize),
    /// The current link is attached and its replay ends.
    Attach,
    /// All data in transit arrives, and [`DELIVERY_TIME`] passes.
    Wait,
}

fn engine_link_step() -> impl Strategy<Value = EngineLinkStep> {
    prop_oneof![
        3 => (0..CLASSES.len()).prop_map(EngineLinkStep::SubmitRequest),
        3 => (1..200usize).prop_map(EngineLinkStep::WriteCommands),
        3 => Just(EngineLinkStep::ReceiveCommands),
        4 => (0..8usize).prop_map(EngineLinkStep::AdvanceRun),
        4 => (1..4usize).prop_map(EngineLinkStep::DeliverNotices),
        3 => (0..8usize).prop_map(EngineLinkStep::ReplyToCall),
        2 => (0..200usize).prop_map(EngineLinkStep::LoseLink),
        1 => (0..4usize).prop_map(EngineLinkStep::ChangeAddress),
        2 => Just(EngineLinkStep::Attach),
        1 => Just(EngineLinkStep::Wait),
    ]
}

/// A configuration with addresses where nothing listens: the test stands in for both engine and ledger.
fn config() -> Config {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "HardLimit": TIMEOUT_MS, "OnTime": TIMEOUT_MS / 2.0,
            "Points": 1.0, "Window": 5000.0})
    };
    let classes = [class(READ, "safe"), class(PAYMENT, "unsafe"), class(BOOKING, "keyed")];
    let text = serde_json::json!({"name": "n", "listen": "127.0.0.1:8", "engine": "127.0.0.1:9",
        "ledger": "127.0.0.1:9", "seed": "1", "stop_ms": 3000, "settings": {
            "Classes": classes,
            "Domain": {"Cpus": 4, "HeapKb": 200_000.0, "RunMemFactor": 8.0, "KeyKb": 1.0, "Downstream": "tier",
                "CallsByClass": [true, true, true], "Gauges": ["core_use", "on_cores", "heap_share", "links"]},
            "Rules": {"FallMultiple": 5.0, "TipAfter": 2000.0}}});
    Config::parse(&text.to_string()).expect("the configuration is valid")
}

/// The owner under test, with models of its peers.
struct EngineLinkModel {
    owner: Owner,
    engine: EngineModel,
    gateway: Arc<ConnectionHandle>,
    /// All submitted requests: attempt ids by tag.
    submitted: BTreeMap<u64, AttemptId>,
    responses: Vec<ReceivedResponse>,
    engine_port: u16,
    /// Requests whose run may or may not have received a reply when a link was lost. Only these may fail.
    uncertain: BTreeSet<AttemptId>,
}

impl EngineLinkModel {
    fn new() -> EngineLinkModel {
        connection::configure_runtime();
        let mailbox = Arc::new(Mailbox::default());
        // Nothing connects to the listener, so any port will do.
        let listen = ([127, 0, 0, 1], 0).into();
        let listener = Listener::bind(listen, 1_000.0, || false)
            .expect("bind the listener")
            .expect("no shutdown was requested");
        let owner = Owner::start(config(), &Options::default(), listener, &mailbox).expect("start the owner");
        let gateway = Arc::new(ConnectionHandle::new(Some(MAX_OPEN_REQUESTS)));
        let mut model = EngineLinkModel {
            owner,
            engine: EngineModel::default(),
            gateway,
            submitted: BTreeMap::new(),
            responses: Vec::new(),
            engine_port: 9,
            uncertain: BTreeSet::new(),
        };
        model.process_gateway_event(GatewayEvent::Connected(model.gateway.clone()));
        model.settle();
        model
    }

    fn process(&mut self, event: OwnerEvent) {
        self.owner.process_batch(vec![event]);
    }

    fn process_gateway_event(&mut self, event: GatewayEvent) {
        self.process(OwnerEvent::Front(FrontEvent::Gateway(GATEWAY, event)));
    }

    fn engine_link(&self) -> (LinkId, Arc<ConnectionHandle>) {
        self.owner.peers.engine.current_link()
    }

    fn apply(&mut self, step: &EngineLinkStep) {
        match *step {
            EngineLinkStep::SubmitRequest(class) => self.submit_request(CLASSES[class]),
            EngineLinkStep::WriteCommands(max_bytes) => self.write_commands(max_bytes),
            EngineLinkStep::ReceiveCommands => self.engine.receive_commands(),
            EngineLinkStep::AdvanceRun(choice) => self.engine.advance_run(choice),
            EngineLinkStep::DeliverNotices(max_count) => self.deliver_notices(max_count),
            EngineLinkStep::ReplyToCall(choice) => self.reply_to_call(choice),
            EngineLinkStep::LoseLink(arriving_bytes) => self.lose_link(arriving_bytes),
            EngineLinkStep::ChangeAddress(late_notices) => self.change_address(late_notices),
            EngineLinkStep::Attach => self.attach(),
            EngineLinkStep::Wait => self.wait(DELIVERY_TIME),
        }
        self.read_responses();
    }

    fn submit_request(&mut self, class: &str) {
        if self.submitted.len() >= MAX_OPEN_REQUESTS {
            return;
        }
        let tag = self.submitted.len() as u64 + 1;
        let id = AttemptId(0x1000 + tag);
        self.submitted.insert(tag, id);
        self.gateway.message_received();
        self.process_gateway_event(GatewayEvent::RequestReceived(Request::Call(Call {
            tag,
            class: class.into(),
            id,
            key: (class == BOOKING).then(|| format!("key {tag}")),
            body: b"body".to_vec(),
            ..fixtures::call(self.owner.clock.now().unix)
        })));
    }

    fn write_commands(&mut self, max_bytes: usize) {
        let (_, handle) = self.engine_link();
        self.engine.input.extend(handle.take_written(max_bytes));
        // The server sends a fence and the resent reply behind it in one small write, which the operating
        // system takes as a whole.
        if self.ends_with_fence() {
            self.engine.input.extend(handle.take_written(usize::MAX));
        }
    }

    /// Whether the data in transit to the engine ends with a complete `STAT` line, which is a fence.
    fn ends_with_fence(&self) -> bool {
        let lines = String::from_utf8_lossy(&self.engine.input);
        let last_line = lines.trim_end().rsplit("\r\n").next();
        lines.ends_with("\r\n") && last_line.is_some_and(|line| line.starts_with("STAT"))
    }

    fn deliver_notices(&mut self, max_count: usize) {
        for _ in 0..max_count {
            let Some(notice) = self.engine.output.pop_front() else { return };
            let (link, _) = self.engine_link();
            self.process(OwnerEvent::EngineNotice(link, notice));
        }
    }

    fn reply_to_call(&mut self, choice: usize) {
        let calls: Vec<(AttemptId, LinkId)> =
            self.submitted.values().filter_map(|id| Some((*id, self.ledger_link(*id)?))).collect();
        let Some((id, link)) = calls.get(choice % calls.len().max(1)).copied() else { return };
        let request_id = self.owner.requests.find_attempt(id).expect("the request of a call is in progress");
        let entry = self.owner.requests.get_mut(request_id).expect("the request is in the table");
        let reply = Reply { id, status: ReplyStatus::Posted(entry.call_body.clone()) };
        self.process(OwnerEvent::LedgerReply(link, reply));
    }

    /// The connection to the ledger that carries a call of this attempt.
    fn ledger_link(&self, id: AttemptId) -> Option<LinkId> {
        self.owner.peers.ledger.link_of(self.owner.requests.find_attempt(id)?)
    }

    fn lose_link(&mut self, arriving_bytes: usize) {
        self.uncertain.append(&mut messages::runs_with_reply(&self.engine.input));
        self.uncertain.append(&mut self.engine.recent_replies);
        self.engine.input.truncate(arriving_bytes);
        self.engine.receive_commands();
        self.engine.disconnect();
        let (link, _) = self.engine_link();
        self.process(OwnerEvent::EngineDisconnected(link, CloseReason::Reset));
    }

    fn change_address(&mut self, late_notices: usize) {
        self.engine.receive_commands();
        self.uncertain.append(&mut self.engine.recent_replies);
        let (former_link, _) = self.engine_link();
        self.engine_port = if self.engine_port == 9 { 10 } else { 9 };
        let address = ([127, 0, 0, 1], self.engine_port).into();
        if let Some(lost) = self.owner.peers.engine.set_address(address) {
            self.owner.engine_link_lost(lost);
        }
        for notice in self.engine.disconnect().into_iter().take(late_notices) {
            self.process(OwnerEvent::EngineNotice(former_link, notice));
        }
        self.process(OwnerEvent::EngineDisconnected(former_link, CloseReason::Aborted));
    }

    fn attach(&mut self) {
        for _ in 0..2 {
            self.write_commands(usize::MAX);
            self.engine.receive_commands();
            self.deliver_notices(usize::MAX);
        }
    }

    /// Lets all data in transit arrive, and then `duration` pass.
    fn wait(&mut self, duration: Duration) {
        // The first call completes a replay, the second delivers the commands that were sent at its end.
        self.attach();
        self.attach();
        self.engine.recent_replies.clear();
        self.owner.clock.advance(duration);
        self.owner.process_batch(Vec::new());
        self.read_responses();
    }

    fn read_responses(&mut self) {
        let responses = messages::parse_responses(&self.gateway.take_written(usize::MAX));
        let answered = responses.iter().filter_map(|response| self.submitted.get(&response.tag));
        self.engine.answered.extend(answered);
        self.responses.extend(responses);
    }

    /// Lets everything happen that needs no time to pass.
    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            self.write_commands(usize::MAX);
            self.engine.receive_commands();
            self.engine.advance_run(0);
            self.engine.stop_answered_runs();
            self.deliver_notices(usize::MAX);
            self.reply_to_call(0);
            self.read_responses();
        }
    }

    /// Finishes all requests. Those with an uncertain reply fail at their timeout.
    fn finish(&mut self) {
        self.settle();
        for _ in 0..TIMEOUT_S {
            self.wait(Duration::from_secs(1));
        }
        self.settle();
    }

    fn check_one_response_each(&self, steps: &[EngineLinkStep]) -> Result<(), TestCaseError> {
        let mut tags: Vec<u64> =
            self.responses.iter().map(|response| response.tag).filter(|tag| *tag > 0).collect();
        tags.sort_unstable();
        let submitted: Vec<u64> = self.submitted.keys().copied().collect();
        prop_assert_eq!(&tags, &submitted, "not exactly one response to each request after {:?}", steps);
        Ok(())
    }

    fn check_replies(&self) -> Result<(), TestCaseError> {
        for (id, run) in &self.engine.runs {
            let is_misdirected = run.class != READ && self.engine.misdirected_replies.contains(id);
            prop_assert!(!is_misdirected, "{} has an effect and received the reply to another call", id);
            let max_replies = if run.class == READ { 2 } else { 1 };
            let is_within_max = run.reply_counts.iter().all(|count| *count <= max_replies);
            prop_assert!(
                is_within_max,
                "{} received {:?} replies to its calls, at most {} each are allowed",
                id,
                run.reply_counts,
                max_replies
            );
        }
        Ok(())
    }

    fn check_response(&self, response: &ReceivedResponse) -> Result<(), TestCaseError> {
        let id = self.submitted[&response.tag];
        match response.status.as_str() {
            "OK" => {
                prop_assert_eq!(
                    &response.body,
                    &result_of(id),
                    "the response to {} does not have the result of its run",
                    id
                );
                let is_misdirected = self.engine.misdirected_replies.contains(&id);
                prop_assert!(!is_misdirected, "{} succeeded with the reply to another call", id);
            }
            "FAILED" => prop_assert!(
                self.uncertain.contains(&id),
                "{} failed although no reply to it was uncertain",
                id
            ),
            other => prop_assert!(false, "unexpected status of the response to {}: {}", id, other),
        }
        Ok(())
    }
}

/// Applies the steps, finishes all requests, and checks their responses and the replies that their runs received.
fn run_interleaving(steps: &[EngineLinkStep]) -> Result<(), TestCaseError> {
    let mut model = EngineLinkModel::new();
    for step in steps {
        model.apply(step);
    }
    model.finish();
    model.check_one_response_each(steps)?;
    model.check_replies()?;
    for response in model.responses.iter().filter(|response| response.tag > 0) {
        model.check_response(response)?;
    }
    prop_assert_eq!(model.owner.requests.len(), 0, "requests are left in the table");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_request_gets_one_correct_response(
        steps in proptest::collection::vec(engine_link_step(), 1..80),
    ) {
        run_interleaving(&steps)?;
    }
}

/// Regression test for a failure that the test above found. After the first loss the reply is uncertain, and in the second loss
/// none of its second copy is written. A third copy must still be sent behind a fence: if the first copy has arrived, the third
/// reaches the run's next call.
#[test]
fn reply_stays_uncertain_after_unwritten_second_copy() {
    use EngineLinkStep::*;
    let until_reply =
        [SubmitRequest(0), WriteCommands(35), ReceiveCommands, AdvanceRun(0), Attach, ReplyToCall(0), Attach];
    let two_losses = [LoseLink(0), Attach, LoseLink(0), Attach, AdvanceRun(0)];
    run_interleaving(&[&until_reply[..], &two_losses[..]].concat()).expect("all checks pass");
}
