//! Experiment: a tenant sends at a constant mean rate, and each request goes to a random server. Measures the
//! fraction of its requests that the controllers count as over the tenant's quota.
//!
//! The controller does not report that decision, so it is inferred from the order of the runs: a request
//! within the quota has a higher priority weight than a probe without a tenant, a request over the quota has
//! a lower one.

use fastrand::Rng;
use loomflow::controller::Controller;
use loomflow::interface::{
    Action, Arrival, AttemptOutcome, Class, Event, RequestAttributes, RequestId, Settings, Tenant,
};
use loomflow::time::{MILLIS_PER_SECOND, Millis};

use crate::settings::controller_settings;
use crate::setup::Setup;

/// Index of the tenant's class in the settings.
const TENANT_CLASS: usize = 0;
/// Index of the probe's class in the settings.
const PROBE_CLASS: usize = 1;
/// Index of the tenant in the settings.
const TENANT: usize = 0;
/// Index that stands for no tenant.
const NO_TENANT: usize = 1;
/// Priority weight of a probe, between those of the tenant's requests within and over its quota.
const PROBE_WEIGHT: f64 = 0.5;
const OVER_QUOTA_WEIGHT: f64 = 0.1;
/// Latency objective and timeout that no request in the experiment reaches, ms.
const NEVER_MS: Millis = 1e9;
/// Time before requests are counted, s: quota tokens saved up at the start are used up by then, or never.
const SETTLING_TIME_S: f64 = 60.0;

/// A tenant with a constant mean request rate, and its fleet.
#[derive(Clone, Copy, Debug)]
pub struct SteadyTenant {
    /// Number of servers in the fleet.
    pub servers: usize,
    /// Quota of the tenant over the whole fleet, requests per second.
    pub quota_per_s: f64,
    /// Request rate of the tenant as a fraction of its quota.
    pub sent_part: f64,
    /// Duration for which requests are counted, s.
    pub seconds: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Returns the fraction of the tenant's requests that the controllers count as over its quota, 0 to 1.
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

/// The controller of a server with one core, on which one request runs at a time.
struct SingleCoreServer {
    controller: Controller,
    /// Id of the last submitted request; 0 before the first.
    last_request: RequestId,
}

impl SingleCoreServer {
    fn new(settings: Settings, seed: u64) -> SingleCoreServer {
        SingleCoreServer { controller: Controller::new(settings, seed, 0.0), last_request: 0 }
    }

    /// Submits a request of the tenant and returns whether the controller counts it as over the quota.
    /// While a first probe runs, the request and a second probe are queued together. A request over the
    /// quota has a lower weight than the probe, and therefore runs after it.
    fn classifies_over_quota(&mut self, now: Millis) -> bool {
        self.submit(now, PROBE_CLASS, NO_TENANT);
        let mut running = self.decide(now);
        let tested = self.submit(now, TENANT_CLASS, TENANT);
        self.submit(now, PROBE_CLASS, NO_TENANT);
        let mut order = Vec::new();
        while let Some(id) = running {
            order.push(id);
            let ended = Event::RunEnded { id, outcome: AttemptOutcome::Ok, duration: 0.0 };
            self.controller.event(now, ended, &mut Vec::new());
            running = self.decide(now);
        }
        order.last() == Some(&tested)
    }

    fn submit(&mut self, now: Millis, class: usize, tenant: usize) -> RequestId {
        self.last_request += 1;
        let arrival = Arrival {
            id: self.last_request,
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
        self.last_request
    }

    /// Ends a batch and returns the request that the controller runs, if any.
    fn decide(&mut self, now: Millis) -> Option<RequestId> {
        let mut actions = Vec::new();
        self.controller.decide(now, &mut actions);
        actions.iter().find_map(|action| match action {
            Action::Run(id) => Some(*id),
            _ => None,
        })
    }
}
