//! The replicated state of the system and its encoding.
//!
//! Nothing here does I/O. Commands come from the agreed log, and every instance that applies the
//! same commands in the same order holds the same [`Machine`].

pub mod bytes;
mod command;
mod config;
mod error;
pub mod fleet;
mod machine;
mod machine_config;
mod name;
pub mod plan_delta;
pub mod record;
mod template;

pub use command::{Change, Command, Edit, Holder, Instance, Role, Server, Shard};
pub use config::{Account, Class, Config, Group, Kind, Route, check_limits, key_hash};
pub use error::{Category, Error, Result};
pub use machine::{Applied, GroupState, Machine};
pub use machine_config::History;
pub use name::Name;

/// Index of an entry in the agreed log. The first entry has index 1.
pub type Index = u64;

/// Milliseconds on a process's monotonic clock.
pub type Millis = u64;

/// Term of a database group, or of the agreed log.
pub type Term = u64;
