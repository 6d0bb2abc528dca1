//! Sockets, disk, threads, metrics and logs.

mod error;
pub mod event;
pub mod link;
pub mod socket;
pub mod view;

pub use error::{Category, Error, Result};
