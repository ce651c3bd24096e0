//! The fronts, by which requests come in. A front reads requests, encodes responses and closes its connections; it decides
//! nothing about what is run. The owner uses all of them through `interface`.

mod amqp;
#[cfg(test)]
pub mod fixtures;
pub mod interface;
mod resp;

use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_settings::error::YamlError;
use loomflow_settings::{Config, Options, Site};

use crate::budget::Budget;
use crate::clock::ClockReading;
use crate::mailbox::{FrontEvent, Mailbox};
use amqp::AmqpFront;
use interface::{FrontRequest, ReplyHandle, Response};
use resp::RespFront;
pub use resp::{ListenError, Listener};

/// All fronts of the server.
pub struct Fronts {
    resp: RespFront,
    /// Where the options configure it.
    amqp: Option<AmqpFront>,
}

/// A front cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum FrontStartError {
    /// The broker's credentials cannot be read.
    #[error(transparent)]
    Credentials(#[from] YamlError),
}

impl Fronts {
    /// Starts to accept gateways, and to consume from a broker where the options configure one.
    pub fn start(
        listener: Listener,
        config: &Config,
        options: &Options,
        budget: &Budget,
        mailbox: &Arc<Mailbox>,
    ) -> Result<Fronts, FrontStartError> {
        let amqp = options.amqp.as_ref().map(|amqp| AmqpFront::start(config, amqp, budget, mailbox));
        let resp = RespFront::start(listener, config, budget, mailbox);
        Ok(Fronts { resp, amqp: amqp.transpose()? })
    }

    /// Handles what a driver reported; its requests to the owner are added to `requests`.
    pub fn handle_event(&mut self, event: FrontEvent, now: ClockReading, requests: &mut Vec<FrontRequest>) {
        match (event, &mut self.amqp) {
            (FrontEvent::Gateway(id, event), _) => self.resp.handle_event(id, event, now, requests),
            (FrontEvent::ListenerClosed, _) => self.resp.listener_closed(),
            (FrontEvent::Broker(link, event), Some(amqp)) => amqp.handle_event(link, event, now, requests),
            (FrontEvent::Broker(..), None) => {}
        }
    }

    /// Handles the deadlines that have passed.
    pub fn check_timeouts(&mut self, now: Millis, requests: &mut Vec<FrontRequest>) {
        self.resp.check_timeouts(now, requests);
        if let Some(amqp) = &mut self.amqp {
            amqp.check_timeouts(now, requests);
        }
    }

    /// The next deadline that does not wait for the owner's periodic check.
    pub fn next_deadline(&self) -> Millis {
        self.amqp.as_ref().map_or(f64::INFINITY, AmqpFront::next_deadline)
    }

    /// Sends a response.
    pub fn respond(&mut self, reply_handle: ReplyHandle, response: Response, now: Millis) {
        match (reply_handle, &mut self.amqp) {
            (ReplyHandle::Tag(id, tag), _) => self.resp.respond(id, tag, response, now),
            (ReplyHandle::Delivery(id), Some(amqp)) => amqp.respond(id, response, now),
            (ReplyHandle::Delivery(_), None) => {}
        }
    }

    /// The run of a request may have started.
    pub fn run_started(&mut self, reply_handle: ReplyHandle, now: Millis) {
        if let (ReplyHandle::Delivery(id), Some(amqp)) = (reply_handle, &mut self.amqp) {
            amqp.run_started(id, now);
        }
    }

    /// The controller exists, so that messages are consumed.
    pub fn controller_ready(&mut self) {
        if let Some(amqp) = &mut self.amqp {
            amqp.controller_ready();
        }
    }

    /// The feedback signal that callers get from now on; `is_send_share`: it is the share of traffic to send here.
    pub fn set_signal(&mut self, signal: f64, is_send_share: bool) {
        self.resp.set_signal(signal);
        if let Some(amqp) = self.amqp.as_mut().filter(|_| is_send_share) {
            amqp.set_signal(signal);
        }
    }

    /// The settings after a reload.
    pub fn apply_settings(&mut self, site: &Site) {
        self.resp.apply_settings(site);
        if let Some(amqp) = &mut self.amqp {
            amqp.apply_settings(site);
        }
    }

    /// How long connections of gateways may be idle.
    pub fn set_idle_timeout(&mut self, timeout: Millis) {
        self.resp.set_idle_timeout(timeout);
    }

    /// A graceful shutdown begins: no further messages are consumed. It has to end by `deadline`.
    pub fn begin_drain(&mut self, deadline: Millis, now: Millis, requests: &mut Vec<FrontRequest>) {
        if let Some(amqp) = &mut self.amqp {
            amqp.begin_drain(deadline, now, requests);
        }
    }

    /// No new request is run any more: what was submitted before gets its response, or is returned to its queue.
    pub fn stop_intake(
        &mut self,
        deadline: Millis,
        kill_deadline: Millis,
        now: Millis,
        requests: &mut Vec<FrontRequest>,
    ) {
        self.resp.stop_intake(deadline, kill_deadline, now);
        if let Some(amqp) = &mut self.amqp {
            amqp.stop_intake(now, requests);
        }
    }

    /// Whether all responses were sent and read, or cannot be any more.
    pub fn is_drained(&self, now: Millis) -> bool {
        self.resp.is_drained(now) && self.amqp.as_ref().is_none_or(|amqp| amqp.is_drained(now))
    }
}
