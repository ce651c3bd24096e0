//! `loomflow fleet duty …`: shows and changes duties, and runs a command as the owner of one.

use std::process::ExitCode;

use loomflow_fleet::command::{FleetCommand, FleetRequest, FleetResponse};
use loomflow_fleet::duty::{DutyCommand, DutyList, DutyName, DutyResponse};

use crate::client::Client;
use crate::error::CommandError;
use crate::job_process::RunOptions;
use crate::{job_process, output};

/// A command on duties.
pub enum DutySubcommand {
    List,
    Show(DutyName),
    History,
    /// Submit a command to the log.
    Execute(DutyCommand),
    /// Run a process as the owner of a duty.
    Run(RunOptions),
}

/// Executes a command on duties and prints its result.
pub fn run(command: DutySubcommand, client: &Client) -> Result<ExitCode, CommandError> {
    match command {
        DutySubcommand::List => {
            let list = list(client)?;
            client.print(&list.duties, || output::duties(&list))
        }
        DutySubcommand::History => {
            let list = list(client)?;
            client.print(&list.events, || output::duty_events(&list.events))
        }
        DutySubcommand::Show(duty) => {
            let mut list = list(client)?;
            list.duties.retain(|status| status.duty == duty);
            list.events.retain(|event| event.duty == duty);
            let status = list.duties.first().ok_or(CommandError::UnknownDuty(duty))?;
            client.print(status, || output::duties(&list) + &output::duty_events(&list.events))
        }
        DutySubcommand::Execute(command) => match client.execute(FleetCommand::Duty(command))? {
            FleetResponse::Duty(DutyResponse::Done) => client.print(&"done", || "done".to_owned()),
            FleetResponse::Duty(DutyResponse::Rejected(rejection)) => Err(rejection.into()),
            other => Err(CommandError::unexpected(&other)),
        },
        DutySubcommand::Run(options) => job_process::run(&client.socket, &options),
    }
}

fn list(client: &Client) -> Result<Box<DutyList>, CommandError> {
    match client.request(FleetRequest::Duties)? {
        FleetResponse::Duty(DutyResponse::List(list)) => Ok(list),
        other => Err(CommandError::unexpected(&other)),
    }
}
