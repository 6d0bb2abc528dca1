//! Values that are encoded once for many receivers, and compressed: entries may have links of
//! 2 Mbit/s, and a control leader with a part of a core sends the same to hundreds of them.

use std::io::Read;

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Error, Result, decode};

/// Largest decoded value, in bytes: what is gone and what is new of a configuration, each at most
/// one document of the operator interface (4 MiB).
const LARGEST: u64 = 8 << 20;

/// Compressed CBOR form of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed {
    #[serde(with = "auburnlug_state::bytes")]
    data: Vec<u8>,
}

impl Packed {
    /// Encodes a value.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the value has no CBOR form.
    pub fn new<T: Serialize>(value: &T) -> Result<Packed> {
        let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
        ciborium::into_writer(value, &mut out).map_err(Error::codec)?;
        Ok(Packed { data: out.finish().map_err(Error::codec)? })
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if it cannot be read or is too large.
    pub fn open<T: DeserializeOwned>(&self) -> Result<T> {
        let mut data = Vec::new();
        let mut input = DeflateDecoder::new(&self.data[..]).take(LARGEST + 1);
        input.read_to_end(&mut data).map_err(Error::codec)?;
        if data.len() as u64 > LARGEST {
            return Err(Error::codec("the value is too large"));
        }
        decode(&data)
    }
}
