//! Cost of fleet membership for a server. The cost of the feature for a server that is in no fleet is measured by `against`
//! with an earlier build.

use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_fleet::command::{FleetCommand, FleetRequest, Issuer};
use loomflow_fleet::maintenance::ticket::{TicketRequest, Urgency};
use loomflow_fleet::operator::OperatorRequest;
use loomflow_test_servers::fleet::{Fleet, Plan};
use loomflow_test_servers::{AutonomousEngine, ServerFixture, site};

use crate::process;
use crate::report::Report;

const PLAN: Plan =
    Plan { members: 5, zones: 1, extra: "", cores: 4, work: Duration::from_millis(5), seed: 1 };
/// Number of open tickets. They are for servers that do not exist, so that none is granted.
const MANY_TICKETS: usize = 10_000;

/// Time from the start of a voter with [`MANY_TICKETS`] open tickets in its data directory until it has loaded them, s.
fn start_with_many_tickets(program: &Path) -> f64 {
    let plan = Plan { members: 3, ..PLAN };
    let mut fleet = Fleet::start_with(plan, program).bootstrap(plan);
    let requests = (0..MANY_TICKETS).map(|n| TicketRequest {
        server: format!("gone{n}"),
        zone: String::new(),
        reason: "kernel".into(),
        urgency: Urgency::Routine,
        duration_millis: 60_000,
        window: None,
    });
    let command = FleetCommand::CreateTickets(requests.collect());
    let request =
        OperatorRequest::Fleet(FleetRequest::Execute { issuer: Issuer::Operator("measure".into()), command });
    fleet.send_operator_line(0, &serde_json::to_string(&request).expect("a request can be serialized"));
    let open = |fleet: &Fleet, member: usize| fleet.local_status(member)["open"].as_u64().unwrap_or(0);
    fleet.wait_until("all voters have the open tickets", |fleet| {
        (0..3).all(|member| open(fleet, member) == MANY_TICKETS as u64)
    });
    fleet.kill(1);
    let started_at = Instant::now();
    fleet.start_member(1);
    while open(&fleet, 1) < MANY_TICKETS as u64 && started_at.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(5));
    }
    started_at.elapsed().as_secs_f64()
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let duration = Duration::from_secs(if quick { 5 } else { 30 });
    let engine = AutonomousEngine::start(4, Duration::from_millis(5));
    let mut standalone = ServerFixture::new(site(20_000.0));
    program.clone_into(&mut standalone.program);
    standalone.serve_with(&engine);
    let fleet = Fleet::start_with(PLAN, program).bootstrap(PLAN);
    let members: Vec<u32> = fleet.members.iter().map(|member| member.fixture.pid()).collect();
    let alone_before = process::cpu(standalone.pid());
    let members_before: Vec<f64> = members.iter().map(|pid| process::cpu(*pid)).collect();
    std::thread::sleep(duration);
    let seconds = duration.as_secs_f64();
    let cores_alone = (process::cpu(standalone.pid()) - alone_before) / seconds;
    let added_cores = members
        .iter()
        .zip(&members_before)
        .map(|(pid, before)| (process::cpu(*pid) - before) / seconds - cores_alone)
        .fold(0.0, f64::max);
    let max_memory_mb = members.iter().map(|pid| process::memory(*pid)).fold(0.0, f64::max);
    let added_memory_mb = max_memory_mb - process::memory(standalone.pid());
    report.table(
        "A voter of five, idle, over a server in no fleet",
        &["memory MB", "% of a core"],
        vec![vec![format!("{added_memory_mb:.2}"), format!("{:.2}", 100.0 * added_cores)]],
    );
    drop(fleet);
    report.require_max("start_10000_tickets_s", start_with_many_tickets(program), 1.0);
    report.require_max("on_memory_mb", added_memory_mb, 4.0);
    report.require_max("on_core", added_cores, 0.01);
}
