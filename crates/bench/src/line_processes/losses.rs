//! Losses of instances: links that are held up, machines that are removed, lost disks, and the end
//! of all processes at once.

use std::{fs, io};

use crate::{
    held_link::{HeldLink, Way},
    line_processes::{LineProcesses, SUCCESSOR_HOSTS, control_hosts},
};

impl LineProcesses {
    /// Holds up all links of a control member to other instances.
    pub fn isolate(&self, host: u8) {
        let affected = self.members.iter().filter(|((from, to), _)| [*from, *to].contains(&host));
        affected.for_each(|(_, link)| link.hold(""));
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
        self.dialed_to(host).for_each(|link| link.hold_way(Way::Forth));
    }

    /// Ends [`LineProcesses::hold_updates`].
    pub fn pass_updates(&self, host: u8) {
        self.dialed_to(host).for_each(|link| link.pass_way(Way::Forth));
    }

    fn dialed_to(&self, host: u8) -> impl Iterator<Item = &HeldLink> {
        self.members.iter().filter(move |((_, to), _)| *to == host).map(|(_, link)| &**link)
    }

    /// Holds up all bytes from other instances to a control member, while its own bytes pass.
    pub fn hold_inbound(&self, host: u8) {
        self.hold_one_way(host, Way::Forth, Way::Back);
    }

    /// Holds up all bytes from a control member to other instances, while their bytes pass.
    pub fn hold_outbound(&self, host: u8) {
        self.hold_one_way(host, Way::Back, Way::Forth);
    }

    /// Holds up one way on the links that a control member accepts, and one on those that it dials.
    fn hold_one_way(&self, host: u8, accepted: Way, dialed: Way) {
        for ((from, to), link) in &self.members {
            if *to == host {
                link.hold_way(accepted);
            } else if *from == host {
                link.hold_way(dialed);
            }
        }
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
        self.kill(host)?;
        match fs::remove_dir_all(self.data_folder(host)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Ends all processes at the same moment; returns the hosts on which one ran.
    ///
    /// # Errors
    ///
    /// A process has been waited for already.
    pub fn kill_all(&mut self) -> io::Result<Vec<u8>> {
        for child in self.children.values_mut() {
            child.kill()?;
        }
        let hosts: Vec<u8> = self.children.keys().copied().collect();
        for host in &hosts {
            self.kill(*host)?;
        }
        Ok(hosts)
    }

    /// Lines that an instance has logged for the event `code` since its first start.
    pub fn logged(&self, host: u8, code: &str) -> Vec<String> {
        let text = fs::read_to_string(self.log_file(host)).unwrap_or_default();
        text.lines().filter(|line| line.contains(code)).map(str::to_owned).collect()
    }
}
