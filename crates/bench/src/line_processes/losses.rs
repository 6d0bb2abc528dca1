//! Losses of instances: links that are held up, machines that are removed, lost disks, and the end
//! of all processes at once.

use std::io;

use crate::{
    line_processes::{LineProcesses, SUCCESSOR_HOSTS, control_hosts},
    links,
};

impl LineProcesses {
    /// Holds up all links of a control member to other instances.
    pub fn isolate(&self, host: u8) {
        links::isolate(&self.members, host);
    }

    /// Holds up the links between two instances, both ways.
    pub fn separate(&self, one: u8, other: u8) {
        let pairs = [(one, other), (other, one)];
        let links = pairs.iter().filter_map(|pair| self.members.get(pair));
        links.for_each(|link| link.hold(""));
    }

    /// Holds up all links between a control member and the others; entries reach both sides.
    pub fn isolate_from_members(&self, host: u8) {
        control_hosts().for_each(|other| self.separate(host, other));
    }

    /// Holds up what others send to a control member on the links that they dial. It can ask to join
    /// the group, and hears the answers, but no update of its log reaches it.
    pub fn hold_updates(&self, host: u8) {
        links::hold_updates(&self.members, host);
    }

    /// Ends [`LineProcesses::hold_updates`].
    pub fn pass_updates(&self, host: u8) {
        links::pass_updates(&self.members, host);
    }

    /// Holds up all bytes from other instances to a control member, while its own bytes pass.
    pub fn hold_inbound(&self, host: u8) {
        links::hold_inbound(&self.members, host);
    }

    /// Holds up all bytes from a control member to other instances, while their bytes pass.
    pub fn hold_outbound(&self, host: u8) {
        links::hold_outbound(&self.members, host);
    }

    /// Heals the links between instances, but those of removed ones.
    pub fn rejoin(&self) {
        let is_left = |host: &u8| !self.removed.contains(host);
        let links = self.members.iter().filter(|((from, to), _)| is_left(from) && is_left(to));
        links.for_each(|(_, link)| link.heal());
    }

    /// Ends the process of an instance for good; its links lead nowhere from now on.
    ///
    /// # Errors
    ///
    /// The process has been waited for already.
    pub fn remove(&mut self, host: u8) -> io::Result<()> {
        self.isolate(host);
        self.removed.insert(host);
        self.kill(host)
    }

    /// Host for another control member, if one is left.
    pub fn unused_host(&self) -> Option<u8> {
        let is_unused = |host: &u8| !self.removed.contains(host) && !self.seeds.contains(host);
        SUCCESSOR_HOSTS.into_iter().find(is_unused)
    }

    /// Starts the successor of a control member. Settings that are written from now on name it in
    /// place of the former one.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn replace(&mut self, former: u8, successor: u8) -> io::Result<()> {
        for seed in self.seeds.iter_mut().filter(|seed| **seed == former) {
            *seed = successor;
        }
        self.spawn(successor, false)
    }

    /// Hosts of the present control members.
    pub fn seeds(&self) -> &[u8] {
        &self.seeds
    }

    /// Ends the process of an instance, and removes its data.
    ///
    /// # Errors
    ///
    /// The process has been waited for already, or the data cannot be removed.
    pub fn lose_disk(&mut self, host: u8) -> io::Result<()> {
        self.processes.lose_disk(host)
    }

    /// Ends all processes at the same moment; returns the hosts on which one ran.
    ///
    /// # Errors
    ///
    /// A process has been waited for already.
    pub fn kill_all(&mut self) -> io::Result<Vec<u8>> {
        self.processes.kill_all()
    }

    /// Lines that an instance has logged for the event `code` since its first start.
    pub fn logged(&self, host: u8, code: &str) -> Vec<String> {
        self.processes.logged(host, code)
    }
}
