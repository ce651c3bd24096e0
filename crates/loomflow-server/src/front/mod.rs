//! Fronts: the protocol servers and consumers through which requests arrive. A front decodes requests, encodes responses and
//! manages its connections; the owner decides which requests run. The owner uses every front through [`interface`].

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
use interface::{FrontRequest, Response, ResponseHandle};
use resp::RespFront;
pub use resp::{ListenError, Listener};

/// All fronts of the server.
pub struct Fronts {
    resp: RespFront,
    /// Present if the options configure a broker.
    amqp: Option<AmqpFront>,
}

/// Error when starting a front.
#[derive(Debug, thiserror::Error)]
pub enum FrontStartError {
    /// The broker's credentials cannot be read.
    #[error(transparent)]
    Credentials(#[from] YamlError),
}

impl Fronts {
    /// Starts accepting gateways, and opens a link to a broker if the options configure one.
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

    /// Handles an event reported by a driver; the resulting requests to the owner are appended to `requests`.
    pub fn handle_event(&mut self, event: FrontEvent, now: ClockReading, requests: &mut Vec<FrontRequest>) {
        match (event, &mut self.amqp) {
            (FrontEvent::Gateway(id, event), _) => self.resp.handle_event(id, event, now, requests),
            (FrontEvent::ListenerClosed, _) => self.resp.listener_closed(),
            (FrontEvent::Broker(link, event), Some(amqp)) => amqp.handle_event(link, event, now, requests),
            (FrontEvent::Broker(..), None) => {}
        }
    }

    /// Handles deadlines that have passed; requests to the owner are appended to `requests`.
    pub fn check_timeouts(&mut self, now: Millis, requests: &mut Vec<FrontRequest>) {
        self.resp.check_timeouts(now, requests);
        if let Some(amqp) = &mut self.amqp {
            amqp.check_timeouts(now, requests);
        }
    }

    /// The next deadline that may be earlier than the owner's periodic check; infinite without a broker.
    pub fn next_deadline(&self) -> Millis {
        self.amqp.as_ref().map_or(f64::INFINITY, AmqpFront::next_deadline)
    }

    /// Sends the response to a request through the front that submitted it.
    pub fn respond(&mut self, response_handle: ResponseHandle, response: Response, now: Millis) {
        match (response_handle, &mut self.amqp) {
            (ResponseHandle::Tag(id, tag), _) => self.resp.respond(id, tag, response, now),
            (ResponseHandle::Delivery(id), Some(amqp)) => amqp.respond(id, response, now),
            (ResponseHandle::Delivery(_), None) => {}
        }
    }

    /// Records that the run of a request may have started.
    pub fn run_started(&mut self, response_handle: ResponseHandle, now: Millis) {
        if let (ResponseHandle::Delivery(id), Some(amqp)) = (response_handle, &mut self.amqp) {
            amqp.run_started(id, now);
        }
    }

    /// Starts consuming messages, once the controller can accept them.
    pub fn controller_ready(&mut self) {
        if let Some(amqp) = &mut self.amqp {
            amqp.controller_ready();
        }
    }

    /// Sets the feedback signal of all further responses. `is_send_share`: the signal is the share of traffic to send to this
    /// server, which also scales consumption from a broker.
    pub fn set_signal(&mut self, signal: f64, is_send_share: bool) {
        self.resp.set_signal(signal);
        if let Some(amqp) = self.amqp.as_mut().filter(|_| is_send_share) {
            amqp.set_signal(signal);
        }
    }

    /// Applies reloaded settings.
    pub fn apply_settings(&mut self, site: &Site) {
        self.resp.apply_settings(site);
        if let Some(amqp) = &mut self.amqp {
            amqp.apply_settings(site);
        }
    }

    /// Sets how long connections of gateways may be idle.
    pub fn set_idle_timeout(&mut self, timeout: Millis) {
        self.resp.set_idle_timeout(timeout);
    }

    /// Begins a graceful shutdown, which has to complete by `deadline`: no further messages are consumed. Gateways are still
    /// accepted until [`Fronts::stop_intake`].
    pub fn begin_drain(&mut self, deadline: Millis, now: Millis, requests: &mut Vec<FrontRequest>) {
        if let Some(amqp) = &mut self.amqp {
            amqp.begin_drain(deadline, now, requests);
        }
    }

    /// Ends the intake of requests: no further connection is accepted, each gateway gets a `BYE`, and messages whose run has
    /// not started are returned to their queue. All connections of gateways have to be closed by `deadline`; the process is
    /// killed at `kill_deadline`.
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

    /// Number of messages of brokers that are not settled.
    pub fn unsettled_messages(&self) -> usize {
        self.amqp.as_ref().map_or(0, AmqpFront::unsettled)
    }

    /// Whether all responses have been sent and read, or the time for that is over.
    pub fn is_drained(&self, now: Millis) -> bool {
        self.resp.is_drained(now) && self.amqp.as_ref().is_none_or(|amqp| amqp.is_drained(now))
    }
}
