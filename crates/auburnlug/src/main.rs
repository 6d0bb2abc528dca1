//! An instance of auburnlug.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use auburnlug_protocol::{Settings, settings::Raw};
use auburnlug_transport::{event, instance};
use bpaf::{OptionParser, Parser, construct, positional, pure};

/// Exit code for settings that are not valid.
const INVALID: u8 = 2;

#[derive(Debug, Clone)]
enum Action {
    Run(PathBuf),
    Check(PathBuf),
    Serve(PathBuf),
}

fn main() -> ExitCode {
    match options().run() {
        Action::Check(file) => match load(&file) {
            Ok(settings) => {
                println!("{}: valid settings of instance {}", file.display(), settings.name);
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Action::Serve(file) => serve(&file),
        Action::Run(file) => match load(&file) {
            Ok(settings) => run(settings),
            Err(code) => code,
        },
    }
}

fn options() -> OptionParser<Action> {
    let file = || positional::<PathBuf>("SETTINGS").help("INI file with the instance's settings");
    let run = file()
        .map(Action::Run)
        .to_options()
        .descr("Runs an instance until SIGTERM or SIGINT")
        .command("run")
        .help("Run an instance");
    let check = file()
        .map(Action::Check)
        .to_options()
        .descr("Checks a settings file and exits with 0 or 2")
        .command("check")
        .help("Check a settings file");
    let serve = positional::<PathBuf>("SETTINGS")
        .help("INI file that the platform filled in")
        .map(Action::Serve)
        .to_options()
        .descr("Runs an instance on the prepared platform until SIGTERM or SIGINT")
        .command("serve")
        .help("Run an instance on the prepared platform");
    let commands = construct!([run, check, serve]);
    let unit = pure(());
    construct!(unit, commands)
        .map(|((), action)| action)
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Database proxy with session consistency")
        .footer("Exit codes: 0 stopped or valid, 1 failed, 2 settings or arguments not valid")
}

fn load(file: &PathBuf) -> Result<Settings, ExitCode> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| invalid(&format!("{name}: {e}")))?;
    Settings::try_from(Raw { file: &name, text: &text }).map_err(|e| invalid(&e.to_string()))
}

fn invalid(reason: &str) -> ExitCode {
    event::log(event::Event::SettingsInvalid, format_args!("{reason}"));
    ExitCode::from(INVALID)
}

fn run(settings: Settings) -> ExitCode {
    event::start(settings.log.json, &settings.log.level);
    match instance::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            event::log(event::Event::Stopped, format_args!("{e}"));
            ExitCode::FAILURE
        }
    }
}

fn serve(file: &Path) -> ExitCode {
    event::start_bounded();
    let result = auburnlug_platform::run::run(file);
    event::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
