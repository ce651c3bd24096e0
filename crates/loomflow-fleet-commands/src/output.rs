//! Human-readable output of `loomflow fleet`: tables and short texts.

use std::fmt::Write as _;
use std::time::Duration;

use comfy_table::{CellAlignment, Table, presets};
use loomflow_fleet::duty::summary::Summary;
use loomflow_fleet::duty::{DutyEvent, DutyList, DutyStatus};
use loomflow_fleet::maintenance::campaign::{CampaignStatus, CampaignView};
use loomflow_fleet::maintenance::rules::Limit;
use loomflow_fleet::maintenance::scheduling::Explanation;
use loomflow_fleet::maintenance::state::TicketEvent;
use loomflow_fleet::maintenance::ticket::{Ticket, TicketStage};
use loomflow_fleet::member::LoadReport;
use loomflow_fleet::status::{FleetStatus, MemberRow, SummaryReport};
use loomflow_fleet::time::{self, FleetMillis, IntegerMillis, whole_seconds};

/// Printed in place of a missing value.
const NONE: &str = "-";

/// Formats a table; `right_aligned` lists the columns to align to the right.
fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>, right_aligned: &[usize]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header.iter().copied());
    table.add_rows(rows);
    for (index, column) in table.column_iter_mut().enumerate() {
        if right_aligned.contains(&index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.trim_fmt()
}

/// Formats a duration in whole seconds, such as `1m 20s`.
fn duration(millis: IntegerMillis) -> String {
    humantime::format_duration(Duration::from_secs(whole_seconds(millis))).to_string()
}

/// Formats milliseconds as seconds with one decimal.
fn seconds(millis: IntegerMillis) -> String {
    format!("{:.1}", time::seconds(millis))
}

fn limit(limit: Limit) -> String {
    match limit {
        Limit::Count(count) => count.to_string(),
        Limit::Share(share) => format!("{}%", share * 100.0),
    }
}

/// Formats the status of the fleet.
pub fn status(status: &FleetStatus) -> String {
    let mut text = status_header(status);
    if let Some(reason) = &status.paused {
        let _ = writeln!(text, "grants are paused: {reason}");
    }
    if let Some(report) = &status.summary {
        text += &summary(report);
    }
    if status.rejected_messages > 0 {
        let _ = writeln!(
            text,
            "{} messages of former duty owners were rejected by this server",
            status.rejected_messages
        );
    }
    if let Some(error) = &status.storage_error {
        let _ = writeln!(text, "this server takes no part in consensus: {error}");
    }
    text + &members(status)
}

fn status_header(status: &FleetStatus) -> String {
    let leader = status.leader.as_deref().unwrap_or("none");
    let source = if status.is_from_leader { "" } else { " (seen by this server, which is not the leader)" };
    let per_zone = status.rules.max_out_per_zone;
    let per_zone = per_zone.map_or(String::new(), |max| format!(", {} per zone", limit(max)));
    let fleet = format!(
        "fleet {}: {} members, leader {leader}, term {}, log index {}{source}\n",
        status.fleet,
        status.members.len(),
        status.term,
        status.index,
    );
    fleet
        + &format!(
            "{} servers out or granted, limit {}{per_zone}; {} tickets open; {} drains without a ticket\n",
            status.out,
            limit(status.rules.max_out),
            status.open,
            status.drains_without_ticket,
        )
}

fn summary(report: &SummaryReport) -> String {
    let Summary { members, serving, carried_load, capacity, share, fullest_zones, .. } = &report.summary;
    let fullest: Vec<String> =
        fullest_zones.iter().map(|(zone, fill)| format!("{zone} {:.0}%", fill * 100.0)).collect();
    format!(
        "summary {} s ago by {} (token {}): {serving} of {members} members serving, {carried_load:.1} of {capacity:.1} \
         concurrent runs, share {share:.2}, fullest zones {}\n",
        seconds(report.age_millis),
        report.owner,
        report.token,
        fullest.join(", "),
    )
}

fn members(status: &FleetStatus) -> String {
    let mut members: Vec<&MemberRow> = status.members.iter().collect();
    members.sort_by_key(|member| (&member.zone, &member.name));
    let header = ["zone", "server", "role", "state", "ticket", "share", "hold/aim", "runs", "limit", "age s"];
    let rows = members.into_iter().map(|member| member_row(member, status.leader.as_ref()));
    table(&header, rows, &[5, 6, 7, 8, 9])
}

fn member_row(member: &MemberRow, leader: Option<&String>) -> Vec<String> {
    let figure = |field: fn(&LoadReport) -> f32| {
        member.load_report.as_ref().map_or(NONE.into(), |report| format!("{:.2}", field(report)))
    };
    let ticket = member.ticket.map_or(NONE.into(), |(id, stage)| format!("{id} {}", stage.as_str()));
    let role = match (member.is_voter, Some(&member.name) == leader) {
        (_, true) => "leader",
        (true, _) => "voter",
        _ => "",
    };
    vec![
        member.zone.clone(),
        member.name.clone(),
        role.into(),
        member.state.as_str().into(),
        ticket,
        figure(|report| report.share),
        figure(|report| report.hold_time_ratio),
        figure(|report| report.running),
        figure(|report| report.limit),
        member.report_age_millis.map_or(NONE.into(), seconds),
    ]
}

/// Formats open tickets. `now` is the fleet's time; without it the column "since" shows [`NONE`].
pub fn tickets(tickets: &[Ticket], now: Option<FleetMillis>) -> String {
    let rows = tickets.iter().map(|ticket| {
        vec![
            ticket.id.to_string(),
            ticket.request.server.clone(),
            ticket.request.zone.clone(),
            ticket.stage.as_str().into(),
            now.map_or(NONE.into(), |now| duration(now.saturating_sub(ticket.since))),
            format!("{:?}", ticket.request.urgency).to_lowercase(),
            duration(ticket.request.duration_millis),
            ticket.requested_by.clone(),
            ticket.request.reason.clone(),
        ]
    });
    table(&["ticket", "server", "zone", "state", "since", "urgency", "for", "by", "reason"], rows, &[0])
}

/// Formats the history of tickets.
pub fn ticket_events(events: &[TicketEvent]) -> String {
    let rows = events.iter().map(|event| {
        vec![
            seconds(event.at),
            event.ticket.to_string(),
            event.server.clone(),
            event.stage.as_str().into(),
            if event.grant > 0 { event.grant.to_string() } else { NONE.into() },
        ]
    });
    table(&["at s", "ticket", "server", "came to", "grant"], rows, &[0, 1])
}

/// Formats why a server's ticket waits, check by check.
pub fn explanation(explanation: &Explanation) -> String {
    let server = &explanation.server;
    let state = explanation.state.map_or("not a member of the fleet", |state| state.as_str());
    let mut text = match explanation.ticket {
        None => format!("{server}: {state}, no open ticket\n"),
        Some((id, stage)) => format!("{server}: {state}, ticket {id} {}\n", stage.as_str()),
    };
    for finding in &explanation.findings {
        let result = if finding.is_satisfied { "holds" } else { "WAITS" };
        let _ = writeln!(text, "  {result} {finding}");
    }
    let estimate = &explanation.estimate;
    let _ = writeln!(
        text,
        "  concurrent runs of the fleet: {:.1} now, recent peak {:.1}; capacity of the servers that stay {:.1}",
        estimate.current_load, estimate.peak_load, estimate.remaining_capacity
    );
    text
}

/// Formats all duties.
pub fn duties(list: &DutyList) -> String {
    let rows = list.duties.iter().map(|duty| {
        let owner = duty.owner.as_ref().map_or(NONE.into(), |owner| owner.name.clone());
        vec![
            duty.duty.clone(),
            owner,
            duty.token.to_string(),
            duty_state(duty),
            duration(list.time.saturating_sub(duty.since)),
            if duty.last_run > 0 { duty.last_run.to_string() } else { NONE.into() },
            duty.recent_failures.len().to_string(),
            duty.rejected_writes.to_string(),
        ]
    });
    let header = ["duty", "owner", "token", "state", "since", "last run", "strikes", "refused"];
    table(&header, rows, &[2, 6, 7]) + "\n"
}

fn duty_state(duty: &DutyStatus) -> String {
    match (&duty.parked, &duty.owner) {
        (Some(reason), _) => format!("parked: {reason}"),
        (None, Some(_)) if duty.is_recalled => "being released".into(),
        (None, Some(_)) if duty.has_unfinished_run => format!("runs {}", duty.last_run),
        (None, Some(_)) => "owned".into(),
        (None, None) => "free".into(),
    }
}

/// Formats the history of duties.
pub fn duty_events(events: &[DutyEvent]) -> String {
    let rows = events.iter().map(|event| {
        vec![
            seconds(event.at),
            event.duty.clone(),
            event.token.to_string(),
            event.owner.clone(),
            event.kind.as_str().into(),
            event.detail.clone(),
        ]
    });
    table(&["at s", "duty", "token", "owner", "what", "detail"], rows, &[0, 2])
}

/// Formats all campaigns.
pub fn campaigns(views: &[CampaignView]) -> String {
    let rows = views.iter().map(|view| {
        let last_batch = view.last_batch.iter().map(|(server, stage)| {
            format!("{server} {}", stage.map_or("no longer listed", TicketStage::as_str))
        });
        let status = match &view.status {
            CampaignStatus::Running => "runs".into(),
            CampaignStatus::Halted(reason) => format!("halted: {reason}"),
            CampaignStatus::Done => "done".into(),
        };
        vec![
            view.name.clone(),
            status,
            format!("{} of {}", view.next_index, view.total),
            last_batch.collect::<Vec<_>>().join(", "),
            view.requested_by.clone(),
        ]
    });
    table(&["campaign", "state", "asked", "last batch", "by"], rows, &[2])
}
