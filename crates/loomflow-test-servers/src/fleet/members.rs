//! What a fleet needs before its servers start: relays, options files and server fixtures.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use super::{Plan, name};
use crate::relay::Relay;
use crate::{ServerFixture, site};

/// Timeout of all classes, ms. It is long because no fleet test is about late requests.
const TIMEOUT_MS: f64 = 20_000.0;
/// Multiplier that spaces the relay seeds of fleets with consecutive seeds (2^32 divided by the golden ratio).
const SEED_FACTOR: u64 = 0x9E37_79B9;
/// Upper bound on the members of a fleet, so that each link has a different seed.
const MAX_MEMBERS: usize = 64;

/// Starts a relay for each direction of each link. Indexed by sender, then receiver; `None` from a member to itself.
pub(super) fn start_relays(plan: &Plan, addresses: &[SocketAddr]) -> Vec<Vec<Option<Relay>>> {
    let relay = |from: usize, to: usize| {
        let seed = plan.seed.wrapping_mul(SEED_FACTOR).wrapping_add((from * MAX_MEMBERS + to) as u64);
        (from != to).then(|| Relay::start(addresses[to], seed))
    };
    let relays_from = |from: usize| (0..plan.members).map(|to| relay(from, to)).collect();
    (0..plan.members).map(relays_from).collect()
}

/// Returns the text of the options file of a member.
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

/// Creates the server fixture of a member without starting the server.
pub(super) fn fixture(
    plan: &Plan,
    member_index: usize,
    program: &Path,
    directory: &Path,
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
        ("LOOMFLOW_TEST_FOLDER".into(), directory.to_owned().into()),
        ("LOOMFLOW_TEST_PROGRAM".into(), program.to_owned().into()),
    ];
    fixture
}
