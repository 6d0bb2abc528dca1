//! The replicated state machine of the system and its encoding.
//!
//! This crate does no I/O. Commands come from the replicated log, and all instances that apply the
//! same commands in the same order have the same [`Machine`].

pub mod backends;
pub mod byte_size;
pub mod bytes;
mod command;
mod config;
pub mod departures;
mod error;
pub mod fleet;
pub mod fleet_config_delta;
pub mod limits;
mod machine;
mod machine_config;
mod name;
mod position;
pub mod record;
mod template;

pub use command::{Change, Command, Edit, Instance, Role, Server, Shard, ShardOwner};
pub use config::{
    Account, Class, Config, Group, Kind, Route, check_account_limits, parse_key_hash,
};
pub use error::{Category, Error, Result};
pub use machine::{Applied, GroupState, Machine};
pub use machine_config::History;
pub use name::Name;
pub use position::Position;

/// Index of an entry in the replicated log. The first entry has index 1.
pub type Index = u64;

/// A duration in milliseconds, or a time on the monotonic clock of a process.
pub type Millis = u64;

/// Term of a database group, or of the replicated log.
pub type Term = u64;
