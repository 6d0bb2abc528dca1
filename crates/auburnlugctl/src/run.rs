//! Runs the commands of the operator tool.

use std::{fs, io, path::Path};

use auburnlug_protocol::operator::{Difference, LossStatus, Request, Status};
use auburnlug_state::{Change, Config, Edit, Index, Name, parse_key_hash};
use rand::{Rng, distr::Alphanumeric};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::{
    args::{Args, Command},
    client::Client,
    error::{Error, Result},
};

/// A key needs 256 bits of randomness; 44 alphanumeric characters have slightly more.
const KEY_LENGTH_CHARS: usize = 44;

const CHANGE_ID_LENGTH_CHARS: usize = 24;

/// Attempts at a withdrawal or a grant that conflicts with other changes.
const MAX_CHANGE_ATTEMPTS: usize = 5;

/// Runs a command and returns its output.
///
/// # Errors
///
/// See [`Error::exit_code`].
pub fn run(args: &Args) -> Result<String> {
    let client = create_client(args)?;
    match &args.command {
        Command::Diff(file) => {
            let next = Config::try_from(read_file(file)?.as_str());
            let next = next.map_err(|e| Error::Refused(e.to_string()))?;
            let in_force = client.config()?;
            Ok(format_diff(args.json, in_force.version, &in_force.diff(&next)))
        }
        Command::Publish { file, base, id } => {
            let edit = Edit::Publish(read_file(file)?);
            let base = base.map_or_else(|| client.status().map(|s| s.version), Ok)?;
            let id = id.clone().map_or_else(generate_change_id, Ok)?;
            let version = client.change(&build_request(args, id.clone(), base, edit)?)?;
            Ok(format_version(args.json, version, &id))
        }
        Command::Change { account, rate, burst, age } => {
            let account = account.clone();
            let edit = Edit::Account { account, rate: *rate, burst: *burst, age: *age };
            apply_edit(args, &client, &edit)
        }
        Command::Withdraw(account) => apply_edit(args, &client, &Edit::Withdraw(account.clone())),
        Command::Status => {
            let status = client.status()?;
            if args.json { Ok(to_json(&json!(status))) } else { Ok(format_status(&status)) }
        }
        Command::Grant(account) => grant_key(args, &client, account),
        Command::Revoke { account, key } => {
            let key = key.as_ref().map_or_else(read_key_hash, |text| parse_key_argument(text))?;
            apply_edit(args, &client, &Edit::Revoke { account: account.clone(), key })
        }
    }
}

fn create_client(args: &Args) -> Result<Client> {
    if args.control.is_empty() {
        return Err(Error::Usage("--control: at least one address is needed".into()));
    }
    let secret = match &args.secret {
        Some(path) => read_file(path)?.trim().to_owned(),
        None => return Err(Error::Usage("--secret-file: a file is needed".into())),
    };
    // An HTTP header can carry no other characters.
    if secret.is_empty() || !secret.bytes().all(|c| c.is_ascii_graphic()) {
        return Err(Error::Usage("--secret-file: allowed are visible ASCII characters".into()));
    }
    Ok(Client::new(args.control.clone(), secret))
}

/// Generates and grants a key. Only its SHA-256 is sent, and the key is output only after it is
/// granted.
fn grant_key(args: &Args, client: &Client, account: &Name) -> Result<String> {
    let key = random_alphanumeric(KEY_LENGTH_CHARS);
    let hash = sha256_hex(&key);
    let edit = Edit::Grant { account: account.clone(), key: hash.clone() };
    match submit_edit(args, client, &edit) {
        Ok((version, id)) if args.json => {
            Ok(to_json(&json!({"version": version, "id": id, "key": key, "sha256": hash})))
        }
        Ok((version, _)) => Ok(format!("key {key}\nsha256 {hash}\nversion {version}")),
        Err(Error::EffectUnknown(text)) => {
            Err(Error::EffectUnknown(format!("{text}; withdraw {hash} if it was granted")))
        }
        Err(e) => Err(e),
    }
}

fn apply_edit(args: &Args, client: &Client, edit: &Edit) -> Result<String> {
    let (version, id) = submit_edit(args, client, edit)?;
    Ok(format_version(args.json, version, &id))
}

/// Sends a change that is based on the version in force. A withdrawal or a grant that conflicts
/// with another change is retried as a new change, as it overwrites nothing that the other one set.
fn submit_edit(args: &Args, client: &Client, edit: &Edit) -> Result<(Index, Name)> {
    let mut attempts_left =
        if matches!(edit, Edit::Account { .. }) { 1 } else { MAX_CHANGE_ATTEMPTS };
    let mut base = client.status()?.version;
    loop {
        attempts_left -= 1;
        let id = generate_change_id()?;
        match client.change(&build_request(args, id.clone(), base, edit.clone())?) {
            Ok(version) => return Ok((version, id)),
            Err(Error::Conflict(version, ..)) if attempts_left > 0 => base = version,
            Err(e) => return Err(e),
        }
    }
}

fn build_request(args: &Args, id: Name, base: Index, edit: Edit) -> Result<Request> {
    Ok(Request::try_from(Change { id, operator: args.operator.clone(), base, edit })?)
}

fn generate_change_id() -> Result<Name> {
    Ok(Name::try_from(random_alphanumeric(CHANGE_ID_LENGTH_CHARS).to_ascii_lowercase())?)
}

fn random_alphanumeric(chars: usize) -> String {
    rand::rng().sample_iter(Alphanumeric).take(chars).map(char::from).collect()
}

fn sha256_hex(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|e| Error::File(path.display().to_string(), e))
}

fn parse_key_argument(text: &str) -> Result<String> {
    let expected = "KEYHASH: allowed is the SHA-256 of the key as 64 hexadecimal digits";
    parse_key_hash(text).ok_or_else(|| Error::Usage(expected.into()))
}

/// Reads a key or its SHA-256 from the standard input. Unlike an argument, other users of the
/// machine cannot see it there.
fn read_key_hash() -> Result<String> {
    let mut line = String::new();
    io::stdin().read_line(&mut line).map_err(|e| Error::File("standard input".into(), e))?;
    match line.trim() {
        "" => Err(Error::Usage("standard input: a key or its SHA-256 is needed".into())),
        text => Ok(parse_key_hash(text).unwrap_or_else(|| sha256_hex(text))),
    }
}

fn format_version(json: bool, version: Index, id: &Name) -> String {
    if json {
        to_json(&json!({"version": version, "id": id}))
    } else {
        format!("version {version} in force (change {id})")
    }
}

fn format_diff(json: bool, version: Index, differences: &[Difference]) -> String {
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

fn format_status(status: &Status) -> String {
    let leader = status.leader.map_or_else(|| "unknown".into(), |l| l.to_string());
    let (instance, version, age) = (&status.instance, status.version, status.age);
    let mut lines = vec![
        format!("answered by {instance}"),
        format!("leader {leader}"),
        format!("version {version} age {age} ms"),
        format!("index {}", status.index),
    ];
    if let Some(LossStatus { tolerated, configured }) = status.losses {
        lines.push(format!("disk losses tolerated {tolerated} configured {configured}"));
    }
    for (name, shards) in &status.instances {
        lines.push(format!("instance {name} shards {shards}"));
    }
    let name_or_none = |name: &Option<Name>| name.as_ref().map_or("none".into(), Name::to_string);
    for (name, group) in &status.groups {
        let (owner, primary) = (name_or_none(&group.owner), name_or_none(&group.primary));
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
