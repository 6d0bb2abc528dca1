//! A crowd of connections that send without waiting for one another.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use auburnlug_bench::line_client::Caller;

/// Passes over a crowd in which no connection takes a byte, after which the rest is not sent.
const MAX_IDLE_PASSES: usize = 2_000;

const PASS_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes that a connection is offered in one pass.
const PIECE_BYTES: usize = 256 << 10;

/// Open connections; those that the other end closes leave.
pub struct Crowd {
    members: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` times.
    pub fn connect(to: SocketAddr, count: usize) -> Crowd {
        let open = |_| {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(stream)
        };
        Crowd { members: (0..count).filter_map(open).collect() }
    }

    /// Opens `count` sessions at an entry.
    pub fn open_sessions(entry: SocketAddr, count: usize) -> Crowd {
        let open = |_| {
            let stream = Caller::open(entry, "newest", "k1")?.into_stream();
            stream.set_nonblocking(true).ok()?;
            Some(stream)
        };
        Crowd { members: (0..count).filter_map(open).collect() }
    }

    /// Sends `message` on every connection, all at the same time in pieces, until it has been sent
    /// or nobody takes more of it.
    pub fn send(&mut self, message: &[u8]) {
        let mut sent = vec![0; self.members.len()];
        let mut idle_passes = 0;
        while idle_passes < MAX_IDLE_PASSES && sent.iter().any(|count| *count < message.len()) {
            let mut progress = false;
            for (stream, count) in self.members.iter_mut().zip(&mut sent) {
                let end = message.len().min(*count + PIECE_BYTES);
                match stream.write(&message[*count..end]) {
                    Ok(written) => {
                        *count += written;
                        progress |= written > 0;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => *count = message.len(),
                }
            }
            if progress {
                idle_passes = 0;
            } else {
                idle_passes += 1;
                thread::sleep(PASS_INTERVAL);
            }
        }
    }

    /// Closes the sending direction of every connection.
    pub fn half_close(&mut self) {
        for stream in &self.members {
            let _ = stream.shutdown(Shutdown::Write);
        }
    }

    /// Connections that the other end has not closed.
    pub fn open_count(&mut self) -> usize {
        let mut byte = [0; 1];
        let mut is_open = |stream: &mut TcpStream| match stream.read(&mut byte) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        };
        self.members.iter_mut().filter_map(|stream| is_open(stream).then_some(())).count()
    }
}
