//! The owner: runs on the main thread and owns the controller, the request table and the connection state of all peers.
//!
//! A driver is the coroutine that reads and writes one socket. Drivers send events to the owner's mailbox. The owner processes
//! events in batches: it passes them to the controller, carries out the resulting actions, and queues output for the drivers.
//!
//! - `event_loop`: waits for events and collects them into batches; `batch_schedule`: when the next batch is due;
//! - this file: processes one batch;
//! - `controller_host`: the controller and its event queue;
//! - `requests`: requests, from submission by a front to the response; `admission`: the checks before the controller;
//! - `started_attempts`: the attempts that have run and must not run again;
//! - `engine_events`: handles the engine's notices, and resends commands after a lost link;
//! - `actions`: carries out the controller's actions;
//! - `timers`, `health_checks`, `fleet_reporter`, `peers`: the controller's timers, health checks, load reports to the fleet,
//!   and outgoing connections;
//! - `reload`: applies a new configuration;
//! - `shutdown`: the stages of a graceful shutdown; `draining`: the owner's work at each stage.

mod actions;
mod admission;
mod batch_schedule;
mod controller_host;
mod draining;
mod engine_events;
mod event_loop;
mod fleet_reporter;
mod health_checks;
mod peers;
mod reload;
mod requests;
mod shutdown;
mod started_attempts;
mod timers;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use loomflow::interface::Event;
use loomflow_settings::{Config, Options, Site};

use crate::budget::{self, Budget};
use crate::clock::{Clock, ClockReading};
use crate::control_plane;
use crate::fleet;
use crate::front::interface::FrontRequest;
use crate::front::{Fronts, ListenError, Listener};
use crate::idempotency::IdempotencyCache;
use crate::log;
use crate::mailbox::{Mailbox, OwnerEvent};
use crate::request_table::RequestTable;
use crate::signals::SignalError;
use admission::AdmissionLimit;
use batch_schedule::BatchSchedule;
use controller_host::ControllerHost;
pub use event_loop::serve;
use fleet_reporter::{FleetReporter, ServerState};
use health_checks::HealthChecks;
use peers::Peers;
use shutdown::GracefulShutdown;
use started_attempts::StartedAttempts;
use timers::Timers;

/// Why the server could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The listening socket for gateways could not be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The signal handlers could not be installed.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// A front could not be started.
    #[error(transparent)]
    Front(#[from] crate::front::FrontStartError),
    /// The fleet's thread could not be started.
    #[error(transparent)]
    Fleet(#[from] fleet::StartError),
}

/// The main thread's state. See the module's documentation.
struct Owner {
    config: Config,
    site: Site,
    clock: Clock,
    /// The time at the start of the current batch: all events of a batch have the same time.
    now: ClockReading,
    controller: ControllerHost,
    requests: RequestTable,
    admission_limit: AdmissionLimit,
    /// Reused buffer for the fronts' requests, empty except in [`Owner::update_fronts`].
    front_requests: Vec<FrontRequest>,
    idempotency: IdempotencyCache,
    started_attempts: StartedAttempts,
    fronts: Fronts,
    peers: Peers,
    fleet: FleetReporter,
    health: HealthChecks,
    timers: Timers,
    shutdown: GracefulShutdown,
}

impl Owner {
    /// Starts the fronts, the peers, the reports to the control plane, and the fleet if one is configured.
    fn start(
        config: Config,
        options: &Options,
        listener: Listener,
        mailbox: &Arc<Mailbox>,
    ) -> Result<Owner, ServeError> {
        let budget = Budget::new(&config, budget::open_files_limit(), options.fleet.is_some());
        let fronts = Fronts::start(listener, &config, options, &budget, mailbox)?;
        let ready = Arc::new(AtomicBool::new(true));
        let control_plane = control_plane::start(config.control, config.name.clone(), ready.clone());
        let clock = Clock::start();
        let fleet = FleetReporter::start(&config, options, mailbox, clock.now().ms)?;
        Ok(Owner {
            site: config.site.clone(),
            clock,
            now: clock.now(),
            controller: ControllerHost::default(),
            requests: RequestTable::default(),
            admission_limit: AdmissionLimit { max_requests: budget.max_requests },
            front_requests: Vec::new(),
            idempotency: IdempotencyCache::new(budget.max_result_bytes, budget.max_idempotency_entries),
            started_attempts: StartedAttempts::new(budget.max_started_attempts),
            fronts,
            peers: Peers::start(&config, budget.max_ledger_connections, control_plane, mailbox),
            fleet,
            health: HealthChecks::new(ready),
            timers: Timers::new(),
            shutdown: GracefulShutdown::new(config.stop_ms),
            config,
        })
    }

    /// The schedule of the next batch, from the earliest deadline of all components.
    fn batch_schedule(&self) -> BatchSchedule {
        let call_deadline = self.peers.ledger.next_deadline().unwrap_or(f64::INFINITY);
        let deadline = self
            .timers
            .next_deadline()
            .min(self.fronts.next_deadline())
            .min(call_deadline)
            .min(self.shutdown.next_deadline());
        BatchSchedule::new(self.now.ms, self.site.settings.batch_interval, deadline)
    }

    /// Processes a batch: all events, then deadlines and timers. Then the controller decides, and decides again as long as
    /// its actions lead to further events.
    fn process_batch(&mut self, events: Vec<OwnerEvent>) {
        self.now = self.clock.now();
        for event in events {
            self.handle_event(event);
            self.deliver_controller_events();
        }
        self.check_timeouts();
        self.fire_timers();
        self.deliver_controller_events();
        while let Some(actions) = self.controller.decide(self.now.ms) {
            self.carry_out(actions);
            self.deliver_controller_events();
        }
        self.report_load();
    }

    /// Reports this server's load to the fleet if a report is due.
    fn report_load(&mut self) {
        let state = ServerState {
            has_controller: self.controller.is_started(),
            is_healthy: self.health.is_healthy(),
            is_shutting_down: self.shutdown.is_requested(),
        };
        self.fleet.report(|| self.controller.load(), state, self.now.ms);
    }

    /// Delivers all queued events to the controller, including those queued by the actions carried out meanwhile.
    fn deliver_controller_events(&mut self) {
        while let Some(actions) = self.controller.deliver_next(self.now.ms) {
            self.carry_out(actions);
        }
    }

    /// Handles all deadlines that have passed, except those of the timers and of the grace period.
    fn check_timeouts(&mut self) {
        let now = self.now.ms;
        for finished in self.peers.ledger.expire(now) {
            self.call_finished(finished);
        }
        self.update_fronts(|fronts, requests| fronts.check_timeouts(now, requests));
        self.idempotency.expire(now);
        self.started_attempts.expire(now);
        self.end_unreported_runs();
        if let Some(end) = self.peers.engine.check_replay_timeout(now) {
            self.resend_commands(end);
        }
        while let Some(response_handle) = self.health.take_expired(now) {
            self.respond_to_health_check(response_handle, false);
        }
    }

    /// Ends the runs that the engine did not report as ended in time after the response to their request.
    fn end_unreported_runs(&mut self) {
        for id in self.requests.unreported_runs(self.now.ms) {
            log!(
                part = "engine",
                "the engine did not report the end of a run in time: the run counts as ended"
            );
            self.end_unreported_run(id);
        }
    }

    /// Stops intake if the grace period is over, polls the gauges if due, and fires the controller's timers that are due.
    fn fire_timers(&mut self) {
        let now = self.now.ms;
        self.check_grace_period();
        if self.timers.take_due_gauge_poll(now) {
            self.peers.engine.poll_gauges();
        }
        while self.timers.take_due_timer(now) {
            let values = self.peers.engine.gauges(now).iter().copied();
            let gauges = Site::gauges(&self.site.gauges, values);
            self.controller.queue(Event::TimerFired(gauges));
        }
    }

    /// Calls `update` on the fronts, and handles the requests that they submit in it.
    fn update_fronts(&mut self, update: impl FnOnce(&mut Fronts, &mut Vec<FrontRequest>)) {
        let mut requests = std::mem::take(&mut self.front_requests);
        update(&mut self.fronts, &mut requests);
        self.handle_front_requests(requests);
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        let now = self.now.ms;
        match event {
            OwnerEvent::Front(event) => {
                let now = self.now;
                self.update_fronts(|fronts, requests| fronts.handle_event(event, now, requests));
            }
            OwnerEvent::EngineNotice(link, notice) => {
                if self.peers.engine.accept_notice(link, &notice) {
                    self.handle_notice(notice);
                }
            }
            OwnerEvent::EngineDisconnected(link, reason) => {
                if let Some(lost) = self.peers.engine.disconnected(link, reason, now) {
                    self.engine_link_lost(lost);
                }
            }
            OwnerEvent::LedgerReply(link, reply) => {
                let id = self.requests.find_attempt(reply.id);
                if let Some(finished) = self.peers.ledger.reply_received(link, id, reply.status, now) {
                    self.call_finished(finished);
                }
            }
            OwnerEvent::LedgerDisconnected { link, reason, bytes_written } => {
                for finished in self.peers.ledger.disconnected(link, reason, bytes_written, now) {
                    self.call_finished(finished);
                }
            }
            OwnerEvent::ReadersCaughtUp => {}
            OwnerEvent::ShutdownRequested => self.begin_shutdown(),
            OwnerEvent::ConfigReloaded(Ok(config)) => self.reload(*config),
            OwnerEvent::ConfigReloaded(Err(error)) => {
                log!(why = error.to_string(), "the configuration cannot be reloaded and stays unchanged");
            }
        }
    }
}

#[cfg(test)]
mod interleavings;
