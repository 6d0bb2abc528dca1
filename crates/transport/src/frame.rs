//! Frames of the PostgreSQL protocol.
//!
//! Answers are forwarded as bytes, so the stream is split at message boundaries without decoding
//! the bodies. Only bodies that the proxy has to read or write are handled with `pgwire`.

use std::{
    io::{Error, ErrorKind},
    panic::{AssertUnwindSafe, catch_unwind},
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, Message,
    response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
};
use tokio::io::{AsyncRead, AsyncReadExt};

use auburnlug_protocol::outcome::SqlError;

/// Size of the message header: type and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// A complete message with its header.
#[derive(Debug, Clone)]
pub(crate) struct Frame {
    /// Message type.
    pub tag: u8,
    /// Type, length and body.
    pub bytes: Bytes,
}

impl Frame {
    /// Decodes the message; `None` if it is malformed.
    pub(crate) fn decode<M: Message>(&self) -> Option<M> {
        decode(&mut BytesMut::from(&self.bytes[..]))
    }

    /// Body without the header.
    pub(crate) fn body(&self) -> &[u8] {
        self.bytes.get(HEADER_BYTES..).unwrap_or_default()
    }
}

/// Decodes a message; `None` if it is malformed.
///
/// The codec panics if a length field inside a message exceeds the message. The panic is caught, so
/// that it does not end the task that serves the connection.
pub(crate) fn decode<M: Message>(buf: &mut BytesMut) -> Option<M> {
    let decode = AssertUnwindSafe(|| M::decode(buf, &DecodeContext::default()));
    catch_unwind(decode).ok()?.ok().flatten()
}

/// Splits the next complete message off `buf`; `limit` bounds its size.
///
/// # Errors
///
/// The length is not valid or exceeds the limit.
pub(crate) fn split_frame(buf: &mut BytesMut, limit: usize) -> Result<Option<Frame>, Error> {
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length = (&buf[1..HEADER_BYTES]).get_u32() as usize;
    if length < HEADER_BYTES - 1 {
        return Err(Error::new(ErrorKind::InvalidData, "message length below 4"));
    }
    if length >= limit {
        return Err(Error::new(ErrorKind::FileTooLarge, "message above the size limit"));
    }
    if buf.len() <= length {
        buf.reserve(length + 1 - buf.len());
        return Ok(None);
    }
    let bytes = buf.split_to(length + 1).freeze();
    Ok(Some(Frame { tag: bytes[0], bytes }))
}

/// Reads the next message.
///
/// # Errors
///
/// The stream ended, or the message is not valid.
pub(crate) async fn read<R>(from: &mut R, buf: &mut BytesMut, limit: usize) -> Result<Frame, Error>
where
    R: AsyncRead + Unpin,
{
    loop {
        if let Some(frame) = split_frame(buf, limit)? {
            return Ok(frame);
        }
        if from.read_buf(buf).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Splits `bytes` into messages; an incomplete message at the end is ignored.
pub(crate) fn split_frames(bytes: &[u8]) -> Vec<Frame> {
    let mut buf = BytesMut::from(bytes);
    let mut list = Vec::new();
    while let Ok(Some(frame)) = split_frame(&mut buf, usize::MAX) {
        list.push(frame);
    }
    list
}

/// Appends `message`; a message that cannot be encoded is skipped.
pub(crate) fn put<M: Message>(out: &mut BytesMut, message: &M) {
    let before = out.len();
    if message.encode(out).is_err() {
        out.truncate(before);
    }
}

/// Appends an `ErrorResponse` with the given severity.
pub(crate) fn put_error(out: &mut BytesMut, severity: &str, error: &SqlError) {
    let mut fields = vec![
        (b'S', severity.to_string()),
        (b'V', severity.to_string()),
        (b'C', error.code.to_string()),
        (b'M', error.message.to_string()),
    ];
    fields.extend(error.hint.clone().map(|hint| (b'H', hint)));
    put(out, &ErrorResponse::new(fields));
}

/// Appends `ReadyForQuery` with the transaction status `I`, `T` or `E`.
pub(crate) fn put_ready(out: &mut BytesMut, status: u8) {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    put(out, &ReadyForQuery::new(status));
}

/// Appends `CommandComplete` with `tag`.
pub(crate) fn put_complete(out: &mut BytesMut, tag: &str) {
    put(out, &CommandComplete::new(tag.to_string()));
}

/// Appends a message without a body.
pub(crate) fn put_empty(out: &mut BytesMut, tag: u8) {
    out.put_u8(tag);
    out.put_u32(4);
}
