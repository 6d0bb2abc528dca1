//! Sockets, disk, threads, metrics and logs.

pub mod disk;
pub mod disk_memory;
mod error;
pub mod link;
pub mod view;

pub use error::{Category, Error, Result};
