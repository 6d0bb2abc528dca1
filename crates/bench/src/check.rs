//! Checker: reads the records of a test run, computes its figures and validates them.

use std::path::PathBuf;

use serde_json::json;

use crate::{
    Result, Sink, figures,
    run_records::{Options as Sources, RunRecords},
};

/// Options of the checker.
#[derive(Debug, Clone)]
pub struct Options {
    /// Locations of the records.
    pub sources: Sources,
    /// File for the figures as JSON Lines.
    pub out: Option<PathBuf>,
    /// Figures that must be 0 in this run, in addition to those that must always be 0.
    pub zero: Vec<String>,
}

/// Prints the figures and returns whether all figures that must be 0 are 0.
///
/// # Errors
/// A record is missing or not valid.
pub fn run(options: &Options) -> Result<bool> {
    let records = RunRecords::read(&options.sources)?;
    let figures = figures::compute_all(&records)?;
    let sink = options.out.as_deref().map(Sink::open).transpose()?;
    let mut passed = true;
    for (name, value) in &figures {
        println!("{name}={}", (value * 1000.0).round() / 1000.0);
        if let Some(sink) = &sink {
            sink.put(&[json!({ "name": name, "value": value })])?;
        }
        let zero = figures::ZERO_FIGURES.contains(&name.as_str()) || options.zero.contains(name);
        if zero && *value != 0.0 {
            eprintln!("auburnlug-bench: {name} is {value}, expected 0");
            passed = false;
        }
    }
    Ok(passed)
}
