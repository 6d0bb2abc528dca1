//! Encoding of log records and snapshots.
//!
//! A record is a header of 12 bytes and a CBOR payload. The header holds the payload's length, the
//! payload's CRC32 and the CRC32 of these two numbers, all in little-endian order. The header has
//! its own checksum because a corrupted length would otherwise look like an incomplete last record,
//! and truncating the file there would remove acknowledged records.

use serde::{Serialize, de::DeserializeOwned};

use crate::{Error, Result};

const HEADER_BYTES: usize = 12;

/// Bounds the memory that reading one record takes.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// Result of decoding the bytes at a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodedRecord<T> {
    /// A complete record and its length in bytes, including the header.
    Record(T, usize),
    /// No bytes are left.
    End,
    /// An incomplete last record, as a crash during a write leaves it.
    Torn,
}

/// Appends `value` to `out` as a record.
///
/// # Errors
/// If the payload is larger than [`MAX_PAYLOAD_BYTES`] or `value` cannot be encoded as CBOR; `out`
/// is then unchanged.
pub fn encode<T: Serialize>(value: &T, out: &mut Vec<u8>) -> Result<()> {
    let start = out.len();
    out.resize(start + HEADER_BYTES, 0);
    if let Err(e) = ciborium::into_writer(value, &mut *out) {
        out.truncate(start);
        return Err(Error::encode(e.to_string()));
    }
    let payload = &out[start + HEADER_BYTES..];
    let Some(length) =
        u32::try_from(payload.len()).ok().filter(|_| payload.len() <= MAX_PAYLOAD_BYTES)
    else {
        let size = payload.len();
        out.truncate(start);
        return Err(Error::encode(format!("{size} bytes exceed the limit of {MAX_PAYLOAD_BYTES}")));
    };
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..8].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&header[..8]);
    header[8..].copy_from_slice(&checksum.to_le_bytes());
    out[start..start + HEADER_BYTES].copy_from_slice(&header);
    Ok(())
}

/// Decodes the record at the start of `bytes`, which extend to the end of the file.
///
/// A tail of zeros counts as torn too, because file systems may extend a file before they write its
/// data.
///
/// # Errors
/// If the record is complete but corrupt. This includes a wrong checksum in the last record,
/// because a record that was synced may have been acknowledged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<DecodedRecord<T>> {
    if bytes.is_empty() {
        return Ok(DecodedRecord::End);
    }
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Ok(DecodedRecord::Torn);
    };
    if header.iter().chain(rest).all(|b| *b == 0) {
        return Ok(DecodedRecord::Torn);
    }
    let [l0, l1, l2, l3, p0, p1, p2, p3, h0, h1, h2, h3] = *header;
    if crc32fast::hash(&header[..8]) != u32::from_le_bytes([h0, h1, h2, h3]) {
        return Err(Error::corrupt("the header's checksum is wrong"));
    }
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(Error::corrupt("the length exceeds the limit"));
    }
    let Some(payload) = rest.get(..length) else { return Ok(DecodedRecord::Torn) };
    if crc32fast::hash(payload) != u32::from_le_bytes([p0, p1, p2, p3]) {
        return Err(Error::corrupt("the payload's checksum is wrong"));
    }
    let mut remaining = payload;
    let value = ciborium::from_reader(&mut remaining)
        .map_err(|_| Error::corrupt("the payload is not of the expected type"))?;
    if !remaining.is_empty() {
        return Err(Error::corrupt("the payload has surplus bytes"));
    }
    Ok(DecodedRecord::Record(value, HEADER_BYTES + length))
}

/// Encodes the content of a file that consists of one record, such as a snapshot.
///
/// # Errors
/// As [`encode`].
pub fn encode_file<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut out = Vec::new();
    encode(value, &mut out)?;
    Ok(out)
}

/// Decodes the content of a file that consists of one record, such as a snapshot.
///
/// # Errors
/// If `bytes` are not exactly one complete record. Such a file is synced before it is renamed to
/// its final name, so a crash cannot leave it incomplete.
pub fn decode_file<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    match decode(bytes)? {
        DecodedRecord::Record(value, length) if length == bytes.len() => Ok(value),
        DecodedRecord::Record(..) => Err(Error::corrupt("surplus bytes follow the record")),
        DecodedRecord::End | DecodedRecord::Torn => Err(Error::corrupt("the record is incomplete")),
    }
}
