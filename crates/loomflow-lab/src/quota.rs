//! Experiment: a steady tenant whose requests fall evenly at random over the servers. How many of them does each server's
//! decision module judge to be beyond the tenant's quota?
//!
//! A module doesn't say how it judged. It shows in what it runs first: a request of the tenant within its quota is worth
//! more than a probe without a tenant, one beyond it less.

use fastrand::Rng;
use loomflow::controller::Controller;
use loomflow::interface::{Action, Arrival, Class, Event, Outcome, RequestId, Settings, Tenant};

use crate::settings::module_settings;
use crate::setup::Setup;

/// The place of the tenant's class and of the probe's class among the classes.
const TENANT_CLASS: usize = 0;
const PROBE_CLASS: usize = 1;
/// The place of the tenant among the tenants, and one that names none.
const TENANT: usize = 0;
const NO_TENANT: usize = 1;
/// The worth of a probe, between that of the tenant's requests within and beyond its quota.
const PROBE_WORTH: f64 = 0.5;
const OVER_SHARE_WORTH: f64 = 0.1;
/// So long an aim that nothing in the experiment is ever late, ms.
const NEVER: f64 = 1e9;
/// Seconds before the count begins: saved tokens are used up by then or stay for good.
const SETTLES: f64 = 60.0;

/// A tenant and the fleet that it sends to.
#[derive(Clone, Copy, Debug)]
pub struct SteadyTenant {
    /// Servers of the fleet.
    pub servers: usize,
    /// Its quota over the whole fleet, requests a second.
    pub quota_per_s: f64,
    /// What it sends, as a part of its quota.
    pub sends: f64,
    /// Seconds over which its requests are counted.
    pub seconds: f64,
    /// Seed of everything random.
    pub seed: u64,
}

/// The part of its requests that the modules judge to be beyond its quota, 0 to 1.
pub fn judged_beyond(tenant: SteadyTenant) -> f64 {
    let mut rng = Rng::with_seed(tenant.seed);
    let settings = settings(&tenant);
    let mut servers: Vec<Judge> =
        (0..tenant.servers).map(|_| Judge::new(settings.clone(), rng.u64(..))).collect();
    let (mut now, mut sent, mut beyond) = (0.0, 0.0, 0.0);
    loop {
        now += -(1.0 - rng.f64()).ln() / (tenant.quota_per_s * tenant.sends);
        if now >= SETTLES + tenant.seconds {
            return beyond / sent;
        }
        let server = rng.usize(..servers.len());
        let over = servers[server].judges_beyond(now * 1_000.0);
        if now >= SETTLES {
            sent += 1.0;
            beyond += f64::from(u8::from(over));
        }
    }
}

fn settings(tenant: &SteadyTenant) -> Settings {
    let fleet = Setup::fleet(tenant.servers, 1, tenant.seed);
    let mut settings = module_settings(&fleet, false);
    let class = Class { latency_objective: NEVER, timeout: NEVER, ..settings.classes[0].clone() };
    let probe = Class { priority_weight: PROBE_WORTH, ..class.clone() };
    settings.classes = vec![class, probe];
    settings.tenants = vec![Tenant { quota_per_s: tenant.quota_per_s }];
    settings.over_quota_weight = OVER_SHARE_WORTH;
    settings.is_weight_per_work = true;
    settings.cores = 1.0;
    settings
}

/// The module of one server, with one core, and so one request that runs at a time.
struct Judge {
    module: Controller,
    requests: RequestId,
}

impl Judge {
    fn new(settings: Settings, seed: u64) -> Judge {
        Judge { module: Controller::new(settings, seed, 0.0), requests: 0 }
    }

    /// Has a request of the tenant wait beside a probe while another one runs, and sees which of the two comes first.
    fn judges_beyond(&mut self, now: f64) -> bool {
        self.arrives(now, PROBE_CLASS, NO_TENANT);
        let mut running = self.decide(now);
        let asked = self.arrives(now, TENANT_CLASS, TENANT);
        self.arrives(now, PROBE_CLASS, NO_TENANT);
        let mut order = Vec::new();
        while let Some(id) = running {
            order.push(id);
            let ended = Event::RunEnded { id, outcome: Outcome::Ok, duration: 0.0 };
            self.module.event(now, ended, &mut Vec::new());
            running = self.decide(now);
        }
        order.last() == Some(&asked)
    }

    fn arrives(&mut self, now: f64, class: usize, tenant: usize) -> RequestId {
        self.requests += 1;
        let arrival = Arrival {
            id: self.requests,
            class,
            tenant,
            remaining_wait: NEVER,
            estimated_work: None,
            memory_kb: 1.0,
            rank: 0.5,
            is_retry: false,
            caller: 0,
            age: 0.0,
            upstream_time: 0.0,
            original: None,
        };
        self.module.event(now, Event::RequestArrived(arrival), &mut Vec::new());
        self.requests
    }

    /// Ends a batch, and gives the request that is to run.
    fn decide(&mut self, now: f64) -> Option<RequestId> {
        let mut actions = Vec::new();
        self.module.decide(now, &mut actions);
        actions.iter().find_map(|action| match action {
            Action::Run(id) => Some(*id),
            _ => None,
        })
    }
}
