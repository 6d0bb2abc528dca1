//! Mutual authentication of the two ends of a link.
//!
//! Both ends hold the cluster secret. The dialer sends [`Hello`], the listener answers with
//! [`Challenge`] and the dialer ends with [`Proof`]. Each MAC covers both names, both nonces and
//! the kind of link, so it can be replayed neither to another instance nor as the other side.

use std::fmt;

use auburnlug_state::Name;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Random bytes that make a handshake unique.
pub type Nonce = [u8; 16];

/// What a link carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Agreement, leases and replicated state.
    Control,
    /// Requests of callers.
    Traffic,
}

/// First message, from the dialer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Dialer.
    pub from: Name,
    /// Instance that it means to reach.
    pub to: Name,
    /// What the link is for.
    pub purpose: Purpose,
    /// Dialer's nonce.
    pub nonce: Nonce,
}

/// Second message, from the listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Listener's nonce.
    pub nonce: Nonce,
    /// Proof that the listener holds the secret.
    pub mac: Vec<u8>,
}

/// Third message, from the dialer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Proof that the dialer holds the secret.
    pub mac: Vec<u8>,
}

/// Secret shared by all instances; its `Debug` output hides it.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// A secret from the content of its file.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Secret {
        Secret(bytes.into())
    }

    /// Answers `hello` as the listener.
    pub fn challenge(&self, hello: &Hello, nonce: Nonce) -> Challenge {
        let mac = self.mac("listener", hello, &nonce).finalize().into_bytes().to_vec();
        Challenge { nonce, mac }
    }

    /// Checks the listener's answer and proves the dialer; `None` if the answer is not authentic.
    pub fn prove(&self, hello: &Hello, challenge: &Challenge) -> Option<Proof> {
        self.mac("listener", hello, &challenge.nonce).verify_slice(&challenge.mac).ok()?;
        let mac = self.mac("dialer", hello, &challenge.nonce).finalize().into_bytes().to_vec();
        Some(Proof { mac })
    }

    /// Whether the dialer's proof is authentic.
    pub fn verify(&self, hello: &Hello, nonce: &Nonce, proof: &Proof) -> bool {
        self.mac("dialer", hello, nonce).verify_slice(&proof.mac).is_ok()
    }

    fn mac(&self, side: &str, hello: &Hello, nonce: &Nonce) -> Hmac<Sha256> {
        // HMAC hashes longer keys and pads shorter ones, so no length is invalid; the empty key
        // of the fallback is never reached.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| Hmac::new(&Default::default()));
        for field in [side, hello.from.as_str(), hello.to.as_str(), purpose_text(hello.purpose)] {
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

fn purpose_text(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::Control => "control",
        Purpose::Traffic => "traffic",
    }
}
