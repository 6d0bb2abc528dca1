//! CBOR encoding of messages between instances.

use serde::{Serialize, de::DeserializeOwned};

use crate::{Error, Result};

/// Encodes a message.
///
/// # Errors
///
/// [`crate::Category::Codec`] if the message cannot be encoded as CBOR.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    let mut out = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut out).map_err(Error::codec)?;
    Ok(out)
}

/// Decodes a message; trailing bytes are an error.
///
/// # Errors
///
/// [`crate::Category::Codec`] if the bytes are not exactly one message.
pub fn decode<M: DeserializeOwned>(mut bytes: &[u8]) -> Result<M> {
    let message = ciborium::from_reader(&mut bytes).map_err(Error::codec)?;
    if !bytes.is_empty() {
        return Err(Error::codec(format!("{} bytes after the message", bytes.len())));
    }
    Ok(message)
}
