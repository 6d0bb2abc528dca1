//! Metrics of entries and control members.

use std::sync::atomic::AtomicU64;

use auburnlug_protocol::job::ErrorCode;
use auburnlug_transport::control_metrics::ControlMetrics;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the buckets of latency histograms.
const LATENCY_BUCKETS_SECONDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0];

/// Label set of a counter that is kept per reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Reason.
    pub reason: &'static str,
}

/// Label set of a gauge that is kept per server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServerLabel {
    /// Server.
    pub server: String,
}

/// Metrics of an instance.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests answered successfully.
    pub served: Counter,
    /// Requests that ended with an error, by error code.
    pub errors: Family<ReasonLabel, Counter>,
    /// Retried jobs, by reason.
    pub retries: Family<ReasonLabel, Counter>,
    /// Reads answered by a replica.
    pub replica_reads: Counter,
    /// Statements refused because no server in their home regions could run them.
    pub home_refusals: Counter,
    /// Statements/s that this entry may send to a cold server, by server.
    pub pace_rate: Family<ServerLabel, Gauge<f64, AtomicU64>>,
    /// Statements refused because this entry had no share of the rate of a cold server, or no lease.
    pub pace_refusals: Counter,
    /// Clients that were refused or closed to bound what clients hold, by reason.
    pub client_refusals: Family<ReasonLabel, Counter>,
    /// Connections opened to servers.
    pub connections_opened: Counter,
    /// Open sessions.
    pub sessions: Gauge,
    /// Seconds from the arrival of a request to its answer.
    pub latency: Histogram,
    /// Connection owners that were lost or silent, so that others are preferred.
    pub owners_avoided: Counter,
    /// Connection owners that could not use a server, so that others are preferred for it.
    pub paths_avoided: Counter,
    /// Tests of avoided connection owners.
    pub owner_tests: Counter,
    /// Jobs that stopped to wait for a slot, by reason.
    pub waits_ended: Family<ReasonLabel, Counter>,
    /// Seconds that jobs waited for a slot.
    pub slot_wait: Histogram,
    /// Promotions ordered from the authority.
    pub promotion_orders: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64, AtomicU64>,
    /// Heartbeats that were not used, by reason, counted when the reason for a name changes.
    pub unused_heartbeats: Family<ReasonLabel, Counter>,
    /// Names whose last heartbeat was not used, at the control leader.
    pub unused_senders: Gauge,
    /// Evacuated failure domains, at the control leader.
    pub evacuated_domains: Gauge,
    /// Statements refused because of evacuations.
    pub evacuation_refusals: Counter,
    /// Membership of the control group.
    pub control: ControlMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> GatewayMetrics {
        let mut registry = Registry::with_prefix("auburnlug");
        let metrics = GatewayMetrics {
            served: Counter::default(),
            errors: Family::default(),
            retries: Family::default(),
            replica_reads: Counter::default(),
            home_refusals: Counter::default(),
            pace_rate: Family::default(),
            pace_refusals: Counter::default(),
            client_refusals: Family::default(),
            connections_opened: Counter::default(),
            sessions: Gauge::default(),
            latency: Histogram::new(LATENCY_BUCKETS_SECONDS),
            owners_avoided: Counter::default(),
            paths_avoided: Counter::default(),
            owner_tests: Counter::default(),
            waits_ended: Family::default(),
            slot_wait: Histogram::new(LATENCY_BUCKETS_SECONDS),
            promotion_orders: Counter::default(),
            config_version: Gauge::default(),
            unused_heartbeats: Family::default(),
            unused_senders: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuation_refusals: Counter::default(),
            control: ControlMetrics::default(),
            registry: Registry::default(),
        };
        metrics.register_requests(&mut registry);
        metrics.register_decisions(&mut registry);
        metrics.control.register(&mut registry);
        GatewayMetrics { registry, ..metrics }
    }
}

impl GatewayMetrics {
    fn register_requests(&self, registry: &mut Registry) {
        registry.register("requests_served", "Requests answered", self.served.clone());
        registry.register("request_errors", "Requests by error", self.errors.clone());
        registry.register("job_retries", "Jobs sent again", self.retries.clone());
        registry.register("replica_reads", "Reads at replicas", self.replica_reads.clone());
        registry.register("server_connects", "Connections opened", self.connections_opened.clone());
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register("request_seconds", "Latency of requests", self.latency.clone());
        registry.register("wait_seconds", "Wait for a connection", self.slot_wait.clone());
        registry.register("promotions", "Orders of promotion", self.promotion_orders.clone());
        registry.register("config_version", "Configuration", self.config_version.clone());
    }

    /// Registers the metrics of refusals, of connection owners and of evacuations.
    fn register_decisions(&self, registry: &mut Registry) {
        registry.register(
            "home_refusals",
            "Statements without a server at home",
            self.home_refusals.clone(),
        );
        registry.register("pace_rate", "Rate of cold servers", self.pace_rate.clone());
        registry.register(
            "pace_refusals",
            "Statements without a share of a cold server",
            self.pace_refusals.clone(),
        );
        registry.register("client_refusals", "Clients by refusal", self.client_refusals.clone());
        let owners = self.owners_avoided.clone();
        registry.register("owners_avoided", "Connection owners lost or silent", owners);
        let paths = self.paths_avoided.clone();
        registry.register("paths_avoided", "Owners that could not use a server", paths);
        registry.register("owner_tests", "Tests of avoided owners", self.owner_tests.clone());
        let ended = self.waits_ended.clone();
        registry.register("slot_waits_ended", "Waits that ended without a slot", ended);
        let unused = self.unused_heartbeats.clone();
        registry.register("unused_heartbeats", "Heartbeats not used", unused);
        let senders = self.unused_senders.clone();
        registry.register("unused_senders", "Names whose last heartbeat was not used", senders);
        registry.register(
            "evacuated_domains",
            "Evacuated failure domains",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "evacuation_refusals",
            "Statements refused because of evacuations",
            self.evacuation_refusals.clone(),
        );
    }

    /// Counts an error.
    pub fn count_error(&self, code: ErrorCode) {
        self.errors.get_or_create(&ReasonLabel { reason: code.label() }).inc();
    }

    /// Counts a client that was refused or closed.
    pub fn count_client_refusal(&self, reason: &'static str) {
        self.client_refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a heartbeat that was not used.
    pub fn count_unused_heartbeat(&self, reason: &'static str) {
        self.unused_heartbeats.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a wait for a slot that ended without one.
    pub fn count_ended_wait(&self, reason: &'static str) {
        self.waits_ended.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
