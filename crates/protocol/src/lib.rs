//! What goes over the wire, and the settings: decoding, checking, encoding.

pub mod operator;
pub mod peer;
