//! Quorums of the control group.
//!
//! A set of voters is a quorum if it is a majority, or if it is half of an even number of voters, the
//! member that counts it belongs to it, and all other voters are known to have lost their disks. So if
//! two halves were quorums, each of the members that count would have known that the other one had lost
//! its disk, and the one that knew it later still runs. Hence any two quorums of the same voters have a
//! voter in common, whenever each of them was formed. It would not do that some of the others are lost:
//! the voters of a half may have lost their disks since they voted.

use std::collections::BTreeSet;

use auburnlug_state::Name;

/// Number of voters in a quorum that `counter` counts. Those in `lost` have lost their disks and do not
/// count.
pub(crate) fn quorum_size(voters: &BTreeSet<Name>, lost: &BTreeSet<Name>, counter: &Name) -> usize {
    let half = voters.len() / 2;
    let others_are_lost = voters.intersection(lost).count() == voters.len() - half;
    let is_even = voters.len().is_multiple_of(2);
    if is_even && others_are_lost && voters.contains(counter) { half } else { half + 1 }
}

/// Greatest value that a quorum of the voters has reached, as `counter` counts it.
pub(crate) fn quorum_value<T: Ord>(
    voters: &BTreeSet<Name>,
    lost: &BTreeSet<Name>,
    counter: &Name,
    value: impl Fn(&Name) -> T,
) -> Option<T> {
    let mut values: Vec<T> = voters.difference(lost).map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(quorum_size(voters, lost, counter) - 1)
}
