//! The member's configuration, from the server's configuration and options.

use std::time::{SystemTime, UNIX_EPOCH};

use loomflow_fleet::duty::schedule::{MissedRuns, Recurrence, Schedule};
use loomflow_fleet::duty::{DutySpec, LeaseSettings};
use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::node::NodeConfig;
use loomflow_fleet::node::duties::DutyConfig;
use loomflow_settings::Config;
use loomflow_settings::duties::{self, Duties, Job};
use loomflow_settings::fleet::{self, Fleet as Options};

const MILLIS_PER_SECOND: u64 = 1_000;

/// The configuration of this server's member.
pub fn node_config(config: &Config, options: &Options) -> NodeConfig {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    NodeConfig {
        fleet: options.name.clone(),
        name: config.name.clone(),
        zone: options.zone.clone(),
        address: options.advertised_address(),
        voters: options.voters.iter().map(|voter| (voter.name.clone(), voter.address)).collect(),
        via: options.via.clone(),
        rules: rules(options),
        duties: options.duties.as_ref().map(duty_config),
        // Numbers that are drawn must not come again after a restart.
        seed: config.seed ^ fastrand::u64(..),
        unix_millis: unix_time.as_millis() as u64,
    }
}

fn rules(options: &Options) -> Rules {
    let limit = |amount| match amount {
        fleet::Amount::Count(count) => Limit::Count(count),
        fleet::Amount::Share(share) => Limit::Share(share),
    };
    Rules {
        max_out: limit(options.out),
        max_out_per_zone: options.zone_out.map(limit),
        begin_within_millis: options.begin_within_s * MILLIS_PER_SECOND,
        ready_for_millis: options.warm_for_s * MILLIS_PER_SECOND,
        min_ready_share: options.warm_share,
    }
}

fn duty_config(options: &Duties) -> DutyConfig {
    let spec = |job: &Job| DutySpec { name: job.name.clone(), weight: job.weight, schedule: schedule(job) };
    DutyConfig {
        lease_settings: LeaseSettings {
            lease_millis: options.lease_s * MILLIS_PER_SECOND,
            max_attempts: options.attempts,
        },
        specs: options.jobs.iter().map(spec).collect(),
        summary_period_millis: options.summary_s * MILLIS_PER_SECOND,
    }
}

fn schedule(job: &Job) -> Option<Schedule> {
    let every = job.every_s().map(Recurrence::Every);
    let recurrence = every.or_else(|| job.cron.clone().map(Recurrence::Cron))?;
    let missed_runs = match job.missed {
        duties::Missed::Skip => MissedRuns::Skip,
        duties::Missed::Once => MissedRuns::Once,
    };
    Some(Schedule { recurrence, missed_runs })
}
