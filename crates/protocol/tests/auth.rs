//! The authentication handshake of links, and the decoding of messages between instances.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::{
    Category,
    auth::{Challenge, Hello, Nonce, Proof, Purpose, Secret},
    decode, encode,
    peer::{
        Answer, ControlMessage, Outcome, Reason, Request, TableState, TrafficMessage,
        TransactionEffect,
    },
};
use auburnlug_state::{Class, Name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const DIALER_NONCE: Nonce = [1; 16];
const LISTENER_NONCE: Nonce = [2; 16];

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn hello() -> Hello {
    Hello { from: name("e1"), to: name("c1"), purpose: Purpose::Control, nonce: DIALER_NONCE }
}

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Returns hellos that each differ from [`hello`] in one way.
fn altered_hellos() -> Vec<Hello> {
    let hello = hello();
    vec![
        Hello { from: name("e2"), ..hello.clone() },
        Hello { to: name("c2"), ..hello.clone() },
        Hello { from: hello.to.clone(), to: hello.from.clone(), ..hello.clone() },
        // The concatenated names are the same as those of `hello`.
        Hello { from: name("e1c"), to: name("1"), ..hello.clone() },
        Hello { purpose: Purpose::Traffic, ..hello.clone() },
        Hello { nonce: LISTENER_NONCE, ..hello },
    ]
}

/// Guards against instances with the same secret that cannot connect.
#[test]
fn both_sides_authenticate_with_the_same_secret() {
    let (dialer, listener) = (Secret::new("secret"), Secret::new(*b"secret"));
    for purpose in [Purpose::Control, Purpose::Traffic] {
        let hello = Hello { purpose, ..hello() };
        let challenge = listener.challenge(&hello, LISTENER_NONCE);
        let proof = dialer.prove(&hello, &challenge).unwrap();
        assert!(listener.verify(&hello, &LISTENER_NONCE, &proof));
    }
    assert_eq!(format!("{dialer:?}"), "Secret", "the secret is not printed");
}

/// Guards against a listener without the secret, and against a challenge replayed from another
/// handshake.
#[test]
fn dialer_refuses_a_forged_challenge() {
    let secret = Secret::new("secret");
    let valid = secret.challenge(&hello(), LISTENER_NONCE);
    assert!(secret.prove(&hello(), &valid).is_some());
    for key in ["", "secre", "secret ", "Secret"] {
        let forged = Secret::new(key).challenge(&hello(), LISTENER_NONCE);
        assert_eq!(secret.prove(&hello(), &forged), None, "secret {key:?}");
    }
    for other in altered_hellos() {
        let replayed = secret.challenge(&other, LISTENER_NONCE);
        assert_eq!(secret.prove(&hello(), &replayed), None, "{other:?}");
    }
    let altered = Challenge { nonce: [3; 16], ..valid.clone() };
    assert_eq!(secret.prove(&hello(), &altered), None, "another nonce of the listener");
    let proof = secret.prove(&hello(), &valid).unwrap();
    let reflected = Challenge { nonce: LISTENER_NONCE, mac: proof.mac };
    assert_eq!(secret.prove(&hello(), &reflected), None, "a proof is not accepted as a challenge");
}

/// Guards against a dialer without the secret, and against a proof replayed from another handshake.
#[test]
fn listener_refuses_a_forged_proof() {
    let secret = Secret::new("secret");
    let valid = secret.prove(&hello(), &secret.challenge(&hello(), LISTENER_NONCE)).unwrap();
    assert!(secret.verify(&hello(), &LISTENER_NONCE, &valid));
    let other_secret = Secret::new("other");
    let forged =
        other_secret.prove(&hello(), &other_secret.challenge(&hello(), LISTENER_NONCE)).unwrap();
    assert!(!secret.verify(&hello(), &LISTENER_NONCE, &forged), "another secret");
    for other in altered_hellos() {
        let replayed = secret.prove(&other, &secret.challenge(&other, LISTENER_NONCE)).unwrap();
        assert!(!secret.verify(&hello(), &LISTENER_NONCE, &replayed), "{other:?}");
    }
    assert!(!secret.verify(&hello(), &[3; 16], &valid), "another nonce of the listener");
    let reflected = Proof { mac: secret.challenge(&hello(), LISTENER_NONCE).mac };
    assert!(
        !secret.verify(&hello(), &LISTENER_NONCE, &reflected),
        "a challenge is not accepted as a proof"
    );
}

/// Guards against a comparison that only covers a prefix of the MAC.
#[test]
fn macs_are_compared_in_full() {
    let secret = Secret::new("secret");
    let challenge = secret.challenge(&hello(), LISTENER_NONCE);
    let proof = secret.prove(&hello(), &challenge).unwrap();
    let strategy = (0..proof.mac.len(), 1..=u8::MAX, any::<u8>());
    runner(11)
        .run(&strategy, |(at, flip, extra)| {
            let corrupt = |mac: &[u8]| {
                let mut flipped = mac.to_vec();
                flipped[at] ^= flip;
                [flipped, mac[..at].to_vec(), [mac, &[extra][..]].concat()]
            };
            for mac in corrupt(&proof.mac) {
                let verified = secret.verify(&hello(), &LISTENER_NONCE, &Proof { mac });
                prop_assert!(!verified);
            }
            for mac in corrupt(&challenge.mac) {
                let challenge = Challenge { nonce: LISTENER_NONCE, mac };
                prop_assert_eq!(secret.prove(&hello(), &challenge), None);
            }
            Ok(())
        })
        .unwrap();
}

fn traffic_messages() -> Vec<TrafficMessage> {
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
        block: TransactionEffect::Single,
        messages: vec![0, 255, b'Q'],
    };
    let outcome = Outcome::Refused { reason: Reason::Rate, retry: 20 };
    let answer = Answer { outcome, messages: vec![1], replica: true, position: None };
    vec![
        TrafficMessage::Run { stream: 1, request: Box::new(request) },
        TrafficMessage::Answer { stream: 1, answer },
        TrafficMessage::Cancel { stream: u64::MAX },
        TrafficMessage::Tokens { id: 2, account: name("desk"), count: 0, retry: 9, owner: true },
        TrafficMessage::Stored { id: 3, table: 4, copy: TableState::Partial },
    ]
}

fn control_messages() -> Vec<ControlMessage> {
    vec![
        ControlMessage::Probe { identity: name("c1.member") },
        ControlMessage::Leave { incarnation: 6 },
        ControlMessage::Update { after: 4, until: 9, commands: Vec::new() },
        ControlMessage::Snapshot(Box::default()),
        ControlMessage::Leave { incarnation: 12 },
    ]
}

/// Guards against a message that is accepted although it is truncated or has trailing bytes.
#[test]
fn truncated_and_overlong_messages_are_refused() {
    fn check<M>(messages: Vec<M>)
    where
        M: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
    {
        for message in messages {
            let bytes = encode(&message).unwrap();
            assert_eq!(decode::<M>(&bytes).unwrap(), message);
            for end in 0..bytes.len() {
                let error = decode::<M>(&bytes[..end]).unwrap_err();
                assert_eq!(
                    error.category(),
                    Category::Codec,
                    "{message:?} truncated to {end} bytes"
                );
            }
            let error = decode::<M>(&[&bytes[..], &[0]].concat()).unwrap_err();
            assert!(error.to_string().contains("1 bytes after the message"), "{error}");
        }
    }
    check(traffic_messages());
    check(control_messages());
    let hellos = altered_hellos();
    check(hellos);
}

/// The decoders read bytes from the network and must not panic on any input.
#[test]
fn decoders_never_panic() {
    let almost_valid: Vec<Vec<u8>> = traffic_messages()
        .iter()
        .map(encode)
        .chain(control_messages().iter().map(encode))
        .chain(altered_hellos().iter().map(encode))
        .collect::<Result<_, _>>()
        .unwrap();
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let strategy =
        (bytes, prop::sample::select(almost_valid), any::<prop::sample::Index>(), any::<u8>());
    runner(12)
        .run(&strategy, |(random, mut altered, at, byte)| {
            let at = at.index(altered.len());
            altered[at] = byte;
            for bytes in [random, altered] {
                let errors = [
                    decode::<TrafficMessage>(&bytes).err(),
                    decode::<ControlMessage>(&bytes).err(),
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
