//! Bounds of what an instance stores, keeps in memory, queues and sends, in bytes.
//!
//! A number of values bounds neither disk nor memory: a command may take a hundred bytes or some
//! megabytes. So the log, each queue and each message is bounded by the sum of the sizes of its
//! values ([`crate::byte_size`]). A value that is larger than a bound still passes, but alone.
//! `docs/CAPACITY.md` adds the bounds up for the largest configuration.

/// Largest document of a configuration that an operator may send; thousands of databases.
pub const DOCUMENT_BYTES: usize = 4 << 20;

/// Documents that are received or wait for their commit at once, so two of the largest ones.
pub const DOCUMENTS_BYTES: usize = 8 << 20;

/// Log that is written before a snapshot replaces it, in bytes. Below it, a snapshot would be taken
/// after a few changes and hold up the control thread more often.
pub const MIN_LOG_BYTES: usize = 8 << 20;

/// Log that is written before a snapshot replaces it, as a multiple of the last snapshot. A snapshot
/// then costs at most half as much as the changes that led to it.
const LOG_PER_SNAPSHOT: usize = 2;

/// Entries that stay in the log although the snapshot covers them, in bytes; a larger snapshot
/// raises it to its own size, up to which the entries are the cheaper message.
pub const MIN_RETAINED_BYTES: usize = 1 << 20;

/// Entries in one message. The control thread encodes it within a small part of the leader lease.
pub const MESSAGE_BYTES: usize = 512 << 10;

/// Entries that are on their way to one member, not acknowledged yet.
pub const IN_FLIGHT_BYTES: usize = 1 << 20;

/// Rate of the slowest link, 2 Mbit/s, in bytes/ms. A member that receives entries or a snapshot is
/// not silent for as long as they take on such a link.
pub const SLOWEST_LINK_BYTES_PER_MS: usize = 250;

/// Committed entries that are handed over to be applied at once.
pub const APPLY_BATCH_BYTES: usize = 4 << 20;

/// Uncommitted entries of the leader, which no snapshot can replace. Beyond it, commands larger than
/// [`SMALL_COMMAND_BYTES`] are refused.
pub const UNCOMMITTED_BYTES: usize = 8 << 20;

/// Commands up to this size are proposed whatever is in flight, so that large changes of the
/// configuration do not hold up leases, servers and promotions. The registration of 700 instances
/// takes half of it.
pub const SMALL_COMMAND_BYTES: usize = 128 << 10;

/// Recent commands or configurations that are kept for instances that lag.
pub const KEPT_BYTES: usize = 8 << 20;

/// Messages that wait in one direction of a link.
pub const LINK_QUEUE_BYTES: usize = 2 << 20;

/// Inputs that wait for the control thread.
pub const INPUT_QUEUE_BYTES: usize = 8 << 20;

/// Bytes of log after which a snapshot replaces it, if the last one has `snapshot` bytes.
pub fn log_limit(snapshot: usize) -> usize {
    MIN_LOG_BYTES.max(snapshot.saturating_mul(LOG_PER_SNAPSHOT))
}

/// Bytes of entries that are retained besides a snapshot of `snapshot` bytes.
pub fn retained_limit(snapshot: usize) -> usize {
    MIN_RETAINED_BYTES.max(snapshot)
}

/// Number of leading values that fit into `limit` bytes together, at least one if there is any.
///
/// ```
/// use auburnlug_state::limits::count_within;
/// assert_eq!(count_within([3, 4, 5], 8), 2);
/// assert_eq!(count_within([9, 1], 8), 1);
/// ```
pub fn count_within(sizes: impl IntoIterator<Item = usize>, limit: usize) -> usize {
    let mut total: usize = 0;
    let fits = |(position, size): &(usize, usize)| {
        total = total.saturating_add(*size);
        *position == 0 || total <= limit
    };
    sizes.into_iter().enumerate().take_while(fits).count()
}
