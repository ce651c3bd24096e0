//! Holds the controller, which is started once the engine is up, and the queue of events for it.

use std::collections::VecDeque;

use loomflow::controller::Controller;
use loomflow::interface::{Action, Event, Load, Settings};
use loomflow::time::Millis;

/// The controller, if it was started, and its event queue.
///
/// The caller carries out the actions returned by [`deliver_next`](Self::deliver_next) and [`decide`](Self::decide) before the
/// next call of either. Actions may queue further events.
#[derive(Default)]
pub(super) struct ControllerHost {
    controller: Option<Controller>,
    /// Whether the controller was started or received an event since its last decision.
    needs_decision: bool,
    /// Undelivered events, the oldest in front.
    queued_events: VecDeque<Event>,
}

impl ControllerHost {
    /// Whether the controller was started, which is never undone.
    pub(super) fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    /// Starts the controller. Its first decision is due immediately.
    pub(super) fn start(&mut self, settings: Settings, seed: u64, now: Millis) {
        self.controller = Some(Controller::new(settings, seed, now));
        self.needs_decision = true;
    }

    /// Appends an event to the queue.
    pub(super) fn queue(&mut self, event: Event) {
        self.queued_events.push_back(event);
    }

    /// Delivers the oldest queued event and returns the controller's actions, or `None` if the queue is empty. The event is
    /// discarded if the controller was not started.
    pub(super) fn deliver_next(&mut self, now: Millis) -> Option<Vec<Action>> {
        let event = self.queued_events.pop_front()?;
        let mut actions = Vec::new();
        if let Some(controller) = &mut self.controller {
            controller.event(now, event, &mut actions);
            self.needs_decision = true;
        }
        Some(actions)
    }

    /// Lets the controller decide and returns its actions. Returns `None` if no event was delivered since the last decision. The
    /// first decision is due at the start.
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

    /// The controller's current load, all zeros before it was started.
    pub(super) fn load(&self) -> Load {
        self.controller.as_ref().map(Controller::load).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
