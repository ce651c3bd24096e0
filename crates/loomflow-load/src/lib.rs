//! Load generator for a server between test servers: open-loop requests at given rates, through gateways or a queue, with
//! their outcomes by second. Bounded in number and time, and restricted to loopback.

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

/// Maximum number of open requests on one gateway connection.
const MAX_OPEN_REQUESTS: usize = 32;
