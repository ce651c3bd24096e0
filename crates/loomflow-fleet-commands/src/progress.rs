//! `work watch` and `work wait`: wait until tickets reach a stage.

use std::collections::BTreeSet;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use loomflow_fleet::maintenance::ticket::{Ticket, TicketId, TicketStage};

use crate::client::{Client, TicketLists};
use crate::error::CommandError;
use crate::exit_code;

/// How often the tickets are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Failed polls in a row after which the command fails.
const MAX_FAILED_POLLS: usize = 40;
/// Failed polls in a row after which a draining server counts as stopped, if its socket refuses connections.
const FAILED_POLLS_OF_STOPPED_SERVER: usize = 4;

/// Shows a progress bar until no ticket is open. Failed polls, for example during a change of leader, are retried.
pub fn watch(client: &Client) -> Result<ExitCode, CommandError> {
    let bar = ProgressBar::new(0);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} done  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let mut known_tickets: BTreeSet<TicketId> = BTreeSet::new();
    let mut failed_polls = 0;
    loop {
        match client.tickets() {
            Ok(TicketLists { open, .. }) => {
                failed_polls = 0;
                known_tickets.extend(open.iter().map(|ticket| ticket.id));
                bar.set_length(known_tickets.len() as u64);
                bar.set_position((known_tickets.len() - open.len()) as u64);
                bar.set_message(servers_out(&open));
                if open.is_empty() {
                    bar.finish();
                    return Ok(ExitCode::SUCCESS);
                }
            }
            Err(error) if failed_polls >= MAX_FAILED_POLLS => return Err(error),
            Err(error) => {
                failed_polls += 1;
                bar.set_message(error.to_string());
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn servers_out(open: &[Ticket]) -> String {
    let out = open.iter().filter(|ticket| ticket.stage.has_slot());
    let out = out.map(|ticket| format!("{} {}", ticket.request.server, ticket.stage.as_str()));
    out.collect::<Vec<_>>().join(", ")
}

/// The outcome of `work wait`.
struct WaitOutcome {
    /// One of the codes in [`exit_code`].
    exit_code: u8,
    /// Printed after the server's name.
    message: &'static str,
}

impl WaitOutcome {
    fn drained(message: &'static str) -> WaitOutcome {
        WaitOutcome { exit_code: exit_code::DRAINED, message }
    }

    fn not_drained(message: &'static str) -> WaitOutcome {
        WaitOutcome { exit_code: exit_code::NOT_DRAINED, message }
    }

    fn superseded(message: &'static str) -> WaitOutcome {
        WaitOutcome { exit_code: exit_code::SUPERSEDED, message }
    }
}

/// State of `work wait` between polls.
struct Wait<'a> {
    client: &'a Client,
    server: &'a str,
    /// The ticket found first. Tickets that the server gets later are ignored.
    ticket: Option<TicketId>,
    /// Whether the server was seen to begin its drain.
    has_begun: bool,
    /// Failed polls in a row.
    failed_polls: usize,
}

/// Waits until the server has drained, for a script that then reboots it.
pub fn wait(client: &Client, server: &str, timeout: Duration) -> Result<ExitCode, CommandError> {
    let deadline = Instant::now() + timeout;
    let mut wait = Wait { client, server, ticket: None, has_begun: false, failed_polls: 0 };
    let mut outcome = WaitOutcome::not_drained("has not drained within --timeout");
    while Instant::now() < deadline {
        if let Some(reached) = wait.poll()? {
            outcome = reached;
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    println!("{server}: {}", outcome.message);
    Ok(ExitCode::from(outcome.exit_code))
}

impl Wait<'_> {
    fn poll(&mut self) -> Result<Option<WaitOutcome>, CommandError> {
        match self.client.tickets() {
            Ok(tickets) => {
                self.failed_polls = 0;
                Ok(self.outcome(&tickets))
            }
            // The polled server may be the draining one, whose socket closes when it stops.
            Err(_) if self.has_begun && !self.client.is_reachable() => {
                self.failed_polls += 1;
                let has_stopped = self.failed_polls >= FAILED_POLLS_OF_STOPPED_SERVER;
                Ok(has_stopped.then_some(WaitOutcome::drained("drained and stopped")))
            }
            Err(error) => {
                self.failed_polls += 1;
                if self.failed_polls >= MAX_FAILED_POLLS { Err(error) } else { Ok(None) }
            }
        }
    }

    /// Returns the outcome for the ticket's stage, or `None` while it is still waited for.
    fn outcome(&mut self, tickets: &TicketLists) -> Option<WaitOutcome> {
        let Some((stage, has_returned)) = self.find(tickets) else {
            return Some(WaitOutcome::not_drained("has no open ticket"));
        };
        match stage {
            TicketStage::Requested | TicketStage::Granted => None,
            TicketStage::Accepted | TicketStage::Draining => {
                self.has_begun = true;
                None
            }
            TicketStage::Offline => Some(WaitOutcome::drained("drained")),
            TicketStage::Overdue if !has_returned => Some(WaitOutcome::drained("drained, but overdue")),
            TicketStage::Withdrawn => Some(WaitOutcome::not_drained("its ticket was withdrawn")),
            TicketStage::Lapsed => Some(WaitOutcome::not_drained("its ticket lapsed")),
            _ => Some(WaitOutcome::superseded("its ticket is past the drain")),
        }
    }

    /// Returns the stage of the ticket that is waited for, and whether its server has restarted since.
    fn find(&mut self, tickets: &TicketLists) -> Option<(TicketStage, bool)> {
        let is_own = |ticket: &&Ticket| {
            ticket.request.server == self.server && self.ticket.is_none_or(|id| id == ticket.id)
        };
        let closed = || tickets.closed.iter().filter(|_| self.ticket.is_some()).find(is_own);
        let ticket = tickets.open.iter().find(is_own).or_else(closed)?;
        let found = (ticket.stage, ticket.returned_incarnation != 0);
        self.ticket = Some(ticket.id);
        Some(found)
    }
}
