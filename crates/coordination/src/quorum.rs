//! Quorums of the control group.
//!
//! A set of voters is a quorum if it is a majority, or if it is half of an even number of voters and
//! all others are known to have lost their disks. A set has the member in it that counts its votes or
//! acknowledgements. So if two halves were quorums, each of these members would have known that the
//! other one had lost its disk, and the one that knew it later still runs. Hence any two quorums of the
//! same voters have a voter in common, whenever each of them was formed. It would not do that some of
//! the others are lost: the voters of a half may have lost their disks since they voted.

use std::collections::BTreeSet;

use auburnlug_state::Name;

/// Number of voters in a quorum. Those in `lost` have lost their disks and do not count.
pub(crate) fn quorum_size(voters: &BTreeSet<Name>, lost: &BTreeSet<Name>) -> usize {
    let half = voters.len() / 2;
    let others_are_lost = voters.intersection(lost).count() == voters.len() - half;
    if half > 0 && voters.len().is_multiple_of(2) && others_are_lost { half } else { half + 1 }
}

/// Greatest value that a quorum of the voters has reached.
pub(crate) fn quorum_value<T: Ord>(
    voters: &BTreeSet<Name>,
    lost: &BTreeSet<Name>,
    value: impl Fn(&Name) -> T,
) -> Option<T> {
    let mut values: Vec<T> = voters.difference(lost).map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(quorum_size(voters, lost) - 1)
}
