//! Sockets, disk, threads, metrics and logs.

mod batch;
mod caller;
pub mod clock;
pub mod control;
mod control_core;
mod control_leader;
mod control_links;
mod control_member;
pub mod disk;
mod disk_error;
pub mod disk_memory;
mod entry;
mod error;
pub mod event;
mod forward;
mod frame;
mod group;
mod handshake;
pub mod http;
pub mod instance;
pub mod link;
pub mod metrics;
mod monitor;
mod operator;
mod owner;
mod owner_run;
mod pool;
pub mod server;
pub mod socket;
mod status;
pub mod traffic;
pub mod view;

pub use error::{Category, Error, Result};
