//! Decoding of complete, truncated and corrupted records.

// clippy.toml allows unwrap in test functions only; this covers their helpers.
#![allow(clippy::unwrap_used)]

use auburnlug_state::{
    Category, Error,
    record::{self, DecodedRecord},
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn encode(values: &[String]) -> Vec<u8> {
    let mut bytes = Vec::new();
    values.iter().for_each(|v| record::encode(v, &mut bytes).unwrap());
    bytes
}

/// Decodes records up to the end, a torn tail (`Ok(true)`) or an error.
fn read_all(mut bytes: &[u8]) -> (Vec<String>, Result<bool, Error>) {
    let mut values = Vec::new();
    loop {
        match record::decode(bytes) {
            Ok(DecodedRecord::Record(value, length)) => {
                values.push(value);
                bytes = &bytes[length..];
            }
            Ok(DecodedRecord::End) => return (values, Ok(false)),
            Ok(DecodedRecord::Torn) => return (values, Ok(true)),
            Err(e) => return (values, Err(e)),
        }
    }
}

fn values() -> impl Strategy<Value = Vec<String>> {
    prop::collection::vec("[a-z\\x00]{0,40}", 1..6)
}

#[test]
fn truncated_file_yields_complete_records_and_a_torn_tail() {
    // Guards against complete records that are lost with the tail, and against an incomplete record
    // that is accepted.
    let result = runner(1).run(&(values(), any::<prop::sample::Index>()), |(values, at)| {
        let bytes = encode(&values);
        let cut = at.index(bytes.len() + 1);
        let ends: Vec<usize> = (0..=values.len()).map(|n| encode(&values[..n]).len()).collect();
        let complete = ends.iter().filter(|end| **end <= cut).count() - 1;
        let (read, end) = read_all(&bytes[..cut]);
        prop_assert_eq!(&read, &values[..complete]);
        prop_assert_eq!(end.unwrap(), !ends.contains(&cut));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn flipped_bit_is_an_error_and_never_a_torn_tail() {
    // Guards against a corrupted length that looks like a torn tail, so that all records after it
    // are dropped.
    let flip = (values(), any::<prop::sample::Index>(), 0..8u32);
    let result = runner(2).run(&flip, |(values, at, bit)| {
        let mut bytes = encode(&values);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let before = (0..=values.len()).filter(|n| encode(&values[..*n]).len() <= at).count() - 1;
        let (read, end) = read_all(&bytes);
        prop_assert_eq!(&read, &values[..before]);
        prop_assert_eq!(end.unwrap_err().category(), Category::Corrupt);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn random_bytes_yield_no_record() {
    // Guards against a panic, and against an allocation whose size comes from random bytes.
    let input = prop::collection::vec(any::<u8>(), 0..200);
    let result = runner(3).run(&input, |bytes| {
        let (read, _) = read_all(&bytes);
        prop_assert!(read.is_empty());
        prop_assert!(record::decode_file::<String>(&bytes).is_err());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn zeros_after_the_last_record_are_a_torn_tail() {
    // Guards against a control member that cannot start after a crash left unwritten blocks, which
    // read as zeros.
    let values = vec!["a".to_owned()];
    let mut bytes = encode(&values);
    bytes.resize(bytes.len() + 4096, 0);
    let (read, end) = read_all(&bytes);
    assert_eq!((read, end.unwrap()), (values, true));
}

#[test]
fn snapshot_file_is_exactly_one_record() {
    // Guards against a snapshot that is accepted with missing bytes, trailing bytes or another
    // type.
    let bytes = record::encode_file(&"abc").unwrap();
    assert_eq!(record::decode_file::<String>(&bytes).unwrap(), "abc");
    let trailing = [bytes.as_slice(), &[0]].concat();
    for corrupted in [&bytes[..bytes.len() - 1], &[], &trailing] {
        let error = record::decode_file::<String>(corrupted).unwrap_err();
        assert_eq!(error.category(), Category::Corrupt);
    }
    assert_eq!(record::decode_file::<u64>(&bytes).unwrap_err().category(), Category::Corrupt);
    let large = "a".repeat(record::MAX_PAYLOAD_BYTES);
    assert_eq!(record::encode_file(&large).unwrap_err().category(), Category::Encode);
}
