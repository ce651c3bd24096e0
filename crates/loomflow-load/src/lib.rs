//! Load generator for a server among test servers: open-loop requests at given rates, through gateways or a queue, with
//! their outcomes per second. The number of open requests and the duration are bounded; gateways connect to loopback only.

#![forbid(unsafe_code)]

mod background_task;
pub mod fleet;
mod plan;
pub mod queue;
pub mod resp;
mod results;
pub mod rounds;
pub mod scenario;

pub use background_task::BackgroundTask;
pub use plan::Plan;
pub use results::{Counts, RequestOutcome, Results};
pub use scenario::{Front, Scenario, ScenarioResults};

/// Maximum number of open requests on one gateway connection; further ones use another connection.
const MAX_OPEN_REQUESTS: usize = 32;
