//! Metrics of the traffic runtime and of the links.

use auburnlug_protocol::{
    auth::Purpose,
    peer::{Outcome, Reason},
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::control_metrics::ControlMetrics;

/// Label of a metric that is split by reason, outcome or part.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Label {
    /// Reason, outcome or part.
    pub kind: &'static str,
}

const FAILOVER_GAP_BOUNDS_SECONDS: [f64; 8] = [0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 3.0];

/// Labels of the counters of links.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LinkLabel {
    /// What the link is for.
    pub purpose: &'static str,
    /// `in` or `out`.
    pub direction: &'static str,
}

/// Bytes and messages on links to other instances, after the handshake.
#[derive(Debug, Clone, Default)]
pub struct LinkMetrics {
    bytes: Family<LinkLabel, Counter>,
    messages: Family<LinkLabel, Counter>,
}

impl LinkMetrics {
    /// Counters of one direction of the links for `purpose`.
    pub fn meter(&self, purpose: Purpose, direction: &'static str) -> Meter {
        let purpose = match purpose {
            Purpose::Control => "control",
            Purpose::Traffic => "traffic",
        };
        let label = LinkLabel { purpose, direction };
        let bytes = self.bytes.get_or_create(&label).clone();
        Meter { bytes, messages: self.messages.get_or_create(&label).clone() }
    }
}

/// Counters of one direction of a link.
#[derive(Debug, Clone)]
pub struct Meter {
    bytes: Counter,
    messages: Counter,
}

impl Meter {
    /// Counts a message with `payload` bytes and its WebSocket frame header, but not the masking
    /// key nor the TCP and IP headers.
    pub fn count(&self, payload: usize) {
        let header = match payload {
            0..=125 => 2,
            126..=0xffff => 4,
            _ => 10,
        };
        self.bytes.inc_by(payload as u64 + header);
        self.messages.inc();
    }
}

/// Metrics of an instance's traffic.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Refusals by reason.
    pub refusals: Family<Label, Counter>,
    /// Retries by reason.
    pub retries: Family<Label, Counter>,
    /// Exchanges with standbys by result.
    pub copies: Family<Label, Counter>,
    /// Definite answers by outcome.
    pub outcomes: Family<Label, Counter>,
    /// Reads served by replicas.
    pub replica_reads: Counter,
    /// Reads served by primaries.
    pub primary_reads: Counter,
    /// Open connections of callers.
    pub callers: Gauge,
    /// Open connections to database servers, except those of monitors.
    pub connections: Gauge,
    /// Parts of failover gaps, in seconds.
    pub failover: Family<Label, Histogram>,
    /// Bytes and messages on links.
    pub links: LinkMetrics,
    /// Membership of the control group.
    pub control: ControlMetrics,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("auburnlug");
        let refusals = Family::default();
        registry.register("refusals", "Refused requests by reason", refusals.clone());
        let retries = Family::default();
        registry.register("retries", "Retries by reason", retries.clone());
        let copies = Family::default();
        registry.register("copies", "Exchanges with standbys by result", copies.clone());
        let outcomes = Family::default();
        registry.register("outcomes", "Answered requests by outcome", outcomes.clone());
        let replica_reads = Counter::default();
        registry.register("replica_reads", "Reads served by replicas", replica_reads.clone());
        let primary_reads = Counter::default();
        registry.register("primary_reads", "Reads served by primaries", primary_reads.clone());
        let callers = Gauge::default();
        registry.register("callers", "Open connections of callers", callers.clone());
        let connections = Gauge::default();
        registry.register(
            "connections",
            "Open connections to database servers",
            connections.clone(),
        );
        let failover = Family::new_with_constructor(failover_histogram as fn() -> Histogram);
        registry.register("failover_seconds", "Parts of failover gaps", failover.clone());
        let links = LinkMetrics::default();
        registry.register("link_bytes", "Bytes on links between instances", links.bytes.clone());
        registry.register("link_messages", "Messages on links", links.messages.clone());
        let control = ControlMetrics::default();
        control.register(&mut registry);
        Metrics {
            registry,
            refusals,
            retries,
            copies,
            outcomes,
            replica_reads,
            primary_reads,
            callers,
            connections,
            failover,
            links,
            control,
        }
    }
}

impl Metrics {
    /// Counts the definite answer to a request.
    pub fn count_answer(&self, outcome: &Outcome) {
        if let Outcome::Refused { reason, .. } = outcome {
            self.refusals.get_or_create(&Label { kind: reason_label(*reason) }).inc();
        }
        self.outcomes.get_or_create(&Label { kind: outcome_label(outcome) }).inc();
    }

    /// Counts a refusal by this entry itself.
    pub fn count_refusal(&self, kind: &'static str) {
        self.refusals.get_or_create(&Label { kind }).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, kind: &'static str) {
        self.retries.get_or_create(&Label { kind }).inc();
    }

    /// Counts an exchange with a standby.
    pub fn count_standby_exchange(&self, kind: &'static str) {
        self.copies.get_or_create(&Label { kind }).inc();
    }

    /// Records the duration of a part of a failover gap, in milliseconds.
    pub fn record_failover_gap(&self, kind: &'static str, millis: u64) {
        let seconds = millis as f64 / 1000.0;
        self.failover.get_or_create(&Label { kind }).observe(seconds);
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn failover_histogram() -> Histogram {
    Histogram::new(FAILOVER_GAP_BOUNDS_SECONDS)
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Refused { .. } => "refused",
        Outcome::Unknown => "unknown",
    }
}

fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Rate => "rate",
        Reason::Overload => "overload",
        Reason::Primary => "primary",
        Reason::Owner => "owner",
        Reason::Lease => "lease",
        Reason::Key => "key",
        Reason::Stopping => "stopping",
        Reason::State => "state",
        Reason::Connection => "connection",
        Reason::Size => "size",
        Reason::Cancelled => "cancelled",
        Reason::Standby => "standby",
    }
}
