//! Builds the member's configuration from the server's configuration and options.

use std::time::{SystemTime, UNIX_EPOCH};

use loomflow_fleet::duty::schedule::{MissedRuns, Recurrence, Schedule};
use loomflow_fleet::duty::{DutySpec, LeaseSettings};
use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::node::NodeConfig;
use loomflow_fleet::node::duties::DutyConfig;
use loomflow_fleet::time::{millis_of_seconds, whole_millis};
use loomflow_settings::Config;
use loomflow_settings::duties::{self, Duties, Job};
use loomflow_settings::fleet::{self, Fleet as Options};

/// Builds the configuration of this server's member.
pub fn node_config(config: &Config, options: &Options) -> NodeConfig {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    NodeConfig {
        fleet: options.name.clone(),
        name: config.name.clone(),
        zone: options.zone.clone(),
        address: options.advertised_address(),
        voters: options.voters.iter().map(|voter| (voter.name.clone(), voter.address)).collect(),
        address_overrides: options.via.clone(),
        rules: rules(options),
        duties: options.duties.as_ref().map(duty_config),
        // The member's random numbers must not repeat after a restart.
        seed: config.seed ^ fastrand::u64(..),
        unix_millis: whole_millis(unix_time),
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
        accept_timeout_millis: millis_of_seconds(options.begin_within_s),
        ready_for_millis: millis_of_seconds(options.warm_for_s),
        min_ready_share: options.warm_share,
    }
}

fn duty_config(options: &Duties) -> DutyConfig {
    let spec = |job: &Job| DutySpec { name: job.name.clone(), weight: job.weight, schedule: schedule(job) };
    DutyConfig {
        lease_settings: LeaseSettings {
            lease_millis: millis_of_seconds(options.lease_s),
            max_attempts: options.attempts,
        },
        specs: options.jobs.iter().map(spec).collect(),
        summary_period_millis: millis_of_seconds(options.summary_s),
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
