//! Monotonic time of the process.

use std::time::Instant;

use auburnlug_state::Millis;

/// Source of time for the whole process.
pub trait Clock: Send + Sync {
    /// Milliseconds since the process started; never goes back.
    fn now(&self) -> Millis;
}

/// Clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock that starts at 1, so that 0 can stand for "never".
    pub fn start() -> SystemClock {
        SystemClock { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis + 1
    }
}
