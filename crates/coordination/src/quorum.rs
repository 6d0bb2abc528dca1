//! Quorums of the control group.
//!
//! A set of voters is a quorum if it is a majority, or if it is half of an even number of voters and
//! a voter outside it is known to have lost its disk. Such a voter never votes or acknowledges again,
//! so the other half can no longer become a quorum: any two quorums of the same voters have a voter
//! in common, whenever each of them was formed.

use std::collections::BTreeSet;

use auburnlug_state::Name;

/// Number of voters in a quorum. Those in `lost` have lost their disks and do not count.
pub(crate) fn quorum_size(voters: &BTreeSet<Name>, lost: &BTreeSet<Name>) -> usize {
    if voters.len().is_multiple_of(2) && !voters.is_disjoint(lost) {
        voters.len() / 2
    } else {
        voters.len() / 2 + 1
    }
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
