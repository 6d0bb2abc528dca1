//! Test tooling of auburnlug: stand-in database servers, TCP relay, load generator, checker and
//! plots.

pub mod announce;
pub mod check;
pub mod cut;
pub mod deployment;
mod error;
pub mod evidence;
pub mod execute;
pub mod figures;
pub mod line_group;
pub mod load;
pub mod node;
pub mod oracle;
pub mod panel;
pub mod plot;
pub mod record;
pub mod relay;
pub mod replicate;
pub mod server;
pub mod session;
pub mod slopes;
pub mod slopes_control;
pub mod statement;

pub use error::{Error, Result};
pub use node::{LogEntry, LogRecord, Node, Write};
pub use record::Sink;
