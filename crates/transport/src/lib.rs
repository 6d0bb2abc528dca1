//! Sockets, disk, threads, metrics and logs.

mod batch;
mod caller;
mod dispatch;
mod entry;
mod forward;
mod frame;
mod group;
mod handshake;
mod held;
pub mod link;
mod member;
pub mod metrics;
mod monitor;
mod owner;
mod owner_failover;
mod owner_run;
mod pool;
mod rate;
mod rate_owner;
pub mod server;
mod status;
pub mod traffic;
pub mod view;
