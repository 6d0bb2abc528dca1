//! Sockets, disk, threads, metrics and logs.

pub mod clock;
pub mod control;
mod control_core;
mod control_leader;
mod control_links;
mod control_member;
pub mod disk;
mod disk_error;
pub mod disk_memory;
mod error;
pub mod event;
pub mod link;
pub mod socket;
pub mod view;

pub use error::{Category, Error, Result};
