//! The commands.

use std::{fs, io, path::Path};

use auburnlug_protocol::operator::{Difference, Request, Status};
use auburnlug_state::{Change, Config, Edit, Index, Name, key_hash};
use rand::{Rng, distr::Alphanumeric};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::{
    args::{Args, Command},
    client::Client,
    error::{Error, Result},
};

/// Characters of a generated key: 256 bits of randomness and a margin.
const KEY_CHARS: usize = 44;

/// Characters of the identity of a change.
const ID_CHARS: usize = 24;

/// Attempts at a withdrawal or a grant.
const ATTEMPTS: usize = 5;

/// Carries a command out and returns its output.
///
/// # Errors
///
/// See [`Error::exit_code`].
pub fn run(args: &Args) -> Result<String> {
    let client = client(args)?;
    match &args.command {
        Command::Diff(file) => {
            let next = Config::try_from(read(file)?.as_str());
            let next = next.map_err(|e| Error::Refused(e.to_string()))?;
            let force = client.config()?;
            Ok(show_diff(args.json, force.version, &force.diff(&next)))
        }
        Command::Publish { file, base, id } => {
            let edit = Edit::Publish(read(file)?);
            let base = base.map_or_else(|| client.status().map(|s| s.version), Ok)?;
            let id = id.clone().map_or_else(new_id, Ok)?;
            let version = client.change(&request(args, id.clone(), base, edit)?)?;
            Ok(show_version(args.json, version, &id))
        }
        Command::Change { account, rate, burst, age } => {
            let account = account.clone();
            let edit = Edit::Account { account, rate: *rate, burst: *burst, age: *age };
            edit_now(args, &client, &edit)
        }
        Command::Withdraw(account) => edit_now(args, &client, &Edit::Withdraw(account.clone())),
        Command::Status => {
            let status = client.status()?;
            if args.json { Ok(to_json(&json!(status))) } else { Ok(show_status(&status)) }
        }
        Command::Grant(account) => grant(args, &client, account),
        Command::Revoke { account, key } => {
            let key = key.as_ref().map_or_else(read_key, |text| checked(text))?;
            edit_now(args, &client, &Edit::Revoke { account: account.clone(), key })
        }
    }
}

fn client(args: &Args) -> Result<Client> {
    if args.control.is_empty() {
        return Err(Error::Usage("--control: at least one address is needed".into()));
    }
    let secret = match &args.secret {
        Some(path) => read(path)?.trim().to_owned(),
        None => return Err(Error::Usage("--secret-file: a file is needed".into())),
    };
    // Other characters can't be sent in a header.
    if secret.is_empty() || !secret.bytes().all(|c| c.is_ascii_graphic()) {
        return Err(Error::Usage("--secret-file: allowed are visible ASCII characters".into()));
    }
    Ok(Client::new(args.control.clone(), secret))
}

/// The key goes to the output only after it is granted; only its SHA-256 is sent.
fn grant(args: &Args, client: &Client, account: &Name) -> Result<String> {
    let key = random(KEY_CHARS);
    let hash = sha256(&key);
    let edit = Edit::Grant { account: account.clone(), key: hash.clone() };
    match change_now(args, client, &edit) {
        Ok((version, id)) if args.json => {
            Ok(to_json(&json!({"version": version, "id": id, "key": key, "sha256": hash})))
        }
        Ok((version, _)) => Ok(format!("key {key}\nsha256 {hash}\nversion {version}")),
        Err(Error::Unknown(text)) => {
            Err(Error::Unknown(format!("{text}; withdraw {hash} if it was granted")))
        }
        Err(e) => Err(e),
    }
}

fn edit_now(args: &Args, client: &Client, edit: &Edit) -> Result<String> {
    let (version, id) = change_now(args, client, edit)?;
    Ok(show_version(args.json, version, &id))
}

/// Sends a change from the version in force. A withdrawal or a grant that loses against another
/// change is made again as a new change, since it overwrites nothing that the other one set.
fn change_now(args: &Args, client: &Client, edit: &Edit) -> Result<(Index, Name)> {
    let mut left = if matches!(edit, Edit::Account { .. }) { 1 } else { ATTEMPTS };
    let mut base = client.status()?.version;
    loop {
        left -= 1;
        let id = new_id()?;
        match client.change(&request(args, id.clone(), base, edit.clone())?) {
            Ok(version) => return Ok((version, id)),
            Err(Error::Conflict(version, ..)) if left > 0 => base = version,
            Err(e) => return Err(e),
        }
    }
}

fn request(args: &Args, id: Name, base: Index, edit: Edit) -> Result<Request> {
    Ok(Request::try_from(Change { id, operator: args.operator.clone(), base, edit })?)
}

fn new_id() -> Result<Name> {
    Ok(Name::try_from(random(ID_CHARS).to_ascii_lowercase())?)
}

fn random(chars: usize) -> String {
    rand::rng().sample_iter(Alphanumeric).take(chars).map(char::from).collect()
}

fn sha256(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|e| Error::File(path.display().to_string(), e))
}

fn checked(text: &str) -> Result<String> {
    let fault = "KEYHASH: allowed is the SHA-256 of the key as 64 hexadecimal digits";
    key_hash(text).ok_or_else(|| Error::Usage(fault.into()))
}

/// A key can be given on the standard input, where other users of the machine don't see it.
fn read_key() -> Result<String> {
    let mut line = String::new();
    io::stdin().read_line(&mut line).map_err(|e| Error::File("standard input".into(), e))?;
    match line.trim() {
        "" => Err(Error::Usage("standard input: a key or its SHA-256 is needed".into())),
        text => Ok(key_hash(text).unwrap_or_else(|| sha256(text))),
    }
}

fn show_version(json: bool, version: Index, id: &Name) -> String {
    if json {
        to_json(&json!({"version": version, "id": id}))
    } else {
        format!("version {version} in force (change {id})")
    }
}

fn show_diff(json: bool, version: Index, differences: &[Difference]) -> String {
    if json {
        return to_json(&json!({"version": version, "differences": differences}));
    }
    let mut lines = vec![format!("{} differences from version {version}", differences.len())];
    for Difference { section, key, from, to } in differences {
        let old = from.iter().map(|value| format!("-[{section}] {key} = {value}"));
        let new = to.iter().map(|value| format!("+[{section}] {key} = {value}"));
        lines.extend(old.chain(new));
    }
    lines.join("\n")
}

fn show_status(status: &Status) -> String {
    let leader = status.leader.map_or_else(|| "unknown".into(), |l| l.to_string());
    let (instance, version, age) = (&status.instance, status.version, status.age);
    let mut lines = vec![
        format!("answered by {instance}"),
        format!("leader {leader}"),
        format!("version {version} age {age} ms"),
        format!("index {}", status.index),
    ];
    for (name, shards) in &status.instances {
        lines.push(format!("instance {name} shards {shards}"));
    }
    let none = |name: &Option<Name>| name.as_ref().map_or("none".into(), Name::to_string);
    for (name, group) in &status.groups {
        let (owner, primary) = (none(&group.owner), none(&group.primary));
        let servers: Vec<&str> = group.servers.iter().map(Name::as_str).collect();
        let (term, servers) = (group.term, servers.join(","));
        lines.push(format!(
            "group {name} owner {owner} term {term} primary {primary} servers {servers}"
        ));
    }
    lines.join("\n")
}

fn to_json(value: &serde_json::Value) -> String {
    value.to_string()
}
