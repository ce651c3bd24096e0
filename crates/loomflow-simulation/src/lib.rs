//! A fleet in virtual time: the same state machines as in the servers, a network that loses, delays, doubles and cuts, and
//! machines that die, stop, lose or fill their disks. A run follows from its seed alone.
//!
//! - [`script`]: what happens when, as data, by hand or drawn from a seed.
//! - [`world`]: the machines and the network between them, moved on event by event.
//! - [`witness`]: what must hold after every event, judged by what the processes did and not by what the fleet says.

pub mod abreast;
mod owners;
pub mod script;
pub mod witness;
pub mod world;

pub use abreast::{abreast, cores};
pub use script::{Fault, Script};
pub use world::{Shape, World};
