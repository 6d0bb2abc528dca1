//! Parses the command line.

use std::{net::SocketAddr, path::PathBuf};

use auburnlug_state::{Index, Millis, Name};
use bpaf::{OptionParser, Parser, construct, long, positional};

/// Parsed command line.
#[derive(Debug, Clone)]
pub struct Args {
    /// HTTP addresses of the control instances to try, in this order.
    pub control: Vec<SocketAddr>,
    /// File with the operator secret.
    pub secret: Option<PathBuf>,
    /// Name of the operator, which each change records.
    pub operator: Name,
    /// Whether to print JSON.
    pub json: bool,
    /// Command to run.
    pub command: Command,
}

/// Command of the operator tool.
#[derive(Debug, Clone)]
pub enum Command {
    /// Compares a template file with the configuration in force.
    Diff(PathBuf),
    /// Publishes a template.
    Publish {
        /// File with the template.
        file: PathBuf,
        /// Version that the template was made from; `None` stands for the one in force.
        base: Option<Index>,
        /// Identity of the change, which makes retries idempotent; `None` generates one.
        id: Option<Name>,
    },
    /// Changes the limits of a client account.
    Change {
        /// Client account.
        account: Name,
        /// Requests per second.
        rate: f64,
        /// Requests at once.
        burst: f64,
        /// Maximum staleness of reads, in milliseconds.
        age: Millis,
    },
    /// Withdraws a client account with all its keys.
    Withdraw(Name),
    /// Shows the state of the system.
    Status,
    /// Grants a new key to a client account.
    Grant(Name),
    /// Withdraws a key of a client account.
    Revoke {
        /// Client account.
        account: Name,
        /// SHA-256 of the key; `None` reads the key or its SHA-256 from the standard input.
        key: Option<String>,
    },
}

/// Builds the parser of the command line.
pub fn parser() -> OptionParser<Args> {
    let control = long("control")
        .help("HTTP addresses of control instances, separated by commas")
        .env("AUBURNLUG_CONTROL")
        .argument::<String>("ADDR,ADDR,..")
        .parse(|text| parse_addresses(&text))
        .fallback(Vec::new());
    let secret = long("secret-file")
        .help("File with the operator secret")
        .env("AUBURNLUG_SECRET_FILE")
        .argument::<PathBuf>("F")
        .optional();
    let operator = long("operator")
        .help("Name of the operator, recorded with each change")
        .env("AUBURNLUG_OPERATOR")
        .argument::<String>("NAME")
        .fallback("operator".into())
        .parse(Name::try_from);
    let json = long("json").help("Prints JSON").switch();
    let command = command();
    construct!(Args { control, secret, operator, json, command })
        .to_options()
        .descr("Operates an auburnlug system.")
        .footer(
            "Exit codes: 0 done, 1 refused, 2 usage, 3 no control instance reachable or effect \
             unknown. Shell completion: auburnlugctl --bpaf-complete-style-bash (or zsh, fish).",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn command() -> impl Parser<Command> {
    let diff = file()
        .map(Command::Diff)
        .to_options()
        .descr("Compares a template with the configuration in force; keys are not compared.")
        .command("diff");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Shows version, instances and database groups.")
        .command("status");
    let withdraw = account()
        .map(Command::Withdraw)
        .to_options()
        .descr("Withdraws a client account with all its keys.")
        .command("withdraw");
    let (publish, change, keys) = (publish(), change(), keys());
    construct!([diff, publish, change, withdraw, status, keys])
}

fn publish() -> impl Parser<Command> {
    let base = long("base")
        .help("Version that the template was made from; the one in force if left out")
        .argument::<Index>("V")
        .optional();
    let id = long("id")
        .help("Identity of the change, for a repetition; each change needs its own")
        .argument::<String>("ID")
        .parse(Name::try_from)
        .optional();
    let file = file();
    construct!(Command::Publish { base, id, file })
        .to_options()
        .descr("Publishes a template as a whole.")
        .command("publish")
}

fn change() -> impl Parser<Command> {
    let rate = long("rate").help("Requests a second").argument::<f64>("R");
    let burst = long("burst").help("Requests at once").argument::<f64>("B");
    let age = long("age").help("Accepted age of reads in ms").argument::<Millis>("MS");
    let account = account();
    construct!(Command::Change { rate, burst, age, account })
        .to_options()
        .descr("Changes rate, burst and age of a client account until the next publish.")
        .command("change")
}

fn keys() -> impl Parser<Command> {
    let grant = account()
        .map(Command::Grant)
        .to_options()
        .descr("Grants a new random key and prints it once.")
        .command("grant");
    let key = positional::<String>("KEYHASH")
        .help("SHA-256 of the key; without it the key or its SHA-256 is read from standard input")
        .optional();
    let account = account();
    let withdraw = construct!(Command::Revoke { account, key })
        .to_options()
        .descr("Withdraws a key for good.")
        .command("withdraw");
    construct!([grant, withdraw])
        .to_options()
        .descr("Grants and withdraws keys of client accounts.")
        .command("keys")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE")
        .help("Template")
        .complete_shell(bpaf::ShellComp::File { mask: None })
}

fn account() -> impl Parser<Name> {
    positional::<String>("ACCOUNT").help("Client account").parse(Name::try_from)
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let invalid_address = |part: &str| format!("{part:?} is not IP:PORT");
    text.split(',').map(|part| part.trim().parse().map_err(|_| invalid_address(part))).collect()
}
