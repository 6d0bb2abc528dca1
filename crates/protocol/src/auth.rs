//! Mutual authentication of the two sides of a link.
//!
//! Both sides have the cluster secret. The dialer sends [`Hello`], the listener answers with
//! [`Challenge`] and the dialer replies with [`Proof`]. Each MAC covers the side that computed it,
//! both names, both nonces and the purpose of the link. It can therefore neither be replayed to
//! another instance nor reflected to the side that sent it.

use std::fmt;

use auburnlug_state::Name;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Random bytes that make each handshake unique.
pub type Nonce = [u8; 16];

/// What a link carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Consensus, leases and replicated state.
    Control,
    /// Requests of callers.
    Traffic,
}

/// First message of the handshake, sent by the dialer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the dialer.
    pub from: Name,
    /// Name of the instance that the dialer connects to.
    pub to: Name,
    /// Purpose of the link.
    pub purpose: Purpose,
    /// Nonce of the dialer.
    pub nonce: Nonce,
}

/// Second message of the handshake, sent by the listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Nonce of the listener.
    pub nonce: Nonce,
    /// Proves that the listener has the secret.
    pub mac: Vec<u8>,
}

/// Third message of the handshake, sent by the dialer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Proves that the dialer has the secret.
    pub mac: Vec<u8>,
}

/// Secret shared by all instances; the `Debug` output does not contain it.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from the content of its file.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Secret {
        Secret(bytes.into())
    }

    /// Computes the listener's answer to `hello`.
    pub fn challenge(&self, hello: &Hello, nonce: Nonce) -> Challenge {
        let mac = self.keyed_mac("listener", hello, &nonce).finalize().into_bytes().to_vec();
        Challenge { nonce, mac }
    }

    /// Verifies the listener's answer and computes the dialer's proof; `None` if the answer is not
    /// authentic.
    pub fn prove(&self, hello: &Hello, challenge: &Challenge) -> Option<Proof> {
        self.keyed_mac("listener", hello, &challenge.nonce).verify_slice(&challenge.mac).ok()?;
        let mac =
            self.keyed_mac("dialer", hello, &challenge.nonce).finalize().into_bytes().to_vec();
        Some(Proof { mac })
    }

    /// Returns whether the dialer's proof is authentic.
    pub fn verify(&self, hello: &Hello, nonce: &Nonce, proof: &Proof) -> bool {
        self.keyed_mac("dialer", hello, nonce).verify_slice(&proof.mac).is_ok()
    }

    fn keyed_mac(&self, side: &str, hello: &Hello, nonce: &Nonce) -> Hmac<Sha256> {
        // HMAC accepts keys of any length, so the fallback with an empty key is never used.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| Hmac::new(&Default::default()));
        for field in [side, hello.from.as_str(), hello.to.as_str(), purpose_label(hello.purpose)] {
            mac.update(field.as_bytes());
            mac.update(&[0]);
        }
        mac.update(&hello.nonce);
        mac.update(nonce);
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

fn purpose_label(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::Control => "control",
        Purpose::Traffic => "traffic",
    }
}
