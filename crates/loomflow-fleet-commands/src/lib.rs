//! `loomflow fleet …`: operator commands, sent to the server on this machine and through it to the fleet's leader.
//!
//! - `arguments`: parses the command line;
//! - `client`: sends requests over the operators' socket;
//! - `tickets`: builds the ticket requests of `work ask`;
//! - `progress`: `work watch` and `work wait`;
//! - `duties`: `fleet duty …`, except for the process of `duty run`;
//! - `job_process`: `duty run`: the process of a duty, terminated before its lease can expire;
//! - `fence`: `fleet fence …`: checks fencing tokens for scripts that receive effects;
//! - `output`: human-readable output;
//! - [`exit_code`]: exit codes that scripts and the server rely on;
//! - `error`: errors of the command line and of commands.

mod arguments;
mod client;
mod duties;
mod error;
pub mod exit_code;
mod fence;
mod job_process;
mod output;
mod progress;
mod tickets;

use std::process::ExitCode;

use loomflow_fleet::command::{FleetCommand, FleetRequest, FleetResponse};
use loomflow_fleet::maintenance::campaign::CampaignCommand;
use loomflow_fleet::maintenance::ticket::{TicketId, Transition};
use loomflow_fleet::operator::{OperatorRequest, OperatorResponse};
use loomflow_fleet::status::FleetStatus;

use arguments::{CommandLine, FleetSubcommand};
use client::Client;
use error::CommandError;
pub use error::UsageError;
use tickets::TicketOptions;

/// The help text of `loomflow fleet`, printed by `help` and after a usage error.
pub const USAGE: &str = "\
usage: loomflow fleet COMMAND [--options FILE | --socket PATH] [--json]

  status                      leader, limits and members by zone, each with its state, ticket and load
  explain NAME                why the ticket of this server waits: each check with its figures
  work ask (--server NAME)… | --zone ZONE | --all | --file FILE
           [--reason TEXT] [--urgency routine|urgent|broken] [--for 20m] [--window 30m..4h]
                              requests tickets to take these servers out for maintenance
           [--campaign NAME --batch N]
                              requests them in batches of N, as a campaign: halts when a ticket fails, or when the
                              share of traffic that a batch's servers request drops (requires fleet.duties)
  work campaigns | resume NAME | drop NAME
                              lists the campaigns; resumes one that halted; deletes one
  work withdraw|write-off TICKET…
                              withdraws tickets whose servers have not begun to drain; abandons those of servers
                              that will not return
  work pause REASON | resume  stops granting tickets; grants them again
  work list | history         open tickets; past events of all tickets
  work watch                  shows a progress bar until no ticket is open
  work wait --server NAME [--timeout 30m]
                              waits until the server has drained: exits with 0 once it has, with 3 if it has no
                              valid ticket or has not drained in time, with 4 if its ticket is past the drain
  duty list | show NAME | history
                              duties with their owners and fencing tokens; past events
  duty run NAME [--wait 30s] [--longest 1h] -- COMMAND
                              runs a command as the owner of the duty, with LOOMFLOW_DUTY and LOOMFLOW_TOKEN set,
                              and terminates it before the lease can expire: exits with 0 if the command succeeded,
                              with 1 if it failed, with 3 if this server did not own the duty, with 4 if the command
                              was stopped because the duty was lost or given up
  duty start NAME             makes the owner run the duty's program once, now
  duty release|park|resume NAME [REASON]
                              moves the duty to another owner; leaves it without an owner; assigns it again
  fence FILE --duty NAME --token N -- COMMAND
                              runs a command unless FILE records a higher token: exits with 4 then, otherwise with
                              the command's exit code
  found                       creates the fleet with this voter; needed once
  recover --yes               recreates the fleet from this voter's data directory after a majority of the voters
                              lost theirs

  --options FILE   the server's options file; default: the file named by LOOMFLOW_OPTIONS
  --socket PATH    the operators' socket; overrides the options file

exit codes: 0 done, 1 rejected or unreachable, 2 invalid command line, 3 not drained or never owned, 4 superseded
";

/// Runs the command that `parser` holds. A command that fails prints its error and returns [`ExitCode::FAILURE`].
///
/// # Errors
/// The command line is invalid; nothing has been executed.
pub fn run(parser: lexopt::Parser) -> Result<ExitCode, UsageError> {
    let result = match arguments::parse(parser)? {
        CommandLine::Help => {
            print!("{USAGE}");
            return Ok(ExitCode::SUCCESS);
        }
        CommandLine::Server { command, socket, is_json } => execute(command, &Client { socket, is_json }),
        CommandLine::Fence { file, duty, token, command } => fence::run(&file, &duty, token, &command),
    };
    Ok(result.unwrap_or_else(|error| {
        eprintln!("loomflow: {error}");
        ExitCode::FAILURE
    }))
}

fn execute(command: FleetSubcommand, client: &Client) -> Result<ExitCode, CommandError> {
    match command {
        FleetSubcommand::Status => show_status(client),
        FleetSubcommand::Explain(server) => match client.request(FleetRequest::Explain(server))? {
            FleetResponse::Explanation(explanation) => {
                client.print(&explanation, || output::explanation(&explanation))
            }
            other => Err(CommandError::unexpected(&other)),
        },
        FleetSubcommand::CreateTickets(options) => create_tickets(client, options),
        FleetSubcommand::TransitionTickets(transition, tickets) => {
            Ok(transition_tickets(client, transition, &tickets))
        }
        FleetSubcommand::Campaign(command) => submit(client, FleetCommand::Campaign(command)),
        FleetSubcommand::ListCampaigns => match client.request(FleetRequest::Campaigns)? {
            FleetResponse::Campaigns(views) => client.print(&views, || output::campaigns(&views)),
            other => Err(CommandError::unexpected(&other)),
        },
        FleetSubcommand::Pause(reason) => submit(client, FleetCommand::Pause(reason)),
        FleetSubcommand::Resume => submit(client, FleetCommand::Resume),
        FleetSubcommand::ListTickets => {
            let open = client.tickets()?.open;
            let now = client.status().ok().map(|status| status.time);
            client.print(&open, || output::tickets(&open, now))
        }
        FleetSubcommand::History => {
            let mut events = client.tickets()?.events;
            events.reverse();
            client.print(&events, || output::ticket_events(&events))
        }
        FleetSubcommand::Watch => progress::watch(client),
        FleetSubcommand::Wait { server, timeout } => progress::wait(client, &server, timeout),
        FleetSubcommand::Duty(command) => duties::run(command, client),
        FleetSubcommand::Bootstrap => expect_done(client, &OperatorRequest::Bootstrap),
        FleetSubcommand::Recover => expect_done(client, &OperatorRequest::Recover),
    }
}

/// Prints the leader's status, or this server's own view where the leader cannot be reached.
fn show_status(client: &Client) -> Result<ExitCode, CommandError> {
    let status: Box<FleetStatus> = match client.request(FleetRequest::Status) {
        Ok(FleetResponse::Status(status)) => status,
        _ => match client.call(&OperatorRequest::LocalStatus)? {
            OperatorResponse::LocalStatus(status) => status,
            other => return Err(CommandError::unexpected(&other)),
        },
    };
    client.print(&*status, || output::status(&status))
}

fn create_tickets(client: &Client, options: TicketOptions) -> Result<ExitCode, CommandError> {
    let requests = tickets::requests(&options, &client.status()?.members)?;
    let command = match options.campaign {
        None => FleetCommand::CreateTickets(requests),
        Some(name) => {
            let batch_size = options.batch_size.max(1);
            FleetCommand::Campaign(CampaignCommand::Start { name, requests, batch_size })
        }
    };
    submit(client, command)
}

/// Applies a transition to each ticket. A rejection is printed, and the remaining tickets are still tried.
fn transition_tickets(client: &Client, transition: Transition, tickets: &[TicketId]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for &ticket in tickets {
        // Grant and incarnation are ignored for transitions that an operator makes.
        let command = FleetCommand::Transition { ticket, transition, grant: 0, incarnation: 0 };
        if let Err(error) = submit(client, command) {
            eprintln!("loomflow: ticket {ticket}: {error}");
            code = ExitCode::FAILURE;
        }
    }
    code
}

/// Submits an operator's command to the log and prints the tickets that it created or changed.
fn submit(client: &Client, command: FleetCommand) -> Result<ExitCode, CommandError> {
    match client.execute(command)? {
        FleetResponse::Done(tickets) => client.print(&tickets, || {
            let numbers: Vec<String> = tickets.iter().map(ToString::to_string).collect();
            if numbers.is_empty() { "done".into() } else { format!("tickets {}", numbers.join(" ")) }
        }),
        other => Err(CommandError::unexpected(&other)),
    }
}

fn expect_done(client: &Client, request: &OperatorRequest) -> Result<ExitCode, CommandError> {
    match client.call(request)? {
        OperatorResponse::Done => Ok(ExitCode::SUCCESS),
        other => Err(CommandError::unexpected(&other)),
    }
}
