//! The checker: reads the records of a run and judges its figures.

use std::path::PathBuf;

use serde_json::json;

use crate::{
    Result, Sink,
    evidence::{Evidence, Options as Sources},
    figures,
};

/// Options of the checker.
#[derive(Debug, Clone)]
pub struct Options {
    /// Records.
    pub sources: Sources,
    /// File for the figures as JSON Lines.
    pub out: Option<PathBuf>,
    /// Figures that must be 0 in this run, beside those that always must.
    pub zero: Vec<String>,
}

/// Prints the figures; `true` if those that must be 0 are.
///
/// # Errors
/// A record is missing or not valid.
pub fn run(options: &Options) -> Result<bool> {
    let evidence = Evidence::read(&options.sources)?;
    let figures = figures::all(&evidence)?;
    let sink = options.out.as_deref().map(Sink::open).transpose()?;
    let mut good = true;
    for (name, value) in &figures {
        println!("{name}={}", (value * 1000.0).round() / 1000.0);
        if let Some(sink) = &sink {
            sink.put(&[json!({ "name": name, "value": value })])?;
        }
        let zero = figures::ZERO.contains(&name.as_str()) || options.zero.contains(name);
        if zero && *value != 0.0 {
            eprintln!("auburnlug-bench: {name} is {value}, expected 0");
            good = false;
        }
    }
    Ok(good)
}
