//! Sockets, disk, threads, metrics and logs.

pub mod view;
