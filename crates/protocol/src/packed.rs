//! Values that are encoded and compressed once for many receivers.
//!
//! Entries may have links of only 2 Mbit/s, and a control leader that runs on part of a core sends
//! the same values to hundreds of them.

use std::io::Read;

use auburnlug_state::byte_size::ByteSize;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Error, Result, decode};

/// Allows for the removed and the new values of a configuration change, each at most as large as
/// one document of the operator interface (4 MiB).
const MAX_DECODED_BYTES: u64 = 8 << 20;

/// Compressed CBOR form of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed {
    #[serde(with = "auburnlug_state::bytes")]
    data: Vec<u8>,
}

impl ByteSize for Packed {
    fn byte_size(&self) -> usize {
        self.data.len()
    }
}

impl Packed {
    /// Encodes and compresses a value.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the value cannot be encoded as CBOR.
    pub fn new<T: Serialize>(value: &T) -> Result<Packed> {
        let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
        ciborium::into_writer(value, &mut out).map_err(Error::codec)?;
        Ok(Packed { data: out.finish().map_err(Error::codec)? })
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the value cannot be decoded or is too large.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T> {
        let mut data = Vec::new();
        let mut input = DeflateDecoder::new(&self.data[..]).take(MAX_DECODED_BYTES + 1);
        input.read_to_end(&mut data).map_err(Error::codec)?;
        if data.len() as u64 > MAX_DECODED_BYTES {
            return Err(Error::codec("the value is too large"));
        }
        decode(&data)
    }
}
