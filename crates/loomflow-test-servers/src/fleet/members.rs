//! The parts of a fleet that are made before its servers start: relays, options and fixtures.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use super::{Plan, name};
use crate::relay::Relay;
use crate::{ServerFixture, site};

/// Timeout of all classes, ms: no test of a fleet is about late requests.
const TIMEOUT_MS: f64 = 20_000.0;
/// Spreads the seed of the fleet over the seeds of its relays.
const SEED_FACTOR: u64 = 0x9E37_79B9;
/// More than there are members, so that each link has a seed of its own.
const MAX_MEMBERS: usize = 64;

/// Starts a relay on each link, by sender and receiver.
pub(super) fn start_relays(plan: &Plan, addresses: &[SocketAddr]) -> Vec<Vec<Option<Relay>>> {
    let relay = |from: usize, to: usize| {
        let seed = plan.seed.wrapping_mul(SEED_FACTOR).wrapping_add((from * MAX_MEMBERS + to) as u64);
        (from != to).then(|| Relay::start(addresses[to], seed))
    };
    let relays_from = |from: usize| (0..plan.members).map(|to| relay(from, to)).collect();
    (0..plan.members).map(relays_from).collect()
}

/// The options file of a member.
pub(super) fn options(
    plan: &Plan,
    member_index: usize,
    addresses: &[SocketAddr],
    relays: &[Option<Relay>],
    state: &Path,
) -> String {
    let zone = member_index % plan.zones;
    let (listen, state) = (addresses[member_index], state.display());
    let mut text = format!("fleet:\n  name: test\n  zone: z{zone}\n  listen: {listen}\n  state: {state}\n");
    text += plan.extra;
    text += "  voters:\n";
    for (voter, address) in addresses.iter().enumerate().take(plan.voters()) {
        let _ = writeln!(text, "    - {{name: {}, address: \"{address}\"}}", name(voter));
    }
    text += "  via:\n";
    for (to, relay) in relays.iter().enumerate() {
        if let Some(relay) = relay {
            let _ = writeln!(text, "    {}: \"{}\"", name(to), relay.address);
        }
    }
    text
}

/// The server of a member, which is not started yet.
pub(super) fn fixture(
    plan: &Plan,
    member_index: usize,
    program: &Path,
    folder: &Path,
    options: &str,
) -> ServerFixture {
    let mut settings = site(TIMEOUT_MS);
    settings["Domain"]["Cpus"] = plan.cores.into();
    settings["Domain"]["CallsByClass"] = serde_json::json!([false, false, false]);
    let mut fixture = ServerFixture::new(settings);
    program.clone_into(&mut fixture.program);
    fixture.config["name"] = name(member_index).into();
    fixture.options(options);
    fixture.variables = vec![
        ("LOOMFLOW_TEST_FOLDER".into(), folder.to_owned().into()),
        ("LOOMFLOW_TEST_PROGRAM".into(), program.to_owned().into()),
    ];
    fixture
}
