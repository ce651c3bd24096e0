//! Fixtures shared by several unit tests.

use crate::duty::{DutyName, OwnedDuty, Token};
use crate::maintenance::ticket::{Ticket, TicketRequest, TicketStage, Urgency};
use crate::member::{ServerName, Zone};

/// A request for one minute of routine maintenance, without a window.
pub fn ticket_request(server: &str) -> TicketRequest {
    TicketRequest {
        server: ServerName::from(server),
        zone: Zone::new(),
        reason: String::new(),
        urgency: Urgency::Routine,
        duration_millis: 60_000,
        window: None,
    }
}

/// A ticket of the server "a" in the given stage, granted to incarnation 1.
pub fn ticket(stage: TicketStage) -> Ticket {
    Ticket {
        id: 1,
        request_id: 1,
        request: ticket_request("a"),
        requested_by: "ops".into(),
        stage,
        requested_at: 0,
        since: 0,
        grant: 1,
        incarnation: 1,
        returned_incarnation: 0,
        lapses: 0,
        deadline: 0,
    }
}

/// A duty as its owner first receives it: without a checkpoint, a run or a schedule.
pub fn owned_duty(duty: &str, token: Token) -> OwnedDuty {
    OwnedDuty {
        duty: DutyName::from(duty),
        token,
        is_recalled: false,
        checkpoint: Vec::new(),
        last_run: 0,
        has_unfinished_run: false,
        is_run_requested: false,
        schedule: None,
    }
}
