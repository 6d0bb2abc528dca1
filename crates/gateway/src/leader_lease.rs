//! Lease of the control leader, as the tasks that send its orders see it.
//!
//! A successor may send orders as soon as the lease has ended, so an order must not take effect
//! later. The bytes of an order that a partition holds up arrive once it heals, unless the sender
//! has reset the connection. So an order is sent on a connection that is reset when it is closed, by
//! the process or at its end; the connection is closed as soon as the lease is lost; and the
//! operating system drops what is not acknowledged by then, even if the process is suspended.

use std::{
    future::poll_fn,
    io,
    os::fd::{AsFd, OwnedFd},
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::Poll,
    time::Duration,
};

use auburnlug_state::Millis;
use auburnlug_transport::{
    clock::Clock,
    event::{Event, log},
    socket,
};
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which the lease is checked while an order is in flight. It is less than the time
/// between the end of a lease and the first order of a successor.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Lease of the control leader on this member.
#[derive(Clone)]
pub struct LeaderLease {
    clock: Arc<dyn Clock>,
    end: Arc<AtomicU64>,
}

/// A duplicate of the descriptor of the connection that an order is sent on. The connection is reset
/// only once this is dropped, too.
#[derive(Debug)]
pub struct OrderSocket(OwnedFd);

impl OrderSocket {
    /// Makes a connection ready for orders.
    ///
    /// # Errors
    ///
    /// The descriptor cannot be duplicated, or an option of the connection cannot be set.
    pub fn new(connection: &impl AsFd) -> io::Result<OrderSocket> {
        socket::reset_on_close(connection)?;
        Ok(OrderSocket(connection.as_fd().try_clone_to_owned()?))
    }
}

/// End of a task that sends an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sending<T> {
    /// The task has ended with this result.
    Ended(T),
    /// The lease was lost meanwhile; the order may have arrived.
    Abandoned,
    /// The lease was lost before; nothing was sent.
    NotSent,
}

impl LeaderLease {
    /// A lease that is not held.
    pub fn new(clock: Arc<dyn Clock>) -> LeaderLease {
        LeaderLease { clock, end: Arc::default() }
    }

    /// Sets the end of the lease; `None` if it is not held.
    pub fn set_end(&self, end: Option<Millis>) {
        self.end.store(end.unwrap_or(0), Ordering::Release);
    }

    /// Time until the lease ends; 0 if it is not held.
    pub fn remaining(&self) -> Millis {
        self.end.load(Ordering::Acquire).saturating_sub(self.clock.now())
    }

    /// Runs a task that sends an order on `socket`. The task is polled only while the lease is held,
    /// and dropped once it is lost.
    pub async fn send_order<T>(
        &self,
        socket: OrderSocket,
        task: impl Future<Output = T>,
    ) -> Sending<T> {
        let started = self.clock.now();
        let mut task = pin!(task);
        let mut check = interval(LEASE_CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut limit = 0;
        let mut sent = false;
        poll_fn(|context| {
            let remaining = self.remaining();
            if remaining == 0 {
                return Poll::Ready(if sent { Sending::Abandoned } else { Sending::NotSent });
            }
            let end = self.clock.now() + remaining - started;
            if end != limit {
                limit = end;
                set_delivery_limit(&socket, limit);
            }
            sent = true;
            if let Poll::Ready(result) = task.as_mut().poll(context) {
                set_delivery_limit(&socket, 0);
                return Poll::Ready(Sending::Ended(result));
            }
            while check.poll_tick(context).is_ready() {}
            Poll::Pending
        })
        .await
    }
}

/// Sets the time after which the operating system gives up unacknowledged bytes; 0 for its default.
fn set_delivery_limit(socket: &OrderSocket, limit: Millis) {
    if let Err(e) = socket::set_delivery_limit(&socket.0, Duration::from_millis(limit)) {
        log(Event::OrderUnbounded, format_args!("limit_ms={limit}: {e}"));
    }
}
