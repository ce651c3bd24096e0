//! Load for a server among stand-ins: requests at stated rates, by gateways or by a queue, whatever becomes of them
//! (open loop), and what came of them second by second. Bounded in count and time, and only to loopback.

mod aside;
pub mod fleet;
mod heard;
mod plan;
pub mod queue;
pub mod resp;
pub mod rounds;
pub mod scenario;

pub use aside::Aside;
pub use heard::{Ending, Heard, Tally};
pub use plan::Plan;
pub use scenario::{Front, Played, Scenario};
