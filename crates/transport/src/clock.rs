//! Monotonic time of the process.

use auburnlug_state::Millis;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Monotonic clock of the process.
pub trait Clock: Send + Sync {
    /// Milliseconds since the process started; never decreases.
    fn now(&self) -> Millis;
}

/// Clock of the operating system.
///
/// It also counts the time while the machine is suspended, so a lease expires during a suspend.
#[derive(Debug)]
pub struct SystemClock {
    start: Timespec,
}

impl SystemClock {
    /// Returns a clock that starts at 1, so that 0 can mean "never".
    pub fn start() -> SystemClock {
        SystemClock { start: clock_gettime(ClockId::Boottime) }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = now.tv_sec - self.start.tv_sec;
        let nanos = now.tv_nsec - self.start.tv_nsec;
        Millis::try_from(seconds * 1_000 + nanos.div_euclid(1_000_000)).unwrap_or(0) + 1
    }
}
