//! A forwarder that can hold up the bytes towards its target. Held bytes are lost if their sender
//! resets the connection, and arrive otherwise once they are released.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval of checks whether the bytes are released.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Default)]
pub struct Link {
    holds: Arc<AtomicBool>,
    held_bytes: Arc<AtomicUsize>,
}

impl Link {
    pub fn open(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(listen)?;
        let link = Link::default();
        let accepting = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = accepting.clone();
                thread::spawn(move || drop(link.forward(near, target)));
            }
        });
        Ok(link)
    }

    pub fn hold(&self, holds: bool) {
        self.holds.store(holds, Ordering::Release);
    }

    /// Bytes that were held up so far.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Acquire)
    }

    fn forward(&self, mut near: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        let mut far = TcpStream::connect(target)?;
        let (mut from_far, mut to_near) = (far.try_clone()?, near.try_clone()?);
        thread::spawn(move || {
            let _ = std::io::copy(&mut from_far, &mut to_near);
            let _ = to_near.shutdown(Shutdown::Write);
        });
        near.set_read_timeout(Some(CHECK_INTERVAL))?;
        let mut pending = Vec::new();
        let mut chunk = [0; 4096];
        let mut ended = false;
        loop {
            if !self.holds.load(Ordering::Acquire) {
                far.write_all(&pending)?;
                pending.clear();
                if ended {
                    return far.shutdown(Shutdown::Write);
                }
            }
            if ended {
                thread::sleep(CHECK_INTERVAL);
                // A reset after the end of the stream is found here.
                if near.take_error()?.is_some() {
                    return Ok(());
                }
                continue;
            }
            match near.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(count) => {
                    pending.extend_from_slice(&chunk[..count]);
                    if self.holds.load(Ordering::Acquire) {
                        self.held_bytes.fetch_add(count, Ordering::AcqRel);
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // Reset by its sender: what is pending is lost.
                Err(e) => return Err(e),
            }
        }
    }
}
