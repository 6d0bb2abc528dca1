//! Links between instances, each by the hosts of the dialing and the accepting one, of which those of
//! one host are held up.

use std::{collections::BTreeMap, sync::Arc};

use crate::held_link::{HeldLink, Way};

/// Links between instances.
pub type Links = BTreeMap<(u8, u8), Arc<HeldLink>>;

/// Holds up all links of a host.
pub fn isolate(links: &Links, host: u8) {
    let affected = links.iter().filter(|((from, to), _)| [*from, *to].contains(&host));
    affected.for_each(|(_, link)| link.hold(""));
}

/// Holds up what others send to a host on the links that they dial.
pub fn hold_updates(links: &Links, host: u8) {
    dialed_to(links, host).for_each(|link| link.hold_way(Way::Forth));
}

/// Ends [`hold_updates`].
pub fn pass_updates(links: &Links, host: u8) {
    dialed_to(links, host).for_each(|link| link.pass_way(Way::Forth));
}

fn dialed_to(links: &Links, host: u8) -> impl Iterator<Item = &HeldLink> {
    links.iter().filter(move |((_, to), _)| *to == host).map(|(_, link)| &**link)
}

/// Holds up all bytes to a host, while its own bytes pass.
pub fn hold_inbound(links: &Links, host: u8) {
    hold_one_way(links, host, Way::Forth, Way::Back);
}

/// Holds up all bytes from a host, while those to it pass.
pub fn hold_outbound(links: &Links, host: u8) {
    hold_one_way(links, host, Way::Back, Way::Forth);
}

/// Holds up one way on the links that a host accepts, and one on those that it dials.
fn hold_one_way(links: &Links, host: u8, accepted: Way, dialed: Way) {
    for ((from, to), link) in links {
        if *to == host {
            link.hold_way(accepted);
        } else if *from == host {
            link.hold_way(dialed);
        }
    }
}
