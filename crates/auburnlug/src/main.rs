//! Command line that runs an instance of auburnlug.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use auburnlug_protocol::{Settings, settings::SettingsFile};
use auburnlug_transport::{event, instance};
use bpaf::{OptionParser, Parser, construct, positional, pure};

const EXIT_INVALID_SETTINGS: u8 = 2;

#[derive(Debug, Clone)]
enum Action {
    Run(PathBuf),
    Check(PathBuf),
    Serve(PathBuf),
}

fn main() -> ExitCode {
    match options().run() {
        Action::Check(file) => match load_settings(&file) {
            Ok(settings) => {
                println!("{}: valid settings of instance {}", file.display(), settings.name);
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Action::Serve(file) => serve_on_platform(&file),
        Action::Run(file) => match load_settings(&file) {
            Ok(settings) => run_instance(settings),
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

fn load_settings(file: &PathBuf) -> Result<Settings, ExitCode> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| report_invalid_settings(&format!("{name}: {e}")))?;
    Settings::try_from(SettingsFile { file: &name, text: &text })
        .map_err(|e| report_invalid_settings(&e.to_string()))
}

fn report_invalid_settings(reason: &str) -> ExitCode {
    event::log(event::Event::SettingsInvalid, format_args!("{reason}"));
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

fn run_instance(settings: Settings) -> ExitCode {
    event::start(settings.log.json, &settings.log.level);
    match instance::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            event::log(event::Event::Stopped, format_args!("{e}"));
            ExitCode::FAILURE
        }
    }
}

fn serve_on_platform(file: &Path) -> ExitCode {
    event::start_bounded();
    let result = auburnlug_platform::instance::run(file);
    event::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
