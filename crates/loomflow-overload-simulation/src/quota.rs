//! Experiment: a steady tenant whose requests are spread evenly at random over the servers. How many of them does each
//! server's controller count as over the tenant's quota?
//!
//! The controller does not report that. It shows in the order of the runs: a request within its tenant's quota has a higher
//! priority weight than a probe without a tenant, one over the quota a lower one.

use fastrand::Rng;
use loomflow::controller::Controller;
use loomflow::interface::{
    Action, Arrival, AttemptOutcome, Class, Event, RequestAttributes, RequestId, Settings, Tenant,
};
use loomflow::time::{MILLIS_PER_SECOND, Millis};

use crate::settings::controller_settings;
use crate::setup::Setup;

/// The place of the tenant's class and of the probe's class among the classes.
const TENANT_CLASS: usize = 0;
const PROBE_CLASS: usize = 1;
/// The place of the tenant among the tenants, and one that names none.
const TENANT: usize = 0;
const NO_TENANT: usize = 1;
/// Priority weight of a probe, between those of the tenant's requests within and over its quota.
const PROBE_WEIGHT: f64 = 0.5;
const OVER_QUOTA_WEIGHT: f64 = 0.1;
/// A latency objective so long that nothing in the experiment is ever late, ms.
const NEVER_MS: Millis = 1e9;
/// Seconds before the count begins: saved tokens are used up by then or stay for good.
const SETTLING_TIME_S: f64 = 60.0;

/// A tenant and the fleet that it sends to.
#[derive(Clone, Copy, Debug)]
pub struct SteadyTenant {
    /// Servers of the fleet.
    pub servers: usize,
    /// Its quota over the whole fleet, requests a second.
    pub quota_per_s: f64,
    /// What it sends, as a part of its quota.
    pub sent_part: f64,
    /// Seconds over which its requests are counted.
    pub seconds: f64,
    /// Seed of everything random.
    pub seed: u64,
}

/// The part of its requests that the controllers count as over its quota, 0 to 1.
pub fn over_quota_part(tenant: SteadyTenant) -> f64 {
    let mut rng = Rng::with_seed(tenant.seed);
    let settings = settings(&tenant);
    let mut servers: Vec<SingleCoreServer> =
        (0..tenant.servers).map(|_| SingleCoreServer::new(settings.clone(), rng.u64(..))).collect();
    let (mut now_s, mut sent, mut over_quota) = (0.0, 0.0, 0.0);
    loop {
        now_s += -(1.0 - rng.f64()).ln() / (tenant.quota_per_s * tenant.sent_part);
        if now_s >= SETTLING_TIME_S + tenant.seconds {
            return over_quota / sent;
        }
        let server = rng.usize(..servers.len());
        let is_over = servers[server].classifies_over_quota(now_s * MILLIS_PER_SECOND);
        if now_s >= SETTLING_TIME_S {
            sent += 1.0;
            over_quota += f64::from(u8::from(is_over));
        }
    }
}

fn settings(tenant: &SteadyTenant) -> Settings {
    let fleet = Setup::fleet(tenant.servers, 1, tenant.seed);
    let mut settings = controller_settings(&fleet, false);
    let class = Class { latency_objective: NEVER_MS, timeout: NEVER_MS, ..settings.classes[0].clone() };
    let probe = Class { priority_weight: PROBE_WEIGHT, ..class.clone() };
    settings.classes = vec![class, probe];
    settings.tenants = vec![Tenant { quota_per_s: tenant.quota_per_s }];
    settings.over_quota_weight = OVER_QUOTA_WEIGHT;
    settings.is_weight_per_work = true;
    settings.cores = 1.0;
    settings
}

/// The controller of one server with one core, and so one request that runs at a time.
struct SingleCoreServer {
    controller: Controller,
    requests: RequestId,
}

impl SingleCoreServer {
    fn new(settings: Settings, seed: u64) -> SingleCoreServer {
        SingleCoreServer { controller: Controller::new(settings, seed, 0.0), requests: 0 }
    }

    /// Whether a request of the tenant counts as over its quota. It is queued with a probe while another request runs, and runs
    /// last if its weight is the lower one.
    fn classifies_over_quota(&mut self, now: Millis) -> bool {
        self.arrives(now, PROBE_CLASS, NO_TENANT);
        let mut running = self.decide(now);
        let tested = self.arrives(now, TENANT_CLASS, TENANT);
        self.arrives(now, PROBE_CLASS, NO_TENANT);
        let mut order = Vec::new();
        while let Some(id) = running {
            order.push(id);
            let ended = Event::RunEnded { id, outcome: AttemptOutcome::Ok, duration: 0.0 };
            self.controller.event(now, ended, &mut Vec::new());
            running = self.decide(now);
        }
        order.last() == Some(&tested)
    }

    fn arrives(&mut self, now: Millis, class: usize, tenant: usize) -> RequestId {
        self.requests += 1;
        let arrival = Arrival {
            id: self.requests,
            attributes: RequestAttributes {
                class,
                tenant,
                remaining_wait: NEVER_MS,
                estimated_work: None,
                memory_kb: 1.0,
                rank: 0.5,
                is_retry: false,
                caller: 0,
                age: 0.0,
                upstream_time: 0.0,
            },
            original: None,
        };
        self.controller.event(now, Event::RequestArrived(arrival), &mut Vec::new());
        self.requests
    }

    /// Ends a batch, and gives the request that is to run.
    fn decide(&mut self, now: Millis) -> Option<RequestId> {
        let mut actions = Vec::new();
        self.controller.decide(now, &mut actions);
        actions.iter().find_map(|action| match action {
            Action::Run(id) => Some(*id),
            _ => None,
        })
    }
}
