//! The handshake of links, and the decoder of messages between instances.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::{
    Category,
    auth::{Challenge, Hello, Nonce, Proof, Purpose, Secret},
    decode, encode,
    peer::{Answer, Block, Control, Copied, Outcome, Reason, Request, Traffic},
};
use auburnlug_state::{Class, Name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const DIALER: Nonce = [1; 16];
const LISTENER: Nonce = [2; 16];

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn hello() -> Hello {
    Hello { from: name("e1"), to: name("c1"), purpose: Purpose::Control, nonce: DIALER }
}

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Hellos that differ from [`hello`] in one field each.
fn others() -> Vec<Hello> {
    let hello = hello();
    vec![
        Hello { from: name("e2"), ..hello.clone() },
        Hello { to: name("c2"), ..hello.clone() },
        Hello { from: hello.to.clone(), to: hello.from.clone(), ..hello.clone() },
        // The same letters, split in another place.
        Hello { from: name("e1c"), to: name("1"), ..hello.clone() },
        Hello { purpose: Purpose::Traffic, ..hello.clone() },
        Hello { nonce: LISTENER, ..hello },
    ]
}

/// Guards against ends that share the secret and cannot link.
#[test]
fn both_ends_prove_the_secret() {
    let (dialer, listener) = (Secret::new("secret"), Secret::new(*b"secret"));
    for purpose in [Purpose::Control, Purpose::Traffic] {
        let hello = Hello { purpose, ..hello() };
        let challenge = listener.challenge(&hello, LISTENER);
        let proof = dialer.prove(&hello, &challenge).unwrap();
        assert!(listener.verify(&hello, &LISTENER, &proof));
    }
    assert_eq!(format!("{dialer:?}"), "Secret", "the secret does not reach a log");
}

/// Guards against a listener without the secret, and an answer made for another handshake.
#[test]
fn dialer_refuses_a_false_challenge() {
    let secret = Secret::new("secret");
    let valid = secret.challenge(&hello(), LISTENER);
    assert!(secret.prove(&hello(), &valid).is_some());
    for key in ["", "secre", "secret ", "Secret"] {
        let forged = Secret::new(key).challenge(&hello(), LISTENER);
        assert_eq!(secret.prove(&hello(), &forged), None, "secret {key:?}");
    }
    for other in others() {
        let replayed = secret.challenge(&other, LISTENER);
        assert_eq!(secret.prove(&hello(), &replayed), None, "{other:?}");
    }
    let renewed = Challenge { nonce: [3; 16], ..valid.clone() };
    assert_eq!(secret.prove(&hello(), &renewed), None, "another nonce of the listener");
    let proof = secret.prove(&hello(), &valid).unwrap();
    let reflected = Challenge { nonce: LISTENER, mac: proof.mac };
    assert_eq!(secret.prove(&hello(), &reflected), None, "a proof is no challenge");
}

/// Guards against a dialer without the secret, and a proof made for another handshake.
#[test]
fn listener_refuses_a_false_proof() {
    let secret = Secret::new("secret");
    let valid = secret.prove(&hello(), &secret.challenge(&hello(), LISTENER)).unwrap();
    assert!(secret.verify(&hello(), &LISTENER, &valid));
    let stranger = Secret::new("other");
    let forged = stranger.prove(&hello(), &stranger.challenge(&hello(), LISTENER)).unwrap();
    assert!(!secret.verify(&hello(), &LISTENER, &forged), "another secret");
    for other in others() {
        let replayed = secret.prove(&other, &secret.challenge(&other, LISTENER)).unwrap();
        assert!(!secret.verify(&hello(), &LISTENER, &replayed), "{other:?}");
    }
    assert!(!secret.verify(&hello(), &[3; 16], &valid), "another nonce of the listener");
    let reflected = Proof { mac: secret.challenge(&hello(), LISTENER).mac };
    assert!(!secret.verify(&hello(), &LISTENER, &reflected), "a challenge is no proof");
}

/// Guards against a comparison that stops at the shorter code.
#[test]
fn codes_are_compared_whole() {
    let secret = Secret::new("secret");
    let challenge = secret.challenge(&hello(), LISTENER);
    let proof = secret.prove(&hello(), &challenge).unwrap();
    let strategy = (0..proof.mac.len(), 1..=u8::MAX, any::<u8>());
    runner(11)
        .run(&strategy, |(at, flip, extra)| {
            let damaged = |mac: &[u8]| {
                let mut flipped = mac.to_vec();
                flipped[at] ^= flip;
                [flipped, mac[..at].to_vec(), [mac, &[extra][..]].concat()]
            };
            for mac in damaged(&proof.mac) {
                let verified = secret.verify(&hello(), &LISTENER, &Proof { mac });
                prop_assert!(!verified);
            }
            for mac in damaged(&challenge.mac) {
                let challenge = Challenge { nonce: LISTENER, mac };
                prop_assert_eq!(secret.prove(&hello(), &challenge), None);
            }
            Ok(())
        })
        .unwrap();
}

fn traffic() -> Vec<Traffic> {
    let request = Request {
        group: name("muscat"),
        account: name("desk"),
        key: Some("ab".into()),
        index: 7,
        session: None,
        id: Some("r1".into()),
        read: true,
        idempotent: true,
        class: Class::Batch,
        age: 500,
        wait: 5_000,
        block: Block::Single,
        messages: vec![0, 255, b'Q'],
    };
    let outcome = Outcome::Refused { reason: Reason::Rate, retry: 20 };
    let answer = Answer { outcome, messages: vec![1], replica: true, position: None };
    vec![
        Traffic::Run { stream: 1, request: Box::new(request) },
        Traffic::Answer { stream: 1, answer },
        Traffic::Cancel { stream: u64::MAX },
        Traffic::Tokens { id: 2, account: name("desk"), count: 0, retry: 9, owner: true },
        Traffic::Stored { id: 3, table: 4, copy: Copied::Partial },
    ]
}

fn control() -> Vec<Control> {
    vec![
        Control::Probe { identity: name("c1.member") },
        Control::Leave { incarnation: 6 },
        Control::Update { after: 4, until: 9, commands: Vec::new() },
        Control::Snapshot(Box::default()),
        Control::Leave { incarnation: 12 },
    ]
}

/// Guards against a message that is read although its end is missing or something follows it.
#[test]
fn cut_and_longer_messages_are_refused() {
    fn check<M>(messages: Vec<M>)
    where
        M: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
    {
        for message in messages {
            let bytes = encode(&message).unwrap();
            assert_eq!(decode::<M>(&bytes).unwrap(), message);
            for end in 0..bytes.len() {
                let error = decode::<M>(&bytes[..end]).unwrap_err();
                assert_eq!(error.category(), Category::Codec, "{message:?} cut at {end}");
            }
            let error = decode::<M>(&[&bytes[..], &[0]].concat()).unwrap_err();
            assert!(error.to_string().contains("1 bytes after the message"), "{error}");
        }
    }
    check(traffic());
    check(control());
    let hellos = others();
    check(hellos);
}

/// Guards the decoders, which face the network, against a panic on any bytes.
#[test]
fn decoders_are_total() {
    let near: Vec<Vec<u8>> = traffic()
        .iter()
        .map(encode)
        .chain(control().iter().map(encode))
        .chain(others().iter().map(encode))
        .collect::<Result<_, _>>()
        .unwrap();
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let strategy = (bytes, prop::sample::select(near), any::<prop::sample::Index>(), any::<u8>());
    runner(12)
        .run(&strategy, |(random, mut near, at, byte)| {
            let at = at.index(near.len());
            near[at] = byte;
            for bytes in [random, near] {
                let errors = [
                    decode::<Traffic>(&bytes).err(),
                    decode::<Control>(&bytes).err(),
                    decode::<Hello>(&bytes).err(),
                    decode::<Challenge>(&bytes).err(),
                    decode::<Proof>(&bytes).err(),
                ];
                for error in errors.into_iter().flatten() {
                    prop_assert_eq!(error.category(), Category::Codec);
                }
            }
            Ok(())
        })
        .unwrap();
}
