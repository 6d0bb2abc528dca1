//! Sockets, disk, threads, metrics and logs.

pub mod link;
pub mod view;
