//! Channels that are bounded by the bytes of the values that wait in them, and by their number.

use std::sync::Arc;

use auburnlug_state::byte_size::ByteSize;
use tokio::sync::{
    OwnedSemaphorePermit, Semaphore,
    mpsc::{
        self,
        error::{SendError, TryRecvError, TrySendError},
    },
};

/// Sending end of a channel.
#[derive(Debug)]
pub struct Sender<T> {
    values: mpsc::Sender<Queued<T>>,
    room: Arc<Semaphore>,
    /// Most bytes that one value takes, half of the room: a larger one need not wait until the
    /// channel is empty.
    largest: usize,
}

/// Receiving end of a channel.
#[derive(Debug)]
pub struct Receiver<T> {
    values: mpsc::Receiver<Queued<T>>,
    room: Arc<Semaphore>,
}

/// A value with the room that it takes.
#[derive(Debug)]
struct Queued<T> {
    value: T,
    _room: OwnedSemaphorePermit,
}

/// A channel for at most `count` values, which together have about `bytes` at most.
pub fn channel<T>(count: usize, bytes: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::channel(count);
    let room = Arc::new(Semaphore::new(bytes));
    let sender = Sender { values: sender, room: room.clone(), largest: bytes / 2 };
    (sender, Receiver { values: receiver, room })
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        let (values, room) = (self.values.clone(), self.room.clone());
        Sender { values, room, largest: self.largest }
    }
}

impl<T: ByteSize> Sender<T> {
    /// Sends a value, once there is room for it.
    ///
    /// # Errors
    ///
    /// The receiver is gone.
    pub async fn send(&self, value: T) -> Result<(), SendError<T>> {
        let Ok(room) = self.room.clone().acquire_many_owned(self.permits(&value)).await else {
            return Err(SendError(value));
        };
        let sent = self.values.send(Queued { value, _room: room }).await;
        sent.map_err(|e| SendError(e.0.value))
    }

    /// Sends a value, if there is room for it.
    ///
    /// # Errors
    ///
    /// There is no room, or the receiver is gone.
    pub fn try_send(&self, value: T) -> Result<(), TrySendError<T>> {
        let Ok(room) = self.room.clone().try_acquire_many_owned(self.permits(&value)) else {
            let is_closed = self.values.is_closed();
            return Err(if is_closed {
                TrySendError::Closed(value)
            } else {
                TrySendError::Full(value)
            });
        };
        self.values.try_send(Queued { value, _room: room }).map_err(|e| match e {
            TrySendError::Full(queued) => TrySendError::Full(queued.value),
            TrySendError::Closed(queued) => TrySendError::Closed(queued.value),
        })
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.values.closed().await;
    }

    /// Whether the receiver is gone.
    pub fn is_closed(&self) -> bool {
        self.values.is_closed()
    }

    fn permits(&self, value: &T) -> u32 {
        u32::try_from(value.byte_size().min(self.largest)).unwrap_or(u32::MAX)
    }
}

impl<T> Receiver<T> {
    /// The next value; `None` once all senders are gone and no value is left.
    pub async fn recv(&mut self) -> Option<T> {
        self.values.recv().await.map(|queued| queued.value)
    }

    /// The next value, if there is one already.
    ///
    /// # Errors
    ///
    /// There is none, or all senders are gone.
    pub fn try_recv(&mut self) -> Result<T, TryRecvError> {
        self.values.try_recv().map(|queued| queued.value)
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        // Ends senders that wait for room.
        self.room.close();
    }
}
