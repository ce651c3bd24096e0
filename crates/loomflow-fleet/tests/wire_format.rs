//! The bytes that leave the process: JSON on the operators' socket, in `--json` output and in a fence file; postcard between
//! members, in the log and in snapshots. `wire_format.txt` holds them as they were first released. A name in the code may
//! change freely, these lines may not: another build of the fleet, a script or a stored log reads them.

use std::fmt::Write as _;

use loomflow_fleet::agreement::Machine;
use loomflow_fleet::agreement::disk::Stamp;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::schedule::{Missed, Schedule, When};
use loomflow_fleet::duty::summary::Summary;
use loomflow_fleet::duty::{self, Declared, Grant, Holder, Kept, Listed, Note, Row, Terms, What};
use loomflow_fleet::member::{Digest, Me, Phase, Seat, Standing};
use loomflow_fleet::operator::{Hear, Owned, Say};
use loomflow_fleet::order::campaign::{self, Stand};
use loomflow_fleet::order::choose::{Check, Explained, Finding};
use loomflow_fleet::order::headroom::Estimate;
use loomflow_fleet::order::rules::{Amount, Rules};
use loomflow_fleet::order::state::Happened;
use loomflow_fleet::order::ticket::{Move, Refusal, Stage, Ticket, Urgency, Wanted};
use loomflow_fleet::order::{Answer, Ask, By, Census, Command, Entry, MemberRow, Status, Told};
use loomflow_fleet::record::Record;
use loomflow_fleet::wire::{self, Body, Message, Notice};
use serde::Serialize;

/// One line for each value: its JSON, and its postcard bytes in hexadecimal.
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn add(&mut self, value: &impl Serialize) {
        let json = serde_json::to_string(value).unwrap();
        let hex = hex(&postcard::to_stdvec(value).unwrap());
        writeln!(self.0, "{json} {hex}").unwrap();
    }

    fn add_all<T: Serialize>(&mut self, values: impl IntoIterator<Item = T>) {
        values.into_iter().for_each(|value| self.add(&value));
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn digest() -> Digest {
    let (share, over_aim, limit, running, cores) = (0.5, 1.5, 8.0, 4.0, 2.0);
    Digest { phase: Phase::Serving, share, over_aim, limit, running, cores, healthy: true }
}

fn wanted() -> Wanted {
    let (server, zone, reason) = ("n1".into(), "z1".into(), "kernel".into());
    Wanted { server, zone, reason, urgency: Urgency::Urgent, lasts: 60_000, window: Some((1, 9)) }
}

fn ticket() -> Ticket {
    Ticket {
        id: 1,
        key: 2,
        wanted: wanted(),
        by: "ops".into(),
        stage: Stage::Draining,
        asked_at: 3,
        since: 4,
        grant: 5,
        incarnation: 6,
        returned: 7,
        lapses: 1,
        due: 8,
    }
}

fn schedule() -> Schedule {
    Schedule { when: When::Every(60), missed: Missed::Once }
}

fn grant() -> Grant {
    Grant {
        duty: "d".into(),
        token: 1,
        recalled: true,
        checkpoint: vec![7],
        last_run: 2,
        unended: true,
        wanted: true,
        schedule: Some(schedule()),
    }
}

fn kept() -> Kept {
    Kept { session: 3, terms: Terms { lease: 1_000, attempts: 3 }, held: vec![grant()] }
}

fn holder() -> Holder {
    Holder { name: "n1".into(), incarnation: 9 }
}

fn summary() -> Summary {
    Summary {
        members: 3,
        serving: 2,
        carries: 4.0,
        bears: 8.0,
        share: 0.5,
        worst: vec![("z1".into(), 0.75)],
        out: vec!["n3".into()],
    }
}

fn duty_commands() -> Vec<duty::Command> {
    use duty::Command::*;
    let duty = || "d".to_owned();
    let declared = Declared { name: duty(), weight: 2, schedule: Some(schedule()) };
    let write = |note| Write { duty: duty(), token: 4, note };
    vec![
        Declare(Terms::default(), vec![declared]),
        KeepAlive(vec![holder()]),
        End(holder()),
        Assign(vec![(duty(), "n1".into())]),
        Recall(duty()),
        Release { duty: duty(), token: 4, to: Some("n2".into()) },
        write(Note::Checkpoint(vec![1, 2])),
        write(Note::Began(5)),
        write(Note::Done(5)),
        write(Note::Failed(5, "exit status: 1".into())),
        Park(duty(), "look".into()),
        Resume(duty()),
        Run(duty(), 11),
    ]
}

fn duty_answers() -> Vec<duty::Answer> {
    use duty::Refusal;
    let row = Row {
        duty: "d".into(),
        owner: Some(holder()),
        token: 4,
        since: 5,
        recalled: true,
        parked: Some("look".into()),
        strikes: vec!["lost".into()],
        last_run: 6,
        unended: true,
        wanted: true,
        refused: 7,
    };
    let kinds = [
        What::Taken,
        What::Released,
        What::Lost,
        What::Began,
        What::Done,
        What::Failed,
        What::Parked,
        What::Resumed,
        What::Refused,
    ];
    let event = |what| duty::Happened {
        at: 1,
        duty: "d".into(),
        token: 4,
        owner: "n1".into(),
        what,
        detail: "why".into(),
    };
    let refusals = [
        Refusal::Unknown("d".into()),
        Refusal::Stale { duty: "d".into(), token: 1, counts: 2 },
        Refusal::FormerSelf(3),
        Refusal::Begun { duty: "d".into(), run: 4 },
        Refusal::Bad("no".into()),
    ];
    let listed = Listed {
        duties: vec![row],
        sessions: vec!["n1".into()],
        terms: Terms::default(),
        time: 8,
        events: kinds.map(event).to_vec(),
    };
    let mut answers = vec![duty::Answer::Done, duty::Answer::Kept(kept())];
    answers.extend(refusals.map(duty::Answer::Refused));
    answers.push(duty::Answer::List(Box::new(listed)));
    answers
}

fn campaign_commands() -> Vec<campaign::Command> {
    use campaign::Command::*;
    let name = || "kernel".to_owned();
    vec![
        Start { name: name(), wanted: vec![wanted()], batch: 2 },
        Resume(name()),
        Drop(name()),
        Next { name: name(), from: 1, base: 0.5, token: 3 },
        Halt { name: name(), from: 1, reason: "worse".into(), token: 3 },
    ]
}

fn campaign_views() -> Vec<campaign::View> {
    let view = |stand| campaign::View {
        name: "kernel".into(),
        by: "ops".into(),
        stand,
        next: 1,
        all: 2,
        last: vec![("n1".into(), Some(Stage::Done)), ("n2".into(), None)],
        base: 0.5,
        now: Some(0.25),
        coming: None,
    };
    vec![view(Stand::Runs), view(Stand::Halted("worse".into())), view(Stand::Done)]
}

fn rules() -> Rules {
    Rules { zone_out: Some(Amount::Share(0.25)), ..Rules::default() }
}

fn census() -> Census {
    Census { zones: vec![("z1".into(), 3)], away: vec![("n3".into(), "z1".into())] }
}

fn commands() -> Vec<Command> {
    let mut commands = vec![
        Command::Ask(vec![wanted()]),
        Command::Grant { ticket: 1, incarnation: 6, census: census() },
        Command::Pause("storm".into()),
        Command::Resume,
        Command::Rules(rules()),
        Command::Unasked("n1".into()),
        Command::Clock,
    ];
    commands.extend(Move::ALL.map(|by| Command::Move { ticket: 1, by, grant: 5, incarnation: 6 }));
    commands.extend(duty_commands().into_iter().map(Command::Duty));
    commands.extend(campaign_commands().into_iter().map(Command::Campaign));
    commands
}

fn refusals() -> Vec<Refusal> {
    vec![
        Refusal::Unknown,
        Refusal::Over(Stage::Done),
        Refusal::UnderWay(Stage::Out),
        Refusal::NotYet(Stage::Asked),
        Refusal::Superseded { grant: 1, holds: 2 },
        Refusal::OtherIncarnation,
        Refusal::NotYours,
        Refusal::NoPlace { out: 1, most: 1, zone: Some("z1".into()) },
        Refusal::Voters { stay: 1, needed: 2 },
        Refusal::Paused,
        Refusal::Window,
        Refusal::HoldsPlace(3),
        Refusal::TooMany(4),
        Refusal::Bad("no".into()),
        Refusal::NoLeader,
    ]
}

fn status() -> Status {
    let states = [
        Standing::Cold,
        Standing::Serving,
        Standing::Leaving,
        Standing::Out,
        Standing::Suspect,
        Standing::Down,
        Standing::Gone,
    ];
    let member = |standing| MemberRow {
        name: "n1".into(),
        zone: "z1".into(),
        address: "127.0.0.1:7".into(),
        incarnation: 6,
        standing,
        voter: true,
        digest: Some(digest()),
        age: Some(10),
        ticket: Some((1, Stage::Out)),
    };
    Status {
        fleet: "riga".into(),
        leader: Some("n1".into()),
        term: 1,
        index: 2,
        voters: vec!["n1".into()],
        fresh: true,
        members: states.map(member).to_vec(),
        rules: rules(),
        paused: Some("storm".into()),
        open: 3,
        out: 4,
        unasked: 5,
        time: 6,
        fault: Some("full".into()),
        summary: Some(Told { by: "n1".into(), token: 7, age: 8, summary: summary() }),
        refused: 9,
    }
}

fn explained() -> Explained {
    let checks = [
        Check::Pause,
        Check::Window,
        Check::Server,
        Check::Evidence,
        Check::Budget,
        Check::Voters,
        Check::Headroom,
        Check::Leader,
        Check::Turn,
    ];
    let finding = |check| Finding { check, holds: false, have: 1.0, need: 2.0, who: Some("n2".into()) };
    Explained {
        server: "n1".into(),
        standing: Some(Standing::Serving),
        ticket: Some((1, Stage::Asked)),
        findings: checks.map(finding).to_vec(),
        estimate: Estimate { now: 1.0, most: 2.0, stay: 3.0 },
    }
}

fn answers() -> Vec<Answer> {
    let event = |stage| Happened { at: 1, ticket: 2, server: "n1".into(), stage, grant: 3 };
    let mut answers = vec![
        Answer::Done(vec![1, 2]),
        Answer::Status(Box::new(status())),
        Answer::Tickets {
            open: vec![ticket()],
            over: vec![ticket()],
            events: Stage::ALL.map(event).to_vec(),
        },
        Answer::Explained(explained()),
        Answer::Campaigns(campaign_views()),
    ];
    answers.extend(refusals().into_iter().map(Answer::Refused));
    answers.extend(duty_answers().into_iter().map(Answer::Duty));
    answers
}

fn asks() -> Vec<Ask> {
    let issuers = [By::Leader, By::Server { name: "n1".into(), incarnation: 6 }, By::Operator("ops".into())];
    let mut asks: Vec<Ask> = issuers.map(|by| Ask::Do { by, command: Command::Clock }).to_vec();
    asks.extend(commands().into_iter().map(|command| Ask::Do { by: By::Leader, command }));
    asks.extend([Ask::Status, Ask::Tickets, Ask::Explain("n1".into()), Ask::Duties, Ask::Campaigns]);
    asks
}

/// The operators' socket: its answers and requests are lines of JSON.
#[test]
fn operator_messages_keep_their_json_and_all_values_their_bytes() {
    let mut lines = Lines::default();
    lines.add_all(asks().into_iter().map(Say::Fleet));
    lines.add_all([Say::Here, Say::Found, Say::Recover, Say::Owns("d".into()), Say::LetGo("d".into())]);
    lines.add_all(answers().into_iter().map(Hear::Answer));
    let owned = Owned { token: 1, left: 2, recalled: true, terms: Terms::default(), checkpoint: vec![1] };
    lines.add_all([
        Hear::Here(Box::new(status())),
        Hear::Done,
        Hear::Owned(owned),
        Hear::NotOwned,
        Hear::Fault("full".into()),
    ]);
    lines.add_all([Urgency::Routine, Urgency::Urgent, Urgency::Broken]);
    lines.add_all([Phase::Cold, Phase::Serving, Phase::Leaving]);
    lines.add_all([When::Every(1), When::Cron("0 3 * * *".into())]);
    lines.add_all([Missed::Skip, Missed::Once]);
    let mut fence = Fence::default();
    assert_eq!(fence.admit("d", 5, |_| Ok::<(), ()>(())), Ok(()));
    lines.add(&fence);
    assert_same(&lines.0, include_str!("wire_format/operator.txt"));
}

/// Members speak postcard behind a length.
#[test]
fn member_messages_keep_their_bytes() {
    let seat = Seat { id: 1, group: 2 };
    let notice = Notice { sent: 1, leader: Some("n1".into()), term: 2, index: 3, ticket: Some(ticket()) };
    let bodies = [
        Body::Swim(vec![1]),
        Body::Raft { group: 2, bytes: vec![3] },
        Body::Digest { sent: 1, digest: digest(), seat: Some(seat) },
        Body::Notice(notice),
        Body::Ask { id: 1, hops: 1, ask: Ask::Status },
        Body::Answer { id: 1, answer: Answer::Done(vec![4]) },
        Body::Duties(kept()),
        Body::Summary { token: 5, summary: summary() },
    ];
    let from = Me::new("n1".into(), "z1".into(), ([127, 0, 0, 1], 7).into(), 6);
    let mut text = String::new();
    for body in bodies {
        let message = Message { fleet: "riga".into(), from: from.clone(), body };
        writeln!(text, "{}", hex(&wire::seal(&message).unwrap())).unwrap();
    }
    writeln!(text, "{}", hex(&Stamp { incarnation: 6, seat }.encode())).unwrap();
    assert_same(&text, include_str!("wire_format/member.txt"));
}

/// A log of every kind of entry gives the snapshot that it always gave.
#[test]
fn entries_and_snapshots_keep_their_bytes() {
    let mut text = String::new();
    let mut record = Record::default();
    record.voters(vec!["n1".into(), "n2".into(), "n3".into()]);
    let leader = |command| (By::Leader, command);
    let operator = |command| (By::Operator("ops".into()), command);
    let server = |command| (By::Server { name: "n1".into(), incarnation: 6 }, command);
    let own = || duty::Command::KeepAlive(vec![Holder { name: "n1".into(), incarnation: 6 }]);
    let declared = Declared { name: "d".into(), weight: 2, schedule: Some(schedule()) };
    let mut entries = vec![
        leader(Command::Rules(rules())),
        operator(Command::Ask(vec![Wanted { window: None, ..wanted() }])),
        leader(Command::Grant { ticket: 1, incarnation: 6, census: Census::default() }),
        server(Command::Move { ticket: 1, by: Move::Begin, grant: 1, incarnation: 6 }),
        leader(Command::Duty(duty::Command::Declare(Terms::default(), vec![declared]))),
        leader(Command::Duty(own())),
        leader(Command::Duty(duty::Command::Assign(vec![("d".into(), "n1".into())]))),
        server(Command::Duty(duty::Command::Write { duty: "d".into(), token: 1, note: Note::Began(60) })),
    ];
    let start = campaign::Command::Start { name: "kernel".into(), wanted: vec![wanted()], batch: 1 };
    entries.push(operator(Command::Campaign(start)));
    entries.extend(commands().into_iter().map(operator));
    for (at, (by, command)) in entries.into_iter().enumerate() {
        let entry = Entry { id: at as u128 + 1, at: at as u64, by, command };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        let output = record.apply(&bytes).unwrap();
        writeln!(text, "{} {}", hex(&bytes), hex(&postcard::to_stdvec(&output).unwrap())).unwrap();
    }
    let saved = record.save();
    writeln!(text, "{}", hex(&saved)).unwrap();
    assert_eq!(Record::load(&saved).unwrap().save(), saved);
    assert_same(&text, include_str!("wire_format/log.txt"));
}

/// Names the first line that differs.
fn assert_same(actual: &str, released: &str) {
    for (at, (now, before)) in actual.lines().zip(released.lines()).enumerate() {
        assert_eq!(now, before, "line {}", at + 1);
    }
    assert_eq!(actual.lines().count(), released.lines().count(), "lines");
}
