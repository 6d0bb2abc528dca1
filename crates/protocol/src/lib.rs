//! What goes over the wire, and the settings: decoding, checking, encoding.

pub mod outcome;
pub mod peer;
mod scan;
pub mod statement;
