//! Command-line tool for operators of auburnlug.

mod args;
mod client;
mod error;
mod run;

use std::{io::Write, process::ExitCode};

use bpaf::ParseFailure;

const EXIT_USAGE: u8 = 2;

const HELP_WIDTH_CHARS: usize = 100;

fn main() -> ExitCode {
    let args = match args::parser().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_CHARS);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match run::run(&args) {
        // The change is made, so a closed standard output must not turn success into a failure.
        Ok(text) => drop(writeln!(std::io::stdout(), "{text}")),
        Err(error) => {
            drop(writeln!(std::io::stderr(), "auburnlugctl: {error}"));
            return ExitCode::from(error.exit_code());
        }
    }
    ExitCode::SUCCESS
}
