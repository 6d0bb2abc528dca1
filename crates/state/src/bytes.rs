//! Byte strings as CBOR byte strings; as lists of numbers they would take up to twice the space.

use std::fmt;

use serde::{Deserializer, Serializer, de};

/// Writes one byte string.
///
/// # Errors
///
/// Those of the serializer.
pub fn serialize<S: Serializer>(data: &[u8], out: S) -> Result<S::Ok, S::Error> {
    out.serialize_bytes(data)
}

/// Reads one byte string.
///
/// # Errors
///
/// The input is no byte string.
pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
    input.deserialize_byte_buf(Bytes)
}

struct Bytes;

impl de::Visitor<'_> for Bytes {
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
