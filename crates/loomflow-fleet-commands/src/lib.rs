//! `loomflow fleet …`: what an operator asks the server on this machine, and through it the fleet.
//!
//! - `arguments`: the command line;
//! - `client`: requests on the operators' socket;
//! - `tickets`: which servers a request for tickets is about;
//! - `progress`: waiting for tickets;
//! - `duties`: `fleet duty …`;
//! - `job_process`: the process of a duty, ended before its lease can expire;
//! - `fence`: `fleet fence …`, the receiver's half for scripts;
//! - `output`: tables for people;
//! - [`exit_code`]: exit codes that scripts and the server rely on;
//! - `error`: what can go wrong.

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

/// The help text.
pub const USAGE: &str = "\
usage: loomflow fleet <what> [--options FILE | --socket PATH] [--json]

  status                      members by zone, shares, leader, who is out and why
  explain NAME                why this server waits, rule by rule, with figures
  work ask (--server NAME)… | --zone ZONE | --all | --file FILE
           [--reason TEXT] [--urgency routine|urgent|broken] [--for 20m] [--window 30m..4h]
                              tickets to be taken out for work
           [--campaign NAME --batch N]
                              the same N at a time; halts when a batch comes back worse (needs fleet.duties)
  work campaigns | resume NAME | drop NAME
                              how far each is; on where it halted; no further
  work withdraw|write-off TICKET…
  work pause REASON | resume  no grants until resumed
  work list | history         open tickets; what happened
  work watch                  until no ticket is open, with a bar
  work wait --server NAME [--timeout 30m]
                              until it has drained: 0 then, 3 when it may not go, 4 when superseded
  duty list | show NAME | history
                              who owns which duty, by which token; who did when
  duty run NAME [--wait 30s] [--longest 1h] -- COMMAND
                              as the owner of the duty, with LOOMFLOW_DUTY and LOOMFLOW_TOKEN set; ended before its
                              lease can be over: 0 done, 1 it failed, 3 never the owner, 4 given up
  duty start NAME             its owner runs its program once, now
  duty release|park|resume NAME [REASON]
                              to another owner; to none; again
  fence FILE --duty NAME --token N -- COMMAND
                              runs it unless a later owner was here: 4 then; else its own code
  found                       begin a fleet with this voter, once
  recover --yes               make the fleet anew from this voter's folder, when a majority of folders is lost

  --options FILE   the server's options file; without it, the file that LOOMFLOW_OPTIONS names
  --socket PATH    the operators' socket itself

exit codes: 0 done, 1 refused or not reached, 2 wrong command line, 3 it may not go or never owned, 4 superseded
";

/// Runs a command line; what fails is printed.
///
/// # Errors
/// The command line is wrong.
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
        FleetSubcommand::MoveTickets(transition, tickets) => Ok(move_tickets(client, transition, &tickets)),
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

/// Without a leader, what this server sees is better than nothing.
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

/// Moves each ticket on; one that is refused does not keep the others from it.
fn move_tickets(client: &Client, transition: Transition, tickets: &[TicketId]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for &ticket in tickets {
        // The grant and the start of the server are not an operator's to name.
        let command = FleetCommand::Transition { ticket, transition, grant: 0, incarnation: 0 };
        if let Err(error) = submit(client, command) {
            eprintln!("loomflow: ticket {ticket}: {error}");
            code = ExitCode::FAILURE;
        }
    }
    code
}

/// Puts an operator's command into the log, and prints the tickets that it was about.
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
