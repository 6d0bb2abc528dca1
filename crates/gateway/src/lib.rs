//! Runs statements of callers on servers that announce themselves, behind wire protocols that an
//! adapter supplies.
//!
//! Entries take callers and hold connections to servers; control members agree on configuration,
//! servers and primaries. One thread serves an instance.

pub mod admission;
pub mod conn;
pub mod control;
pub mod control_handle;
mod control_lead;
mod control_links;
mod control_log;
mod control_plans;
mod control_succession;
pub mod entry;
pub mod executor;
pub mod local;
pub mod metrics;
pub mod pool;
pub mod relay;
pub mod router;
pub mod session;
mod session_log;
mod session_refusal;
pub mod stop;
pub mod wire;
