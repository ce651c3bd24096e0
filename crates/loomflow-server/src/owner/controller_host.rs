//! The controller, started once the engine is up, and the queue of events for it.

use std::collections::VecDeque;

use loomflow::controller::Controller;
use loomflow::interface::{Action, Event, Load, Settings};
use loomflow::time::Millis;

/// The controller, if it was started, and the events that have not been delivered to it.
///
/// [`deliver_next`](Self::deliver_next) and [`decide`](Self::decide) return actions. They are carried out before the next
/// call, and may queue further events.
#[derive(Default)]
pub(super) struct ControllerHost {
    controller: Option<Controller>,
    /// The controller has had events since it last decided.
    needs_decision: bool,
    /// The next to be delivered is in front.
    queued_events: VecDeque<Event>,
}

impl ControllerHost {
    /// Whether the controller was started.
    pub(super) fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    /// Starts the controller. Its first decision is due immediately.
    pub(super) fn start(&mut self, settings: Settings, seed: u64, now: Millis) {
        self.controller = Some(Controller::new(settings, seed, now));
        self.needs_decision = true;
    }

    /// Queues an event behind those that have not been delivered.
    pub(super) fn queue(&mut self, event: Event) {
        self.queued_events.push_back(event);
    }

    /// Delivers the next queued event, and returns the controller's actions; none where no event is queued. Before the
    /// controller was started the event is discarded.
    pub(super) fn deliver_next(&mut self, now: Millis) -> Option<Vec<Action>> {
        let event = self.queued_events.pop_front()?;
        let mut actions = Vec::new();
        if let Some(controller) = &mut self.controller {
            controller.event(now, event, &mut actions);
            self.needs_decision = true;
        }
        Some(actions)
    }

    /// Lets the controller decide, and returns its actions; none where no decision is due.
    pub(super) fn decide(&mut self, now: Millis) -> Option<Vec<Action>> {
        if !std::mem::take(&mut self.needs_decision) {
            return None;
        }
        let mut actions = Vec::new();
        if let Some(controller) = &mut self.controller {
            controller.decide(now, &mut actions);
        }
        Some(actions)
    }

    /// The load as the controller sees it; no load before it was started.
    pub(super) fn load(&self) -> Load {
        self.controller.as_ref().map(Controller::load).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
