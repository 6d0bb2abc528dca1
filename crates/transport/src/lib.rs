//! Sockets, disk, threads, metrics and logs.

mod batch;
mod caller;
mod entry;
mod forward;
mod frame;
mod group;
mod handshake;
pub mod link;
pub mod metrics;
mod monitor;
mod owner;
mod owner_run;
mod pool;
pub mod server;
mod status;
pub mod traffic;
pub mod view;
