//! `loomflow fleet duty …`: duties for operators and their scripts.

use std::process::ExitCode;

use loomflow_fleet::duty::{self, Command, DutyList, DutyName};
use loomflow_fleet::maintenance::{self, Request, Response};

use crate::client::Client;
use crate::error::CommandError;
use crate::job_process::RunOptions;
use crate::{job_process, output};

/// What is asked about duties.
pub enum DutyCommand {
    List,
    Show(DutyName),
    History,
    /// Put a command into the log.
    Execute(Command),
    /// Run a process as the owner.
    Run(RunOptions),
}

/// Carries out a command on duties.
pub fn run(command: DutyCommand, client: &Client) -> Result<ExitCode, CommandError> {
    match command {
        DutyCommand::List => {
            let list = list(client)?;
            client.print(&list.duties, || output::duties(&list))
        }
        DutyCommand::History => {
            let list = list(client)?;
            client.print(&list.events, || output::duty_events(&list.events))
        }
        DutyCommand::Show(duty) => {
            let mut list = list(client)?;
            list.duties.retain(|status| status.duty == duty);
            list.events.retain(|event| event.duty == duty);
            let status = list.duties.first().ok_or(CommandError::UnknownDuty(duty))?;
            client.print(status, || output::duties(&list) + &output::duty_events(&list.events))
        }
        DutyCommand::Execute(command) => match client.execute(maintenance::Command::Duty(command))? {
            Response::Duty(duty::Response::Done) => client.print(&"done", || "done".to_owned()),
            Response::Duty(duty::Response::Rejected(rejection)) => Err(rejection.into()),
            other => Err(CommandError::unexpected(&other)),
        },
        DutyCommand::Run(options) => job_process::run(&client.socket, &options),
    }
}

fn list(client: &Client) -> Result<Box<DutyList>, CommandError> {
    match client.request(Request::Duties)? {
        Response::Duty(duty::Response::List(list)) => Ok(list),
        other => Err(CommandError::unexpected(&other)),
    }
}
