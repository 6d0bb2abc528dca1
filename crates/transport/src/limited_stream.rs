//! TCP stream that ends after a number of bytes, until its peer has proven itself.

use std::{
    io::{Error, ErrorKind, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Stream from which only a limited number of bytes is read.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    /// Bytes that may still be read; `None` without a limit.
    left: Option<usize>,
}

impl LimitedStream {
    /// A stream that fails once more than `limit` bytes have been read.
    pub(crate) fn new(stream: TcpStream, limit: usize) -> LimitedStream {
        LimitedStream { stream, left: Some(limit) }
    }

    /// Removes the limit.
    pub(crate) fn lift_limit(&mut self) {
        self.left = None;
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if let Some(left) = self.left {
            let Some(left) = left.checked_sub(buffer.filled().len() - before) else {
                return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, "handshake too long")));
            };
            self.left = Some(left);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
