//! Pins the formats that leave the process: JSON on the operators' socket, in `--json` output and in a fence
//! file; postcard between members, in the log and in snapshots. The files in `wire_format/` hold them as
//! first released. They must not change when names in the code do: other builds of the fleet, scripts and
//! stored logs depend on them.

use std::fmt::Write as _;

use loomflow_fleet::command::{Entry, FleetCommand, FleetRequest, FleetResponse, Issuer};
use loomflow_fleet::consensus::StateMachine;
use loomflow_fleet::consensus::storage::ReplicaMetadata;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::schedule::{MissedRuns, Recurrence, Schedule};
use loomflow_fleet::duty::summary::Summary;
use loomflow_fleet::duty::{
    DutyCommand, DutyEvent, DutyEventKind, DutyList, DutyRejection, DutyResponse, DutySpec, DutyStatus,
    LeaseSettings, OwnedDuty, OwnerUpdate, Ownership, ServerInstance,
};
use loomflow_fleet::fleet_state::FleetState;
use loomflow_fleet::maintenance::FleetAvailability;
use loomflow_fleet::maintenance::campaign::{CampaignCommand, CampaignStatus, CampaignView};
use loomflow_fleet::maintenance::headroom::Estimate;
use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::scheduling::{Check, Explanation, Finding};
use loomflow_fleet::maintenance::state::TicketEvent;
use loomflow_fleet::maintenance::ticket::{
    Rejection, Ticket, TicketRequest, TicketStage, Transition, Urgency,
};
use loomflow_fleet::member::{LoadReport, MemberIdentity, MemberState, Phase, Replica};
use loomflow_fleet::operator::{OperatorRequest, OperatorResponse, OwnershipConfirmation};
use loomflow_fleet::status::{FleetStatus, MemberRow, SummaryReport};
use loomflow_fleet::wire::{self, Body, Message, Notification};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// One line for each value: its JSON and its postcard bytes in hexadecimal.
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn add<T: Serialize + DeserializeOwned>(&mut self, value: &T) {
        let json = serde_json::to_string(value).unwrap();
        let read: T = serde_json::from_str(&json).unwrap();
        assert_eq!(serde_json::to_string(&read).unwrap(), json);
        let hex = hex(&postcard::to_stdvec(value).unwrap());
        writeln!(self.0, "{json} {hex}").unwrap();
    }

    fn add_all<T: Serialize + DeserializeOwned>(&mut self, values: impl IntoIterator<Item = T>) {
        values.into_iter().for_each(|value| self.add(&value));
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
}

fn load_report() -> LoadReport {
    let (share, hold_time_ratio, limit, running, cores) = (0.5, 1.5, 8.0, 4.0, 2.0);
    LoadReport { phase: Phase::Serving, share, hold_time_ratio, limit, running, cores, healthy: true }
}

fn ticket_request() -> TicketRequest {
    let (server, zone, reason) = ("n1".into(), "z1".into(), "kernel".into());
    TicketRequest {
        server,
        zone,
        reason,
        urgency: Urgency::Urgent,
        duration_millis: 60_000,
        window: Some((1, 9)),
    }
}

fn ticket() -> Ticket {
    Ticket {
        id: 1,
        request_id: 2,
        request: ticket_request(),
        requested_by: "ops".into(),
        stage: TicketStage::Draining,
        requested_at: 3,
        since: 4,
        grant: 5,
        incarnation: 6,
        returned_incarnation: 7,
        lapses: 1,
        deadline: 8,
    }
}

fn schedule() -> Schedule {
    Schedule { recurrence: Recurrence::Every(60), missed_runs: MissedRuns::Once }
}

fn owned_duty() -> OwnedDuty {
    OwnedDuty {
        duty: "d".into(),
        token: 1,
        is_recalled: true,
        checkpoint: vec![7],
        last_run: 2,
        has_unfinished_run: true,
        is_run_requested: true,
        schedule: Some(schedule()),
    }
}

fn ownership() -> Ownership {
    Ownership {
        session: 3,
        lease_settings: LeaseSettings { lease_millis: 1_000, max_attempts: 3 },
        duties: vec![owned_duty()],
    }
}

fn owner() -> ServerInstance {
    ServerInstance { name: "n1".into(), incarnation: 9 }
}

fn summary() -> Summary {
    Summary {
        members: 3,
        serving: 2,
        carried_load: 4.0,
        capacity: 8.0,
        share: 0.5,
        fullest_zones: vec![("z1".into(), 0.75)],
        not_serving: vec!["n3".into()],
    }
}

fn duty_commands() -> Vec<DutyCommand> {
    use DutyCommand::*;
    let duty = || "d".to_owned();
    let declared = DutySpec { name: duty(), weight: 2, schedule: Some(schedule()) };
    let write = |update| Write { duty: duty(), token: 4, update };
    vec![
        Declare(LeaseSettings::default(), vec![declared]),
        KeepAlive(vec![owner()]),
        End(owner()),
        Assign(vec![(duty(), "n1".into())]),
        Recall(duty()),
        Release { duty: duty(), token: 4, successor: Some("n2".into()) },
        write(OwnerUpdate::Checkpoint(vec![1, 2])),
        write(OwnerUpdate::Began(5)),
        write(OwnerUpdate::Done(5)),
        write(OwnerUpdate::Failed(5, "exit status: 1".into())),
        Park(duty(), "look".into()),
        Resume(duty()),
        Run(duty(), 11),
    ]
}

fn duty_responses() -> Vec<DutyResponse> {
    let row = DutyStatus {
        duty: "d".into(),
        owner: Some(owner()),
        token: 4,
        since: 5,
        is_recalled: true,
        parked: Some("look".into()),
        recent_failures: vec!["lost".into()],
        last_run: 6,
        has_unfinished_run: true,
        is_run_requested: true,
        rejected_writes: 7,
    };
    let kinds = [
        DutyEventKind::Taken,
        DutyEventKind::Released,
        DutyEventKind::Lost,
        DutyEventKind::Began,
        DutyEventKind::Done,
        DutyEventKind::Failed,
        DutyEventKind::Parked,
        DutyEventKind::Resumed,
        DutyEventKind::Rejected,
    ];
    let event = |kind| DutyEvent {
        at: 1,
        duty: "d".into(),
        token: 4,
        owner: "n1".into(),
        kind,
        detail: "why".into(),
    };
    let rejections = [
        DutyRejection::Unknown("d".into()),
        DutyRejection::Stale { duty: "d".into(), token: 1, current: 2 },
        DutyRejection::EarlierIncarnation(3),
        DutyRejection::Begun { duty: "d".into(), run: 4 },
        DutyRejection::Invalid("no".into()),
    ];
    let list = DutyList {
        duties: vec![row],
        sessions: vec!["n1".into()],
        lease_settings: LeaseSettings::default(),
        time: 8,
        events: kinds.map(event).to_vec(),
    };
    let mut responses = vec![DutyResponse::Done, DutyResponse::Ownership(ownership())];
    responses.extend(rejections.map(DutyResponse::Rejected));
    responses.push(DutyResponse::List(Box::new(list)));
    responses
}

fn campaign_commands() -> Vec<CampaignCommand> {
    use CampaignCommand::*;
    let name = || "kernel".to_owned();
    vec![
        Start { name: name(), requests: vec![ticket_request()], batch_size: 2 },
        Resume(name()),
        Drop(name()),
        Next { name: name(), from_index: 1, share_before: 0.5, token: 3 },
        Halt { name: name(), from_index: 1, reason: "worse".into(), token: 3 },
    ]
}

fn campaign_views() -> Vec<CampaignView> {
    let view = |status| CampaignView {
        name: "kernel".into(),
        requested_by: "ops".into(),
        status,
        next_index: 1,
        total: 2,
        last_batch: vec![("n1".into(), Some(TicketStage::Done)), ("n2".into(), None)],
        share_before: 0.5,
        share_now: Some(0.25),
        next_batch_share: None,
    };
    vec![
        view(CampaignStatus::Running),
        view(CampaignStatus::Halted("worse".into())),
        view(CampaignStatus::Done),
    ]
}

fn rules() -> Rules {
    Rules { max_out_per_zone: Some(Limit::Share(0.25)), ..Rules::default() }
}

fn availability() -> FleetAvailability {
    FleetAvailability { zone_sizes: vec![("z1".into(), 3)], unavailable: vec![("n3".into(), "z1".into())] }
}

fn commands() -> Vec<FleetCommand> {
    let mut commands = vec![
        FleetCommand::CreateTickets(vec![ticket_request()]),
        FleetCommand::Grant { ticket: 1, incarnation: 6, availability: availability() },
        FleetCommand::Pause("storm".into()),
        FleetCommand::Resume,
        FleetCommand::Rules(rules()),
        FleetCommand::DrainedWithoutTicket("n1".into()),
        FleetCommand::Clock,
    ];
    commands.extend(Transition::ALL.map(|transition| FleetCommand::Transition {
        ticket: 1,
        transition,
        grant: 5,
        incarnation: 6,
    }));
    commands.extend(duty_commands().into_iter().map(FleetCommand::Duty));
    commands.extend(campaign_commands().into_iter().map(FleetCommand::Campaign));
    commands
}

fn rejections() -> Vec<Rejection> {
    vec![
        Rejection::Unknown,
        Rejection::Closed(TicketStage::Done),
        Rejection::TooLate(TicketStage::Offline),
        Rejection::TooEarly(TicketStage::Requested),
        Rejection::Superseded { grant: 1, current: 2 },
        Rejection::OtherIncarnation,
        Rejection::NotPermitted,
        Rejection::NoSlot { out: 1, limit: 1, zone: Some("z1".into()) },
        Rejection::Voters { remaining: 1, needed: 2 },
        Rejection::Paused,
        Rejection::WindowNotOpen,
        Rejection::HasSlot(3),
        Rejection::TooMany(4),
        Rejection::Invalid("no".into()),
        Rejection::NoLeader,
    ]
}

fn status() -> FleetStatus {
    let states = [
        MemberState::Cold,
        MemberState::Serving,
        MemberState::Draining,
        MemberState::Out,
        MemberState::Suspect,
        MemberState::Down,
        MemberState::Left,
    ];
    let member = |state| MemberRow {
        name: "n1".into(),
        zone: "z1".into(),
        address: "127.0.0.1:7".into(),
        incarnation: 6,
        state,
        is_voter: true,
        load_report: Some(load_report()),
        report_age_millis: Some(10),
        ticket: Some((1, TicketStage::Offline)),
    };
    FleetStatus {
        fleet: "riga".into(),
        leader: Some("n1".into()),
        term: 1,
        index: 2,
        voters: vec!["n1".into()],
        is_from_leader: true,
        members: states.map(member).to_vec(),
        rules: rules(),
        paused: Some("storm".into()),
        open: 3,
        out: 4,
        drains_without_ticket: 5,
        time: 6,
        storage_error: Some("full".into()),
        summary: Some(SummaryReport { owner: "n1".into(), token: 7, age_millis: 8, summary: summary() }),
        rejected_messages: 9,
    }
}

fn explanation() -> Explanation {
    let checks = [
        Check::Pause,
        Check::Window,
        Check::Server,
        Check::LoadReports,
        Check::Budget,
        Check::Voters,
        Check::Headroom,
        Check::Leader,
        Check::Queue,
    ];
    let finding =
        |check| Finding { check, is_satisfied: false, actual: 1.0, required: 2.0, detail: Some("n2".into()) };
    Explanation {
        server: "n1".into(),
        state: Some(MemberState::Serving),
        ticket: Some((1, TicketStage::Requested)),
        findings: checks.map(finding).to_vec(),
        estimate: Estimate { current_load: 1.0, peak_load: 2.0, remaining_capacity: 3.0 },
    }
}

fn responses() -> Vec<FleetResponse> {
    let event = |stage| TicketEvent { at: 1, ticket: 2, server: "n1".into(), stage, grant: 3 };
    let mut responses = vec![
        FleetResponse::Done(vec![1, 2]),
        FleetResponse::Status(Box::new(status())),
        FleetResponse::Tickets {
            open: vec![ticket()],
            closed: vec![ticket()],
            events: TicketStage::ALL.map(event).to_vec(),
        },
        FleetResponse::Explanation(explanation()),
        FleetResponse::Campaigns(campaign_views()),
    ];
    responses.extend(rejections().into_iter().map(FleetResponse::Rejected));
    responses.extend(duty_responses().into_iter().map(FleetResponse::Duty));
    responses
}

fn requests() -> Vec<FleetRequest> {
    let issuers = [
        Issuer::Leader,
        Issuer::Server { name: "n1".into(), incarnation: 6 },
        Issuer::Operator("ops".into()),
    ];
    let mut requests: Vec<FleetRequest> =
        issuers.map(|issuer| FleetRequest::Execute { issuer, command: FleetCommand::Clock }).to_vec();
    requests.extend(
        commands().into_iter().map(|command| FleetRequest::Execute { issuer: Issuer::Leader, command }),
    );
    requests.extend([
        FleetRequest::Status,
        FleetRequest::Tickets,
        FleetRequest::Explain("n1".into()),
        FleetRequest::Duties,
        FleetRequest::Campaigns,
    ]);
    requests
}

/// Guards against changes of the JSON on the operators' socket and of the postcard bytes of the same values.
#[test]
fn operator_messages_keep_their_json_and_bytes() {
    let mut lines = Lines::default();
    lines.add_all(requests().into_iter().map(OperatorRequest::Fleet));
    lines.add_all([
        OperatorRequest::LocalStatus,
        OperatorRequest::Bootstrap,
        OperatorRequest::Recover,
        OperatorRequest::CheckOwnership("d".into()),
        OperatorRequest::WorkEnded("d".into()),
    ]);
    lines.add_all(responses().into_iter().map(OperatorResponse::Response));
    let owned = OwnershipConfirmation {
        token: 1,
        remaining_millis: 2,
        is_recalled: true,
        lease_settings: LeaseSettings::default(),
        checkpoint: vec![1],
    };
    lines.add_all([
        OperatorResponse::LocalStatus(Box::new(status())),
        OperatorResponse::Done,
        OperatorResponse::Owned(owned),
        OperatorResponse::NotOwned,
        OperatorResponse::Error("full".into()),
    ]);
    lines.add_all([Urgency::Routine, Urgency::Urgent, Urgency::Broken]);
    lines.add_all([Phase::Cold, Phase::Serving, Phase::Draining]);
    lines.add_all([Recurrence::Every(1), Recurrence::Cron("0 3 * * *".into())]);
    lines.add_all([MissedRuns::Skip, MissedRuns::Once]);
    let mut fence = Fence::default();
    assert_eq!(fence.admit("d", 5, |_| Ok::<(), ()>(())), Ok(()));
    lines.add(&fence);
    assert_same(&lines.0, include_str!("wire_format/operator.txt"));
}

/// Guards against changes of the length-prefixed postcard between members and of the stored metadata.
#[test]
fn member_messages_keep_their_bytes() {
    let replica = Replica { id: 1, group: 2 };
    let notification =
        Notification { sent_at: 1, leader: Some("n1".into()), term: 2, index: 3, ticket: Some(ticket()) };
    let bodies = [
        Body::Swim(vec![1]),
        Body::Raft { group: 2, bytes: vec![3] },
        Body::LoadReport { sent_at: 1, load_report: load_report(), replica: Some(replica) },
        Body::Notification(notification),
        Body::Request { id: 1, hops: 1, request: FleetRequest::Status },
        Body::Response { id: 1, response: FleetResponse::Done(vec![4]) },
        Body::Duties(ownership()),
        Body::Summary { token: 5, summary: summary() },
    ];
    let from = MemberIdentity::new("n1".into(), "z1".into(), ([127, 0, 0, 1], 7).into(), 6);
    let mut text = String::new();
    for body in bodies {
        let message = Message { fleet: "riga".into(), from: from.clone(), body };
        writeln!(text, "{}", hex(&wire::encode(&message).unwrap())).unwrap();
    }
    writeln!(text, "{}", hex(&ReplicaMetadata { incarnation: 6, replica }.encode())).unwrap();
    assert_same(&text, include_str!("wire_format/member.txt"));
}

/// Guards against changes of log entries, their results and snapshots, with a log that contains every kind of
/// entry.
#[test]
fn entries_and_snapshots_keep_their_bytes() {
    let mut text = String::new();
    let mut state = FleetState::default();
    state.set_voters(vec!["n1".into(), "n2".into(), "n3".into()]);
    let leader = |command| (Issuer::Leader, command);
    let operator = |command| (Issuer::Operator("ops".into()), command);
    let server = |command| (Issuer::Server { name: "n1".into(), incarnation: 6 }, command);
    let keep_alive = || DutyCommand::KeepAlive(vec![ServerInstance { name: "n1".into(), incarnation: 6 }]);
    let declared = DutySpec { name: "d".into(), weight: 2, schedule: Some(schedule()) };
    let mut entries = vec![
        leader(FleetCommand::Rules(rules())),
        operator(FleetCommand::CreateTickets(vec![TicketRequest { window: None, ..ticket_request() }])),
        leader(FleetCommand::Grant { ticket: 1, incarnation: 6, availability: FleetAvailability::default() }),
        server(FleetCommand::Transition {
            ticket: 1,
            transition: Transition::Accept,
            grant: 1,
            incarnation: 6,
        }),
        leader(FleetCommand::Duty(DutyCommand::Declare(LeaseSettings::default(), vec![declared]))),
        leader(FleetCommand::Duty(keep_alive())),
        leader(FleetCommand::Duty(DutyCommand::Assign(vec![("d".into(), "n1".into())]))),
        server(FleetCommand::Duty(DutyCommand::Write {
            duty: "d".into(),
            token: 1,
            update: OwnerUpdate::Began(60),
        })),
    ];
    let start =
        CampaignCommand::Start { name: "kernel".into(), requests: vec![ticket_request()], batch_size: 1 };
    entries.push(operator(FleetCommand::Campaign(start)));
    entries.extend(commands().into_iter().map(operator));
    for (index, (issuer, command)) in entries.into_iter().enumerate() {
        let entry = Entry { id: index as u128 + 1, at: index as u64, issuer, command };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        let output = state.apply(&bytes).unwrap();
        writeln!(text, "{} {}", hex(&bytes), hex(&postcard::to_stdvec(&output).unwrap())).unwrap();
    }
    let saved = state.save();
    writeln!(text, "{}", hex(&saved)).unwrap();
    assert_eq!(FleetState::load(&saved).unwrap().save(), saved);
    assert_same(&text, include_str!("wire_format/log.txt"));
}

/// Panics with the number of the first line that differs.
fn assert_same(actual: &str, released: &str) {
    for (index, (actual, released)) in actual.lines().zip(released.lines()).enumerate() {
        assert_eq!(actual, released, "line {}", index + 1);
    }
    assert_eq!(actual.lines().count(), released.lines().count(), "number of lines");
}
