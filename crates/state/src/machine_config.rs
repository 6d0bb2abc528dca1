//! Configuration changes in the replicated state machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    Applied, Change, Config, Edit, GroupState, Index, Machine, Name, Shard, ShardOwner, Term,
    byte_size::{ByteSize, FIELDS_BYTES, HEX_KEY_BYTES},
    check_account_limits, config, parse_key_hash,
};

/// At the design size, more changes than operators make in a day.
const MAX_RECORDED_ANSWERS: usize = 1024;

/// State that is kept when the configuration changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Answers to the latest changes by change id, oldest first; repeated changes get them again.
    answers: VecDeque<(Name, Applied)>,
    /// Operator and id of the change that produced the version in force.
    winner: Option<(Name, Name)>,
    /// Keys granted by a change rather than listed in the template, by client account.
    granted: BTreeMap<Name, BTreeSet<String>>,
    /// Keys that were withdrawn and must never be valid again.
    withdrawn: BTreeSet<String>,
    /// Last owners of shards that were removed from the configuration. If a shard is added again,
    /// its epochs continue from here, so that an epoch never has two owners.
    shards: BTreeMap<Shard, ShardOwner>,
    /// Last terms of groups that were removed from the configuration.
    terms: BTreeMap<Name, Term>,
}

impl History {
    /// Returns the operator and the id of the change that produced the version in force.
    pub fn last_change(&self) -> Option<(&Name, &Name)> {
        self.winner.as_ref().map(|(operator, id)| (operator, id))
    }

    /// Returns whether the key with this SHA-256 was withdrawn.
    pub fn is_withdrawn(&self, key: &str) -> bool {
        self.withdrawn.contains(key)
    }

    fn recorded_answer(&self, id: &Name) -> Option<&Applied> {
        self.answers.iter().find(|(seen, _)| seen == id).map(|(_, answer)| answer)
    }

    fn record_answer(&mut self, id: &Name, answer: &Applied) {
        if self.answers.len() >= MAX_RECORDED_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((id.clone(), answer.clone()));
    }

    fn withdraw_keys(&mut self, account: &Name, keys: BTreeSet<String>) {
        self.withdrawn.extend(keys);
        let withdrawn = &self.withdrawn;
        if let Some(granted) = self.granted.get_mut(account) {
            granted.retain(|key| !withdrawn.contains(key));
        }
        self.granted.retain(|_, keys| !keys.is_empty());
    }

    fn account_with_granted_key(&self, key: &str) -> Option<&Name> {
        self.granted.iter().find(|(_, keys)| keys.contains(key)).map(|(name, _)| name)
    }
}

impl ByteSize for History {
    fn byte_size(&self) -> usize {
        let keys = self.granted.values().map(BTreeSet::len).sum::<usize>() + self.withdrawn.len();
        let records =
            self.answers.len() + self.granted.len() + self.shards.len() + self.terms.len();
        records * FIELDS_BYTES + keys * HEX_KEY_BYTES
    }
}

impl Machine {
    pub(crate) fn configure(&mut self, index: Index, change: &Change) -> Applied {
        if let Some(answer) = self.history.recorded_answer(&change.id) {
            return answer.clone();
        }
        let answer = if change.base == self.version {
            match self.apply_edit(&change.edit) {
                Ok(()) => {
                    self.version = index;
                    self.history.winner = Some((change.operator.clone(), change.id.clone()));
                    self.sync_with_config();
                    Applied::Changed(index)
                }
                Err(text) => Applied::Invalid(text),
            }
        } else {
            self.conflict_answer(change)
        };
        self.history.record_answer(&change.id, &answer);
        answer
    }

    fn conflict_answer(&self, change: &Change) -> Applied {
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

    /// Applies an edit completely, or returns an error and changes nothing.
    fn apply_edit(&mut self, edit: &Edit) -> Result<(), String> {
        match edit {
            Edit::Publish(text) => self.publish_template(text),
            Edit::Account { account, rate, burst, age } => {
                check_account_limits(account, *rate, *burst, *age).map_err(|e| e.to_string())?;
                let record =
                    self.config.accounts.get_mut(account).ok_or(unknown_account(account))?;
                (record.rate, record.burst, record.age) = (*rate, *burst, *age);
                Ok(())
            }
            Edit::Withdraw(account) => {
                let record =
                    self.config.accounts.remove(account).ok_or(unknown_account(account))?;
                let granted = self.history.granted.get(account).cloned().unwrap_or_default();
                self.history.withdraw_keys(account, &record.keys | &granted);
                Ok(())
            }
            Edit::Grant { account, key } => self.grant_key(account, &require_key_hash(key)?),
            Edit::Revoke { account, key } => self.revoke_key(account, &require_key_hash(key)?),
        }
    }

    fn publish_template(&mut self, text: &str) -> Result<(), String> {
        let mut config = Config::try_from(text).map_err(|e| e.to_string())?;
        for (name, account) in &mut config.accounts {
            if let Some(granted) = self.history.granted.get(name) {
                account.keys.extend(granted.iter().cloned());
            }
            account.keys.retain(|key| !self.history.is_withdrawn(key));
        }
        if let Some(name) = config.find_account_with_shared_key() {
            return Err(format!("section [account {name}], key key: a granted key of another"));
        }
        self.config = config;
        Ok(())
    }

    fn grant_key(&mut self, account: &Name, key: &str) -> Result<(), String> {
        if account.as_str() == config::PUBLIC_ACCOUNT {
            return Err(format!("account {account} needs no key"));
        }
        if self.history.is_withdrawn(key) {
            return Err("the key was withdrawn and can't be granted again".into());
        }
        let owners = [self.config.account_of_key(key), self.history.account_with_granted_key(key)];
        if owners.into_iter().flatten().any(|owner| owner != account) {
            return Err("the key belongs to another account".into());
        }
        let record = self.config.accounts.get_mut(account).ok_or(unknown_account(account))?;
        record.keys.insert(key.into());
        self.history.granted.entry(account.clone()).or_default().insert(key.into());
        Ok(())
    }

    /// Withdraws a key of an account. This includes a granted key of an account that a later
    /// template does not list.
    fn revoke_key(&mut self, account: &Name, key: &str) -> Result<(), String> {
        let record = self.config.accounts.get_mut(account);
        let listed = record.is_some_and(|record| record.keys.remove(key));
        let granted = self.history.account_with_granted_key(key) == Some(account);
        if !listed && !granted {
            return Err(format!("account {account} has no such key"));
        }
        self.history.withdraw_keys(account, BTreeSet::from([key.into()]));
        Ok(())
    }

    /// Adds and removes shards, groups and servers to match the configuration.
    fn sync_with_config(&mut self) {
        let groups = self.config.groups.keys().cloned().map(Shard::Group);
        let accounts = self.config.accounts.keys().cloned().map(Shard::Account);
        let wanted: BTreeSet<Shard> = groups.chain(accounts).collect();
        for shard in &wanted {
            if !self.shards.contains_key(shard) {
                let holder = self.history.shards.remove(shard);
                self.shards.insert(shard.clone(), self.restored_owner(holder));
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

    /// Returns the owner of a shard that is added again. It stays with its last owner under a new
    /// epoch, because that instance may not yet know that the shard was removed.
    fn restored_owner(&self, holder: Option<ShardOwner>) -> ShardOwner {
        match holder {
            Some(ShardOwner { instance, epoch }) => ShardOwner {
                instance: instance.filter(|name| self.instances.contains_key(name)),
                epoch: epoch + 1,
            },
            None => ShardOwner { instance: None, epoch: 0 },
        }
    }
}

fn unknown_account(account: &Name) -> String {
    format!("account {account} is not in the configuration")
}

fn require_key_hash(key: &str) -> Result<String, String> {
    parse_key_hash(key).ok_or_else(|| "key: allowed is 64 hexadecimal digits of a SHA-256".into())
}
