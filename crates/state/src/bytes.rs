//! Serde functions that encode `Vec<u8>` as a byte string.
//!
//! Serde's default is a list of numbers, which takes up to twice the space in CBOR.

use std::fmt;

use serde::{Deserializer, Serializer, de};

/// Serializes a byte string.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(data)
}

/// Deserializes a byte string.
///
/// # Errors
///
/// The input is not a byte string.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

struct BytesVisitor;

impl de::Visitor<'_> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, data: &[u8]) -> Result<Vec<u8>, E> {
        Ok(data.to_vec())
    }

    fn visit_byte_buf<E: de::Error>(self, data: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(data)
    }
}
