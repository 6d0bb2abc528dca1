//! The decision logic of the proxy: consensus, leases, ownership, failover, routing, rate limits
//! and retries.
//!
//! Nothing in this crate does I/O. Time, messages and randomness are arguments, and effects are
//! returned as values, so that tests can run the same code under a simulated clock.

pub mod acks;
pub mod allotment;
pub mod assign;
pub mod bootstrap;
pub mod changes;
pub mod client_budget;
pub mod connection_owners;
pub mod dedup;
pub mod directory;
pub mod entry_leases;
mod error;
pub mod evacuation;
pub mod external_failover;
pub mod failover;
mod failover_step;
pub mod freshness;
pub mod heartbeats;
pub mod home_regions;
pub mod leader_silence;
pub mod lease;
pub mod membership;
pub mod membership_step;
pub mod observation;
pub mod owner_health;
pub mod pending_entries;
pub mod position_samples;
pub mod probe_pace;
pub mod queue;
mod quorum;
pub mod raft;
mod raft_leader;
mod raft_log;
mod raft_message;
pub mod rate_share;
pub mod redundancy;
pub mod regional_limiters;
pub mod registration;
pub mod retry;
pub mod route;
pub mod server_choice;
pub mod server_pace;
pub mod server_reports;
pub mod session;
mod sized_entries;
pub mod slot_queue;
pub mod slot_wait;
pub mod standby_level;
pub mod token_bucket;
pub mod update_pace;

pub use auburnlug_state::{Millis, Position, Term};
pub use error::{Category, Error, Result};
