//! Metrics of a control member.

use std::time::Duration;

use auburnlug_coordination::{membership_step::StepKind, raft::Members, redundancy::Redundancy};
use auburnlug_state::Millis;
use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    event::{Event, log},
    metrics::Label,
};

/// Value of the tolerated disk losses at members that do not lead.
const NOT_LEADING: i64 = -1;

/// Upper bounds of the buckets for steps of the control thread. The leader lease of the gateway is
/// 250 ms.
const STEP_BUCKETS_SECONDS: [f64; 8] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Metrics of a control member. Clones share their values.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    voters: Gauge,
    learners: Gauge,
    leads: Gauge,
    lost: Gauge,
    leaderless: Gauge,
    tolerated: Gauge,
    configured: Gauge,
    steps: Family<Label, Counter>,
    log_bytes: Gauge,
    snapshot_bytes: Gauge,
    compactions: Counter,
    step_time: Histogram,
}

impl Default for ControlMetrics {
    fn default() -> ControlMetrics {
        let metrics = ControlMetrics {
            voters: Gauge::default(),
            learners: Gauge::default(),
            leads: Gauge::default(),
            lost: Gauge::default(),
            leaderless: Gauge::default(),
            tolerated: Gauge::default(),
            configured: Gauge::default(),
            steps: Family::default(),
            log_bytes: Gauge::default(),
            snapshot_bytes: Gauge::default(),
            compactions: Counter::default(),
            step_time: Histogram::new(STEP_BUCKETS_SECONDS),
        };
        metrics.tolerated.set(NOT_LEADING);
        // A step that was not proposed yet shows as 0.
        for kind in StepKind::ALL {
            metrics.steps.get_or_create(&Label { kind: kind.label() }).inc_by(0);
        }
        metrics
    }
}

impl ControlMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.register_group(registry);
        registry.register(
            "control_log_bytes",
            "Bytes of the stored log, with records that are no longer in effect",
            self.log_bytes.clone(),
        );
        registry.register(
            "control_snapshot_bytes",
            "Bytes of the last snapshot",
            self.snapshot_bytes.clone(),
        );
        registry.register(
            "control_compactions",
            "Snapshots that replaced the log",
            self.compactions.clone(),
        );
        registry.register(
            "control_step_seconds",
            "Time from one run of the control thread to the end of the next one",
            self.step_time.clone(),
        );
    }

    fn register_group(&self, registry: &mut Registry) {
        registry.register("control_voters", "Voters of the control group", self.voters.clone());
        registry.register(
            "control_learners",
            "Learners of the control group",
            self.learners.clone(),
        );
        registry.register(
            "control_leads",
            "Whether this member leads the control group",
            self.leads.clone(),
        );
        registry.register(
            "control_voters_lost",
            "Voters whose instance has returned under another identity, without its disk",
            self.lost.clone(),
        );
        registry.register(
            "control_leaderless_ms",
            "Time for which this member has known no control leader; 0 while it knows one",
            self.leaderless.clone(),
        );
        registry.register(
            "control_losses_tolerated",
            "Disk losses that the control group tolerates now; -1 unless this member leads",
            self.tolerated.clone(),
        );
        registry.register(
            "control_losses_configured",
            "Disk losses that the control group must tolerate",
            self.configured.clone(),
        );
        registry.register(
            "control_membership_steps",
            "Membership steps that this member proposed as leader",
            self.steps.clone(),
        );
    }

    /// Sets the disk losses that the group must tolerate.
    pub(crate) fn set_configured(&self, losses: usize) {
        self.configured.set(gauge_value(losses));
    }

    /// Sets the membership that this member knows, and whether it leads.
    pub(crate) fn set_members(&self, members: &Members, leads: bool) {
        self.voters.set(gauge_value(members.voters.len()));
        self.learners.set(gauge_value(members.learners.len()));
        self.leads.set(i64::from(leads));
    }

    /// Sets the number of voters that are known to have lost their disks.
    pub(crate) fn set_lost(&self, voters: usize) {
        self.lost.set(gauge_value(voters));
    }

    /// Sets the time without a known leader; 0 while one is known.
    pub(crate) fn set_leaderless(&self, time: Millis) {
        self.leaderless.set(i64::try_from(time).unwrap_or(i64::MAX));
    }

    /// Sets the tolerated disk losses; `None` unless this member leads.
    pub(crate) fn set_redundancy(&self, redundancy: Option<Redundancy>) {
        self.tolerated.set(redundancy.map_or(NOT_LEADING, |known| gauge_value(known.tolerated)));
    }

    /// Sets the sizes of the stored log and of the last snapshot, in bytes.
    pub(crate) fn set_stored(&self, log: u64, snapshot: usize) {
        self.log_bytes.set(i64::try_from(log).unwrap_or(i64::MAX));
        self.snapshot_bytes.set(gauge_value(snapshot));
    }

    /// Counts a snapshot that replaced the log.
    pub(crate) fn count_compaction(&self) {
        self.compactions.inc();
    }

    /// Records the time from one run of the control thread to the end of the next one, in
    /// milliseconds, and logs it from `limit` on. The thread runs at each tick, so more than that is
    /// time in which it was held up, also by the encoding of messages on its links.
    pub fn record_step(&self, time: Millis, limit: Millis) {
        self.step_time.observe(Duration::from_millis(time).as_secs_f64());
        if time >= limit {
            log(Event::StepDelayed, format_args!("ms={time} limit_ms={limit}"));
        }
    }

    /// Counts a membership step that this member proposed.
    pub(crate) fn count_step(&self, kind: StepKind) {
        self.steps.get_or_create(&Label { kind: kind.label() }).inc();
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
