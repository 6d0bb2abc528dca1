//! Messages of the wire protocols and of the operator interface, and the settings of an instance:
//! types, encoding, decoding and validation.

pub mod announce;
pub mod auth;
mod codec;
pub mod config_delta;
mod error;
pub mod fleet;
pub mod job;
pub mod operator;
pub mod outcome;
pub mod packed;
pub mod peer;
mod scan;
pub mod settings;
pub mod statement;

pub use codec::{decode, encode};
pub use error::{Category, Error, Result};
pub use settings::Settings;
