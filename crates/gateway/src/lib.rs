//! Database proxy: runs statements of callers on backend servers that announce themselves. An
//! adapter supplies the wire protocols.
//!
//! Entries accept callers and own connections to servers. Control members replicate configuration,
//! servers and primaries. Each instance runs on one thread.

pub mod admission;
pub mod connection;
pub mod control;
mod control_apply;
mod control_assignment;
pub mod control_configs;
mod control_confirm;
mod control_departures;
mod control_evacuation;
mod control_failover;
pub mod control_handle;
mod control_heartbeat;
mod control_input;
mod control_lead;
mod control_links;
mod control_log;
mod control_probe;
mod control_promotion;
mod control_updates;
pub mod entry;
pub mod executor;
pub mod leader_lease;
pub mod local_state;
pub mod metrics;
mod order_thread;
pub mod pool;
pub mod relay;
pub mod router;
pub mod session;
mod session_log;
pub mod session_names;
mod session_refusal;
mod session_transaction;
pub mod shutdown;
pub mod wire;
