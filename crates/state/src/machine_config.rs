//! Changes of the configuration in the replicated state machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    Applied, Change, Config, Edit, GroupState, Holder, Index, Machine, Name, Shard, Term,
    check_limits, config, key_hash,
};

/// Answers that are kept for repeated changes; more than a day of them at the design size.
const MAX_ANSWERS: usize = 1024;

/// What outlasts a change of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Answers to the last changes, oldest first.
    answers: VecDeque<(Name, Applied)>,
    /// Operator and identity of the change in force.
    winner: Option<(Name, Name)>,
    /// Keys granted by a change rather than by the template, by client account.
    granted: BTreeMap<Name, BTreeSet<String>>,
    /// Keys that never come back.
    withdrawn: BTreeSet<String>,
    /// Last holders of shards that left the configuration. Epochs go on from there when the
    /// shard comes back, so that an epoch never has two holders.
    shards: BTreeMap<Shard, Holder>,
    /// Last terms of groups that left the configuration.
    terms: BTreeMap<Name, Term>,
}

impl History {
    /// Operator and identity of the change in force.
    pub fn winner(&self) -> Option<(&Name, &Name)> {
        self.winner.as_ref().map(|(operator, id)| (operator, id))
    }

    /// Whether the key with this SHA-256 was withdrawn.
    pub fn withdrawn(&self, key: &str) -> bool {
        self.withdrawn.contains(key)
    }

    fn answer(&self, id: &Name) -> Option<&Applied> {
        self.answers.iter().find(|(seen, _)| seen == id).map(|(_, answer)| answer)
    }

    fn remember(&mut self, id: &Name, answer: &Applied) {
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((id.clone(), answer.clone()));
    }

    fn withdraw(&mut self, account: &Name, keys: BTreeSet<String>) {
        self.withdrawn.extend(keys);
        let withdrawn = &self.withdrawn;
        if let Some(granted) = self.granted.get_mut(account) {
            granted.retain(|key| !withdrawn.contains(key));
        }
        self.granted.retain(|_, keys| !keys.is_empty());
    }

    fn holder_of(&self, key: &str) -> Option<&Name> {
        self.granted.iter().find(|(_, keys)| keys.contains(key)).map(|(name, _)| name)
    }
}

impl Machine {
    pub(crate) fn configure(&mut self, index: Index, change: &Change) -> Applied {
        if let Some(answer) = self.history.answer(&change.id) {
            return answer.clone();
        }
        let answer = if change.base == self.version {
            match self.edit(&change.edit) {
                Ok(()) => {
                    self.version = index;
                    self.history.winner = Some((change.operator.clone(), change.id.clone()));
                    self.sync();
                    Applied::Changed(index)
                }
                Err(text) => Applied::Invalid(text),
            }
        } else {
            self.conflict(change)
        };
        self.history.remember(&change.id, &answer);
        answer
    }

    fn conflict(&self, change: &Change) -> Applied {
        match &self.history.winner {
            Some((operator, id)) => Applied::Conflict {
                version: self.version,
                operator: operator.clone(),
                id: id.clone(),
            },
            None => {
                let base = change.base;
                Applied::Invalid(format!("base {base}: allowed is 0 before the first version"))
            }
        }
    }

    /// Changes the configuration as a whole or not at all.
    fn edit(&mut self, edit: &Edit) -> Result<(), String> {
        match edit {
            Edit::Publish(text) => self.publish(text),
            Edit::Account { account, rate, burst, age } => {
                check_limits(account, *rate, *burst, *age).map_err(|e| e.to_string())?;
                let record = self.config.accounts.get_mut(account).ok_or(unknown(account))?;
                (record.rate, record.burst, record.age) = (*rate, *burst, *age);
                Ok(())
            }
            Edit::Withdraw(account) => {
                let record = self.config.accounts.remove(account).ok_or(unknown(account))?;
                let granted = self.history.granted.get(account).cloned().unwrap_or_default();
                self.history.withdraw(account, &record.keys | &granted);
                Ok(())
            }
            Edit::Grant { account, key } => self.grant(account, &checked(key)?),
            Edit::Revoke { account, key } => self.revoke(account, &checked(key)?),
        }
    }

    fn publish(&mut self, text: &str) -> Result<(), String> {
        let mut config = Config::try_from(text).map_err(|e| e.to_string())?;
        for (name, account) in &mut config.accounts {
            if let Some(granted) = self.history.granted.get(name) {
                account.keys.extend(granted.iter().cloned());
            }
            account.keys.retain(|key| !self.history.withdrawn(key));
        }
        if let Some(name) = config.shared_key() {
            return Err(format!("section [account {name}], key key: a granted key of another"));
        }
        self.config = config;
        Ok(())
    }

    fn grant(&mut self, account: &Name, key: &str) -> Result<(), String> {
        if account.as_str() == config::PUBLIC {
            return Err(format!("account {account} needs no key"));
        }
        if self.history.withdrawn(key) {
            return Err("the key was withdrawn and can't be granted again".into());
        }
        let holders = [self.config.account_of_key(key), self.history.holder_of(key)];
        if holders.into_iter().flatten().any(|holder| holder != account) {
            return Err("the key belongs to another account".into());
        }
        let record = self.config.accounts.get_mut(account).ok_or(unknown(account))?;
        record.keys.insert(key.into());
        self.history.granted.entry(account.clone()).or_default().insert(key.into());
        Ok(())
    }

    /// Granted keys of an account that a later template left out can be withdrawn too.
    fn revoke(&mut self, account: &Name, key: &str) -> Result<(), String> {
        let record = self.config.accounts.get_mut(account);
        let listed = record.is_some_and(|record| record.keys.remove(key));
        let granted = self.history.holder_of(key) == Some(account);
        if !listed && !granted {
            return Err(format!("account {account} has no such key"));
        }
        self.history.withdraw(account, BTreeSet::from([key.into()]));
        Ok(())
    }

    /// Keeps shards, groups and servers in step with the configuration.
    fn sync(&mut self) {
        let groups = self.config.groups.keys().cloned().map(Shard::Group);
        let accounts = self.config.accounts.keys().cloned().map(Shard::Account);
        let wanted: BTreeSet<Shard> = groups.chain(accounts).collect();
        for shard in &wanted {
            if !self.shards.contains_key(shard) {
                let holder = self.history.shards.remove(shard);
                self.shards.insert(shard.clone(), self.returning(holder));
            }
        }
        let history = &mut self.history;
        self.shards.retain(|shard, holder| {
            let keep = wanted.contains(shard);
            if !keep {
                history.shards.insert(shard.clone(), holder.clone());
            }
            keep
        });
        let wanted = &self.config.groups;
        self.groups.retain(|name, state| {
            let keep = wanted.contains_key(name);
            if !keep {
                history.terms.insert(name.clone(), state.term);
            }
            keep
        });
        for name in wanted.keys() {
            let term = history.terms.remove(name).unwrap_or_default();
            let state = GroupState { term, primary: None };
            self.groups.entry(name.clone()).or_insert(state);
        }
        self.servers.retain(|_, server| wanted.contains_key(&server.group));
        self.filling.retain(|name, _| wanted.contains_key(name));
    }

    /// A shard that comes back stays with its last holder under a new epoch: that instance may
    /// not have seen yet that the shard was gone.
    fn returning(&self, holder: Option<Holder>) -> Holder {
        match holder {
            Some(Holder { instance, epoch }) => Holder {
                instance: instance.filter(|name| self.instances.contains_key(name)),
                epoch: epoch + 1,
            },
            None => Holder { instance: None, epoch: 0 },
        }
    }
}

fn unknown(account: &Name) -> String {
    format!("account {account} is not in the configuration")
}

fn checked(key: &str) -> Result<String, String> {
    key_hash(key).ok_or_else(|| "key: allowed is 64 hexadecimal digits of a SHA-256".into())
}
