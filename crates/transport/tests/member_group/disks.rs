//! Disks of the simulated instances: losses, and folders that return or are copied.

use super::*;

impl Group {
    pub(super) fn new_disk(&mut self, instance: &Name) -> (Name, MemoryDisk) {
        self.counter += 1;
        let disk = name(&format!("{}", self.counter));
        (name(&format!("{instance}.{disk}")), MemoryDisk::new(disk))
    }

    /// Ends the process of an instance and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, instance: &Name) {
        self.kill(instance);
        let (identity, disk) = self.new_disk(instance);
        let now = self.now;
        let emptied = self.instance(instance);
        let former_disk = std::mem::replace(&mut emptied.disk, disk);
        let former = std::mem::replace(&mut emptied.identity, identity);
        self.former_disks.insert(former.clone(), former_disk);
        self.gone.insert(former, now);
    }

    /// Ends the process of an instance and gives it back the disk of an earlier identity, such as a
    /// folder that could not be read for a while.
    pub fn restore_disk(&mut self, instance: &Name, identity: &Name) {
        self.lose_disk(instance);
        let disk = self.former_disks.remove(identity.as_str()).expect("a former disk");
        self.gone.remove(identity.as_str());
        let restored = self.instance(instance);
        (restored.identity, restored.disk) = (identity.clone(), disk);
    }

    /// Ends the process of an instance and replaces its disk by a copy of that of another instance.
    pub fn clone_disk(&mut self, from: &Name, to: &Name) {
        self.lose_disk(to);
        let original = self.instance(from);
        let disk = checks::copy_disk(&original.disk);
        let number = original.identity.as_str().rsplit('.').next().unwrap_or_default();
        let identity = name(&format!("{to}.{number}"));
        let copy = self.instance(to);
        (copy.identity, copy.disk) = (identity, disk);
    }

    /// Identity under which an instance ran first, if it has lost that disk.
    pub fn former(&self, instance: &Name) -> Option<Name> {
        let mut identities = self.former_disks.keys();
        identities.find(|identity| instance_of(identity).as_ref() == Some(instance)).cloned()
    }

    /// Whether the disk of a member is lost or was replaced.
    pub fn is_gone(&self, identity: &Name) -> bool {
        self.gone.contains_key(identity.as_str())
    }
}
