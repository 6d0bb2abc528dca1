//! Test tooling of auburnlug: stand-in database servers, TCP relay, load generator, checker and
//! plots.

pub mod announce;
pub mod check;
pub mod control_api;
pub mod control_load;
pub mod control_processes;
pub mod cut;
pub mod deployment;
mod error;
pub mod executor;
pub mod figures;
pub mod held_link;
pub mod line_client;
pub mod line_group;
pub mod line_processes;
pub mod links;
pub mod load;
pub mod node;
pub mod oracle;
pub mod plot;
pub mod processes;
pub mod record;
pub mod relay;
pub mod replicate;
pub mod run_records;
pub mod server;
pub mod session;
pub mod slopes;
pub mod statement;

pub use error::{Error, Result};
pub use node::{LogEntry, LogRecord, Node, Write};
pub use record::Sink;
