//! Loopback test servers for every peer of a loomflow server, and fixtures that run the server process between them. They
//! parse the protocols with code of their own, so that tests do not depend on the parsers under test.

#![forbid(unsafe_code)]

pub mod autonomous_engine;
pub mod base;
pub mod broker;
pub mod control;
pub mod fleet;
pub mod gateway;
pub mod ledger;
pub mod lines;
pub mod relay;
pub mod scripted_engine;

pub mod server_fixture;

pub use autonomous_engine::AutonomousEngine;
pub use base::{QUIET_PERIOD, RESPONSE_TIMEOUT, class, loopback_address, loopback_listener, release, site};
pub use broker::Broker;
pub use control::Control;
pub use gateway::{Gateway, GatewayResponse, NoResponse, array, call, fields, health, next_attempt_id};
pub use ledger::{Ledger, OpenLedger};
pub use lines::{Line, PeerConnection};
pub use scripted_engine::ScriptedEngine;
pub use server_fixture::{ServerFixture, program};
