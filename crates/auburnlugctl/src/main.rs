//! The operator tool of auburnlug.

mod args;
mod client;
mod error;
mod run;

use std::{io::Write, process::ExitCode};

use bpaf::ParseFailure;

/// Exit code of a wrong command line.
const USAGE: u8 = 2;

/// Width of the help text, in characters.
const WIDTH: usize = 100;

fn main() -> ExitCode {
    let args = match args::parser().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match run::run(&args) {
        // A closed output is no reason to report a change that is made as failed.
        Ok(text) => drop(writeln!(std::io::stdout(), "{text}")),
        Err(error) => {
            drop(writeln!(std::io::stderr(), "auburnlugctl: {error}"));
            return ExitCode::from(error.exit_code());
        }
    }
    ExitCode::SUCCESS
}
