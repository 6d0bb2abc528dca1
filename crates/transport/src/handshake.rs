//! Start-up of a caller's connection.

use std::{collections::BTreeMap, io, sync::Arc};

use auburnlug_protocol::outcome::{SqlError, refusal_error};
use auburnlug_protocol::peer::Reason;
use auburnlug_state::{Account, Config, Name};
use bytes::{Buf, BytesMut};
use pgwire::messages::{
    cancel::CancelRequest,
    startup::{Authentication, NegotiateProtocolVersion, Password, Startup},
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    event::{Event, log},
    {frame, view::Control},
};

/// Limit of PostgreSQL for start-up packets.
const MAX_STARTUP_BYTES: usize = 10_000;

/// Client account that needs no key and may run only open routes.
pub(crate) const PUBLIC_ACCOUNT: &str = "public";

const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// What a new connection asks for.
pub(crate) enum Opening {
    /// Cancels the statement of another connection.
    Cancel(CancelRequest),
    /// A caller that proved its account.
    Caller(Identity),
}

/// Identity of a caller, and the settings of its start-up.
#[derive(Debug)]
pub(crate) struct Identity {
    /// Client account.
    pub account: Name,
    /// SHA-256 of the key, in hexadecimal; `None` for `public`.
    pub key: Option<String>,
    /// Database group.
    pub group: Name,
    /// Start-up parameters and options.
    pub settings: BTreeMap<String, String>,
}

/// Reads the start-up of a connection and checks the key.
///
/// # Errors
///
/// The connection ended, or the start-up was refused; the caller was sent the reason.
pub(crate) async fn open(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    control: &Arc<dyn Control>,
) -> io::Result<Opening> {
    let mut packet = loop {
        let packet = read_packet(stream, buf).await?;
        match (&packet[4..]).get_u32() {
            SSL_REQUEST | GSS_REQUEST => stream.write_all(b"N").await?,
            _ => break packet,
        }
    };
    if (&packet[4..]).get_u32() == CANCEL_REQUEST {
        let request = frame::decode::<CancelRequest>(&mut packet);
        return request.map(Opening::Cancel).ok_or_else(|| io::ErrorKind::InvalidData.into());
    }
    let startup = frame::decode::<Startup>(&mut packet);
    let Some(startup) = startup.filter(|startup| startup.protocol_number_major == 3) else {
        log(Event::CallerMalformed, format_args!("start-up of {:?}", stream.peer_addr()));
        return reject(stream, &SqlError::new("08P01", "unsupported start-up message")).await;
    };
    if startup.protocol_number_minor > 0 {
        let mut out = BytesMut::new();
        frame::put(&mut out, &NegotiateProtocolVersion::new(0, Vec::new()));
        stream.write_all(&out).await?;
    }
    if control.now() >= control.lease() {
        return reject(stream, &refusal_error(Reason::Lease, 0)).await;
    }
    let settings = merge_options(startup.parameters);
    let user = settings.get("user").cloned().unwrap_or_default();
    let key =
        if user == PUBLIC_ACCOUNT { None } else { Some(read_password_hash(stream, buf).await?) };
    let view = control.view().borrow().clone();
    match identify(&view.machine.config, &user, key, settings) {
        Ok(identity) => Ok(Opening::Caller(identity)),
        Err(error) => {
            log(Event::CallerRefused, format_args!("user {user:?}: {}", error.message));
            reject(stream, &error).await
        }
    }
}

/// Reads one start-up packet, which has no type byte.
async fn read_packet(stream: &mut TcpStream, buf: &mut BytesMut) -> io::Result<BytesMut> {
    loop {
        if buf.len() >= 4 {
            let length = (&buf[..]).get_u32() as usize;
            if !(8..=MAX_STARTUP_BYTES).contains(&length) {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if buf.len() >= length {
                return Ok(buf.split_to(length));
            }
        }
        if stream.read_buf(buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Asks for the password and returns its SHA-256 in hexadecimal.
async fn read_password_hash(stream: &mut TcpStream, buf: &mut BytesMut) -> io::Result<String> {
    let mut out = BytesMut::new();
    frame::put(&mut out, &Authentication::CleartextPassword);
    stream.write_all(&out).await?;
    let frame = frame::read(stream, buf, MAX_STARTUP_BYTES).await?;
    let password = (frame.tag == b'p').then(|| frame.decode::<Password>()).flatten();
    let password = password.ok_or(io::ErrorKind::InvalidData)?;
    Ok(hex::encode(Sha256::digest(password.password.as_bytes())))
}

/// Authenticates the caller. An unknown account and a wrong key get the same answer.
fn identify(
    config: &Config,
    user: &str,
    key: Option<String>,
    settings: BTreeMap<String, String>,
) -> Result<Identity, SqlError> {
    let denied = || SqlError::new("28P01", "the client account or its key is not valid");
    let account = config.accounts.get_key_value(user);
    let known = key
        .as_ref()
        .is_none_or(|key| account.is_some_and(|(_, account)| is_valid_key(account, key)));
    let (Some((account, _)), true) = (account, known) else { return Err(denied()) };
    let database = settings.get("database").map_or(user, |database| database.as_str());
    let group = config
        .groups
        .iter()
        .find(|(name, group)| group.database.as_str() == database || name.as_str() == database);
    let Some((group, _)) = group else {
        return Err(SqlError::new("3D000", "no database group has this database"));
    };
    Ok(Identity { account: account.clone(), key, group: group.clone(), settings })
}

/// Whether `key` is a key of the account, compared in constant time.
pub(crate) fn is_valid_key(account: &Account, key: &str) -> bool {
    let mut found = subtle::Choice::from(0);
    for known in &account.keys {
        found |= known.as_bytes().ct_eq(key.as_bytes());
    }
    found.into()
}

/// Start-up parameters, merged with those in `options` (`-c name=value`).
fn merge_options(mut parameters: BTreeMap<String, String>) -> BTreeMap<String, String> {
    let options = parameters.remove("options").unwrap_or_default();
    for word in options.split_ascii_whitespace() {
        let word = word.strip_prefix("-c").or_else(|| word.strip_prefix("--")).unwrap_or(word);
        if let Some((name, value)) = word.split_once('=') {
            parameters.insert(name.to_string(), value.to_string());
        }
    }
    parameters
}

/// Sends a fatal error and ends the start-up.
async fn reject<T>(stream: &mut TcpStream, error: &SqlError) -> io::Result<T> {
    let mut out = BytesMut::new();
    frame::put_error(&mut out, "FATAL", error);
    stream.write_all(&out).await?;
    stream.shutdown().await?;
    Err(io::ErrorKind::PermissionDenied.into())
}
