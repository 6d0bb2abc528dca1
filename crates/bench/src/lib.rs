//! Test tooling of auburnlug: stand-in database servers, relay, load, checker and plots.

pub mod announce;
pub mod cut;
mod error;
pub mod execute;
pub mod node;
pub mod panel;
pub mod record;
pub mod replicate;
pub mod server;
pub mod session;
pub mod statement;

pub use error::{Error, Result};
pub use node::{Entry, Node, Step, Write};
pub use record::Sink;
