//! What the decision module is told and what it may answer. Plain data: no decision is taken here.
//!
//! All times are milliseconds on the front's monotonic clock, all sizes kilobytes.

/// Names one request for as long as the server lives.
pub type RequestId = u32;

/// What a run of a request leaves behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be run any number of times.
    Safe,
    /// Carries a key; runs at most once here within its class's window.
    Keyed,
    /// Has an effect and nothing to recognise a repeat by.
    Unsafe,
}

/// What this server calls while it runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Below {
    Nothing,
    /// One dependency for the whole fleet.
    Shared,
    /// Servers of a further tier, behind a balancer of their own.
    Tier,
}

/// What stopping a running request does to its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopping {
    Impossible,
    LosesWork,
    KeepsWork,
}

/// How callers read the number attached to answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Unused,
    /// Nothing that ranks lower is sent.
    LowestRank,
    /// So many requests in flight for each caller.
    Credit,
    /// The chance that a caller does not pass this server by.
    SendShare,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub effect: Effect,
    /// An answer within this long of the first try earns its full worth.
    pub aim: f64,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// The client waits no longer than this, over all its tries.
    pub give_up: f64,
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Keyed only: how long after an arrival the same request may come again.
    pub window: f64,
    /// Its requests may call below.
    pub calls: bool,
    /// Share of the worth that an answer without its call still earns.
    pub skip_worth: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over the whole fleet.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// Worth counts for each unit of work rather than for each request.
    pub worth_by_work: bool,
    /// Servers of this tier, and those that call it, as listed at this start.
    pub servers: f64,
    pub callers: f64,
    /// 0 for the tier that clients reach, 1 for the one below it, and so on.
    pub tier: u32,
    pub cores: f64,
    pub memory_kb: f64,
    /// Memory of a running request over that of a held one.
    pub run_memory: f64,
    /// Memory of one remembered key.
    pub entry_kb: f64,
    pub below: Below,
    /// Mean number of calls in hand that the shared dependency allows this server.
    pub call_share: f64,
    /// Span of that mean.
    pub call_span: f64,
    /// How long an abandoned call may stay in the dependency's hands.
    pub call_lingers: f64,
    /// How long a safe read's answer may serve others; 0 is never.
    pub fresh: f64,
    pub stopping: Stopping,
    pub signal: Signal,
    /// Callers remember the signal for so long.
    pub heeded: f64,
    /// Callers close idle connections after this.
    pub idle: f64,
    /// Worth points lost for each new connection per first try.
    pub handshake_price: f64,
    /// Requests tell how long their caller still waits.
    pub tells_wait: bool,
    /// A caller that leaves says so; elsewhere it is gone because its connection broke.
    pub tells_gone: bool,
    /// Started into a running fleet, with caches and code still cold.
    pub cold: bool,
    pub cold_share: f64,
    pub cold_span: f64,
    /// An answer may come so much after its due time.
    pub answer_slack: f64,
    /// What arrives later than this after the notice to leave is not run.
    pub drain_grace: f64,
    /// Requests on the cores, for each core, that a warm server survives in the mean of `crowd_span`.
    pub crowd: f64,
    pub crowd_span: f64,
    /// The longest advice to stay away that callers honour; 0 where none is passed on.
    pub longest_pause: f64,
    /// Least time between two batches.
    pub tick: f64,
}

/// What of the settings may change while serving. Classes and tenants keep their places; tenants may be added.
#[derive(Clone, Debug)]
pub struct Terms {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    pub drain_grace: f64,
}

/// One request as read, held from now on.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    /// How long its caller still waits, where that is told.
    pub wait_left: f64,
    /// Estimated work, where there is an estimate.
    pub work: Option<f64>,
    pub kb: f64,
    /// From 0 to 1: its place by worth among all requests.
    pub rank: f64,
    /// A marked retry or second copy.
    pub retry: bool,
    pub caller: u64,
    /// Time since it reached the machine.
    pub age: f64,
    /// How long its caller had waited by then, where that is known; else 0. It counts against its aim and its end, and
    /// not as delay of this server's.
    pub spent: f64,
    /// The remembered request that this one repeats.
    pub repeats: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// Failed, perhaps after taking effect.
    Error,
    /// Turned away unseen: never ran.
    Rejected,
    /// Abandoned: may have run.
    TimedOut,
    /// Nothing could be reached: never ran.
    Unreachable,
    /// Broken off: may have run.
    Broken,
    /// Stopped, or ended because nobody waits.
    Cancelled,
    /// The request was over before anything started.
    Moot,
}

/// Measured on the server when a timer fires; absent where the site does not measure it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy share of the cores of late.
    pub core_use: Option<f64>,
    /// Everything that runs on or waits for a core.
    pub on_cores: Option<f64>,
    pub memory_share: Option<f64>,
    pub connections: Option<f64>,
}

/// How the module sees the server's load, for those who ask; nothing is decided by it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The share of usual traffic that callers are told, 0 to 1.
    pub share: f64,
    /// Hold time over its set point, at the last sample.
    pub over_aim: f64,
    /// Runs at once that may be, and that are.
    pub limit: f64,
    pub running: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    Arrived(Arrival),
    /// Its caller left; no answer is owed.
    CallerGone(RequestId),
    TimerFired(Gauges),
    /// A running request waits to be told about its call.
    NeedsCall(RequestId),
    CallEnded {
        id: RequestId,
        outcome: Outcome,
        took: f64,
    },
    RunEnded {
        id: RequestId,
        outcome: Outcome,
        took: f64,
    },
    /// New terms count from now on; requests in hand keep the times they came with.
    Settled(Box<Terms>),
    /// This server is killed after `left`.
    Leaving {
        left: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Run(RequestId),
    /// Serve from the result of the request that this one repeats.
    Reuse(RequestId),
    /// Final answer: turned away, never ran.
    Refuse {
        id: RequestId,
        pause: f64,
        last: bool,
    },
    /// Final answer: failed.
    Fail(RequestId),
    Stop(RequestId),
    Call {
        id: RequestId,
        abandon_at: f64,
    },
    SkipCall(RequestId),
    Remember {
        id: RequestId,
        span: f64,
    },
    Forget(RequestId),
    Health {
        good: bool,
        stored: bool,
    },
    Tell(f64),
    CloseIdleAfter(f64),
    WakeAt(f64),
    Note(String),
}
