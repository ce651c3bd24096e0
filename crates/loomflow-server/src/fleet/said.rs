//! What `loomflow fleet` prints: tables for people.

use comfy_table::{CellAlignment, Table, presets};
use loomflow_fleet::duty::{self, Listed};
use loomflow_fleet::order::campaign::{Stand, View};
use loomflow_fleet::order::choose::Explained;
use loomflow_fleet::order::rules::Amount;
use loomflow_fleet::order::state::Happened;
use loomflow_fleet::order::ticket::{Refusal, Ticket};
use loomflow_fleet::order::{MemberRow, Status};

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>, right: &[usize]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head.iter().copied());
    table.add_rows(rows);
    for (at, column) in table.column_iter_mut().enumerate() {
        if right.contains(&at) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.trim_fmt()
}

fn seconds(ms: u64) -> String {
    humantime::format_duration(std::time::Duration::from_secs(ms / 1000)).to_string()
}

fn amount(amount: Amount) -> String {
    match amount {
        Amount::Count(count) => count.to_string(),
        Amount::Share(share) => format!("{}%", share * 100.0),
    }
}

pub fn status(status: &Status) -> String {
    let leader = status.leader.as_deref().unwrap_or("none");
    let zone = status.rules.zone_out.map_or(String::new(), |most| format!(", {} in a zone", amount(most)));
    let mut text = format!(
        "fleet {}: {} members, leader {leader}, term {}, log at {}{}\n{} out or about to go, {} may be{zone}; {} tickets open; {} left without one\n",
        status.fleet,
        status.members.len(),
        status.term,
        status.index,
        if status.fresh { "" } else { " (as seen here, which does not lead)" },
        status.out,
        amount(status.rules.out),
        status.open,
        status.unasked,
    );
    if let Some(reason) = &status.paused {
        text += &format!("work is paused: {reason}\n");
    }
    if let Some(told) = &status.summary {
        let sum = &told.summary;
        let worst: Vec<String> =
            sum.worst.iter().map(|(zone, full)| format!("{zone} {:.0}%", full * 100.0)).collect();
        text += &format!(
            "summed up {:.1} s ago by {} (token {}): {} of {} serve, {:.1} of {:.1} runs at once, share {:.2}, fullest {}\n",
            told.age as f64 / 1000.0,
            told.by,
            told.token,
            sum.serving,
            sum.members,
            sum.carries,
            sum.bears,
            sum.share,
            worst.join(", "),
        );
    }
    if status.refused > 0 {
        text += &format!("{} orders of old owners were refused here\n", status.refused);
    }
    if let Some(fault) = &status.fault {
        text += &format!("this server takes no part in the agreement: {fault}\n");
    }
    let mut members: Vec<&MemberRow> = status.members.iter().collect();
    members.sort_by(|a, b| (&a.zone, &a.name).cmp(&(&b.zone, &b.name)));
    let rows = members.into_iter().map(|member| {
        let figure = |of: fn(&loomflow_fleet::member::Digest) -> f32| {
            member.digest.as_ref().map_or("-".into(), |digest| format!("{:.2}", of(digest)))
        };
        let ticket = member.ticket.map_or("-".into(), |(id, stage)| format!("{id} {}", stage.word()));
        let role = match (member.voter, Some(&member.name) == status.leader.as_ref()) {
            (_, true) => "leader",
            (true, _) => "voter",
            _ => "",
        };
        vec![
            member.zone.clone(),
            member.name.clone(),
            role.into(),
            member.standing.word().into(),
            ticket,
            figure(|digest| digest.share),
            figure(|digest| digest.over_aim),
            figure(|digest| digest.running),
            figure(|digest| digest.limit),
            member.age.map_or("-".into(), |age| format!("{:.1}", age as f64 / 1000.0)),
        ]
    });
    let head = ["zone", "server", "role", "state", "ticket", "share", "hold/aim", "runs", "limit", "age s"];
    text + &table(&head, rows, &[5, 6, 7, 8, 9])
}

pub fn tickets(tickets: &[Ticket], now: Option<u64>) -> String {
    let rows = tickets.iter().map(|ticket| {
        vec![
            ticket.id.to_string(),
            ticket.wanted.server.clone(),
            ticket.wanted.zone.clone(),
            ticket.stage.word().into(),
            now.map_or("-".into(), |now| seconds(now.saturating_sub(ticket.since))),
            format!("{:?}", ticket.wanted.urgency).to_lowercase(),
            seconds(ticket.wanted.lasts),
            ticket.by.clone(),
            ticket.wanted.reason.clone(),
        ]
    });
    table(&["ticket", "server", "zone", "state", "since", "urgency", "for", "by", "reason"], rows, &[0])
}

pub fn events(events: &[Happened]) -> String {
    let rows = events.iter().map(|one| {
        let grant = if one.grant > 0 { one.grant.to_string() } else { "-".into() };
        vec![
            format!("{:.1}", one.at as f64 / 1000.0),
            one.ticket.to_string(),
            one.server.clone(),
            one.stage.word().into(),
            grant,
        ]
    });
    table(&["at s", "ticket", "server", "came to", "grant"], rows, &[0, 1])
}

pub fn explained(told: &Explained) -> String {
    let standing = told.standing.map_or("not known to the fleet", |standing| standing.word());
    let mut text = match told.ticket {
        None => format!("{}: {standing}, no ticket is open\n", told.server),
        Some((id, stage)) => format!("{}: {standing}, ticket {id} {}\n", told.server, stage.word()),
    };
    for finding in &told.findings {
        text += &format!("  {} {finding}\n", if finding.holds { "holds" } else { "WAITS" });
    }
    let estimate = &told.estimate;
    text += &format!(
        "  without it: {:.1} runs at once now, {:.1} the most of the last minutes; those who stay bear {:.1}\n",
        estimate.now, estimate.most, estimate.stay
    );
    text
}

pub fn refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Unknown => "no such ticket is known".into(),
        Refusal::Over(stage) => format!("the ticket is {}", stage.word()),
        Refusal::UnderWay(stage) => format!("it has gone too far for this: {}", stage.word()),
        Refusal::NotYet(stage) => format!("it is not so far: {}", stage.word()),
        Refusal::Superseded { grant, holds } => format!("grant {grant} is superseded by {holds}"),
        Refusal::OtherIncarnation => "another start of that server is meant".into(),
        Refusal::NotYours => "that is not this hand's to do".into(),
        Refusal::NoPlace { out, most, zone } => {
            let place = zone.as_ref().map_or(String::new(), |zone| format!(" in zone {zone}"));
            format!("{out} are out{place}, {most} may be")
        }
        Refusal::Voters { stay, needed } => format!("{stay} voters would stay, {needed} are needed"),
        Refusal::Paused => "work is paused".into(),
        Refusal::Window => "its window is not open".into(),
        Refusal::HoldsPlace(ticket) => format!("it holds a place by ticket {ticket}"),
        Refusal::TooMany(count) => format!("{count} are open, as many as there may be"),
        Refusal::Bad(what) => what.clone(),
        Refusal::NoLeader => "no leader could be reached; whether it was done is not known".into(),
    }
}

pub fn duties(list: &Listed) -> String {
    let rows = list.duties.iter().map(|row| {
        let owner = row.owner.as_ref().map_or("-".into(), |owner| owner.name.clone());
        let state = match (&row.parked, &row.owner) {
            (Some(why), _) => format!("parked: {why}"),
            (None, Some(_)) if row.recalled => "to be handed over".into(),
            (None, Some(_)) if row.unended => format!("runs {}", row.last_run),
            (None, Some(_)) => "owned".into(),
            (None, None) => "free".into(),
        };
        vec![
            row.duty.clone(),
            owner,
            row.token.to_string(),
            state,
            seconds(list.time.saturating_sub(row.since)),
            if row.last_run > 0 { row.last_run.to_string() } else { "-".into() },
            row.strikes.len().to_string(),
            row.refused.to_string(),
        ]
    });
    let head = ["duty", "owner", "token", "state", "since", "last run", "strikes", "refused"];
    table(&head, rows, &[2, 6, 7]) + "\n"
}

pub fn duty_events(events: &[duty::Happened]) -> String {
    let rows = events.iter().map(|one| {
        vec![
            format!("{:.1}", one.at as f64 / 1000.0),
            one.duty.clone(),
            one.token.to_string(),
            one.owner.clone(),
            one.what.word().into(),
            one.detail.clone(),
        ]
    });
    table(&["at s", "duty", "token", "owner", "what", "detail"], rows, &[0, 2])
}

pub fn duty_refusal(refusal: &duty::Refusal) -> String {
    match refusal {
        duty::Refusal::Unknown(duty) => format!("no duty is called {duty:?}"),
        duty::Refusal::Stale { duty, token, counts } => {
            format!("{duty}: token {token} is of an old owner, {counts} counts")
        }
        duty::Refusal::FormerSelf(left) => {
            format!("an earlier start of this server may own something for {left} ms more")
        }
        duty::Refusal::Begun { duty, run } => format!("{duty}: run {run} has begun already"),
        duty::Refusal::Bad(what) => what.clone(),
    }
}

pub fn campaigns(views: &[View]) -> String {
    let rows = views.iter().map(|view| {
        let last = view.last.iter().map(|(server, stage)| {
            format!("{server} {}", stage.map_or("long over", loomflow_fleet::order::ticket::Stage::word))
        });
        vec![
            view.name.clone(),
            match &view.stand {
                Stand::Runs => "runs".into(),
                Stand::Halted(why) => format!("halted: {why}"),
                Stand::Done => "done".into(),
            },
            format!("{} of {}", view.next, view.all),
            last.collect::<Vec<_>>().join(", "),
            view.by.clone(),
        ]
    });
    table(&["campaign", "state", "asked", "last batch", "by"], rows, &[2])
}
