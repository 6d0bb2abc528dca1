//! Command line of the test tooling.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use auburnlug_bench::{
    Error, Result, Sink, check,
    control_load::{self, AnnouncementLoad, ChangeLoad, StateSize},
    deployment::{Deployment, Flood, Schedule},
    load, plot,
    record::{self, Mark},
    relay,
    run_records::{self, ServerFiles},
    server, slopes,
};
use bpaf::{Parser, construct, long};

enum Command {
    Server(server::Options),
    Relay(relay::Options),
    Load(load::Options),
    Check(check::Options),
    Plot(plot::Options),
    Mark { file: PathBuf, name: String },
    Get { url: String, bearer: Option<PathBuf> },
    Fit,
    Drive(slopes::DriveOptions),
    Changes(ChangeLoad),
    Announcers(AnnouncementLoad),
    State(StateSize),
}

fn main() -> ExitCode {
    let slopes = construct!([fit(), drive(), changes(), announcers(), state()]);
    let command = construct!([server(), relay(), load(), check(), plot(), mark(), get(), slopes])
        .to_options();
    let command = command.run();
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("auburnlug-bench: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<ExitCode> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build()?;
    match command {
        Command::Server(options) => runtime.block_on(server::run(options))?,
        Command::Relay(options) => runtime.block_on(relay::run(options))?,
        Command::Load(options) => runtime.block_on(load::run(options))?,
        Command::Check(options) => {
            return Ok(ExitCode::from(u8::from(!check::run(&options)?)));
        }
        Command::Plot(options) => plot::run(&options)?,
        Command::Mark { file, name } => {
            Sink::open(&file)?.put(&[Mark { time: record::now(), name }])?;
        }
        Command::Fit => slopes::write_fits(std::io::stdin().lock(), std::io::stdout().lock())?,
        Command::Drive(options) => runtime.block_on(slopes::drive(options))?,
        Command::Changes(options) => control_load::changes(&options)?,
        Command::Announcers(options) => control_load::announcers(&options)?,
        Command::State(size) => control_load::state(&size)?,
        Command::Get { url, bearer } => print!("{}", fetch(&url, bearer.as_deref())?),
    }
    // Requests to instances that do not answer must not delay the end of the process.
    runtime.shutdown_background();
    Ok(ExitCode::SUCCESS)
}

fn fetch(url: &str, bearer: Option<&Path>) -> Result<String> {
    let mut request = ureq::get(url);
    if let Some(file) = bearer {
        let secret = std::fs::read_to_string(file)?;
        request = request.header("authorization", format!("Bearer {}", secret.trim()));
    }
    let error = |e: ureq::Error| Error::Input(format!("{url}: {e}"));
    request.call().map_err(error)?.into_body().read_to_string().map_err(error)
}

fn server() -> impl Parser<Command> {
    let name = long("name").argument::<String>("NAME");
    let group = long("group").argument::<String>("GROUP");
    let domain = long("domain").argument::<String>("DOMAIN").fallback("d1".into());
    let listen = long("listen").argument::<SocketAddr>("IP:PORT");
    let panel = long("panel").argument::<SocketAddr>("IP:PORT");
    let announce = long("announce").argument::<SocketAddr>("IP:PORT").many();
    let secret = long("secret").argument::<PathBuf>("FILE").optional();
    let password = long("password").argument::<PathBuf>("FILE").optional();
    let keys = long("keys").argument::<PathBuf>("FILE").optional();
    let record = long("record").argument::<PathBuf>("FILE").optional();
    let data = long("data").argument::<PathBuf>("FILE").optional();
    let primary = long("primary").switch();
    let follow = long("follow").argument::<String>("IP:PORT").optional();
    let slots = long("slots").argument::<u32>("N").fallback(3);
    let connections = long("connections").argument::<u32>("N").fallback(20);
    let size = long("size").argument::<u32>("N").fallback(3);
    let connect = long("connect").argument::<u64>("MS").fallback(10);
    let service = long("service").argument::<u64>("MS").fallback(1);
    let lag = long("lag").argument::<u64>("MS").fallback(0);
    let options = construct!(server::Options {
        name,
        group,
        domain,
        listen,
        panel,
        announce,
        secret,
        password,
        keys,
        record,
        data,
        primary,
        follow,
        slots,
        connections,
        size,
        connect,
        service,
        lag,
    });
    options.map(Command::Server).to_options().descr("Stand-in database server").command("server")
}

fn relay() -> impl Parser<Command> {
    let panel = long("panel").argument::<SocketAddr>("IP:PORT");
    let forward = long("forward").argument::<relay::Forward>("LISTEN=TARGET").some("no forward");
    let latency = long("latency").argument::<u64>("US").fallback(0);
    let options = construct!(relay::Options { panel, forward, latency });
    options
        .map(Command::Relay)
        .to_options()
        .descr("TCP relay with latency and cuts")
        .command("relay")
}

fn load() -> impl Parser<Command> {
    let template = long("template").argument::<PathBuf>("FILE");
    let keys = long("keys").argument::<PathBuf>("FILE");
    let entries = long("entry").argument::<SocketAddr>("IP:PORT").some("no entry");
    let record = long("record").argument::<PathBuf>("FILE");
    let schedule = schedule();
    let options = construct!(load::Options { template, keys, entries, record, schedule });
    options.map(Command::Load).to_options().descr("Open-loop load").command("load")
}

fn schedule() -> impl Parser<Schedule> {
    let deployment = long("deployment").argument::<Deployment>("NAME").fallback(Deployment::Sahil);
    let seed = long("seed").argument::<u64>("N").fallback(1);
    let seconds = long("seconds").argument::<f64>("S").fallback(10.0);
    let share = long("share").help("Load as a share of the rates").argument::<f64>("SHARE");
    let share = share.fallback(0.6);
    let flood = long("flood").argument::<Flood>("ACCOUNT,FACTOR,FROM").optional();
    construct!(Schedule { deployment, seed, seconds, share, flood })
}

fn sources() -> impl Parser<run_records::Options> {
    let template = long("template").argument::<PathBuf>("FILE");
    let load = long("load").argument::<PathBuf>("FILE");
    let servers = long("server").argument::<ServerFiles>("GROUP,RECORD,DATA").some("no server");
    let marks = long("marks").argument::<PathBuf>("FILE").optional();
    construct!(run_records::Options { template, load, servers, marks })
}

fn check() -> impl Parser<Command> {
    let sources = sources();
    let out = long("out").argument::<PathBuf>("FILE").optional();
    let zero = long("zero").argument::<String>("FIGURE").many();
    let options = construct!(check::Options { sources, out, zero });
    options.map(Command::Check).to_options().descr("Figures of a run").command("check")
}

fn plot() -> impl Parser<Command> {
    let sources = sources();
    let out = long("out").argument::<PathBuf>("FILE.svg");
    let options = construct!(plot::Options { sources, out });
    options.map(Command::Plot).to_options().descr("Plots of a run over time").command("plot")
}

fn mark() -> impl Parser<Command> {
    let file = long("file").argument::<PathBuf>("FILE");
    let name = bpaf::positional::<String>("NAME");
    let options = construct!(Command::Mark { file, name });
    options.to_options().descr("Notes the time of a change").command("mark")
}

fn get() -> impl Parser<Command> {
    let url = bpaf::positional::<String>("URL");
    let bearer = long("bearer").argument::<PathBuf>("FILE").optional();
    let options = construct!(Command::Get { bearer, url });
    options.to_options().descr("Prints what a URL answers").command("get")
}

fn fit() -> impl Parser<Command> {
    bpaf::pure(())
        .map(|()| Command::Fit)
        .to_options()
        .descr("Lines through points from stdin")
        .command("fit")
}

fn drive() -> impl Parser<Command> {
    let at = long("at").argument::<SocketAddr>("IP:PORT");
    let user = long("user").argument::<String>("USER");
    let password = long("password").argument::<PathBuf>("FILE");
    let database = long("database").argument::<String>("NAME").some("no database");
    let connections = long("connections").argument::<usize>("N").fallback(1);
    let count = long("count").argument::<u64>("N").fallback(0);
    let every = long("every").argument::<u64>("MS").fallback(0);
    let hold = long("hold").argument::<u64>("S").fallback(0);
    let options = construct!(slopes::DriveOptions {
        at,
        user,
        password,
        database,
        connections,
        count,
        every,
        hold
    });
    options.map(Command::Drive).to_options().descr("Closed-loop load").command("drive")
}

fn changes() -> impl Parser<Command> {
    let control = long("control").argument::<SocketAddr>("IP:PORT");
    let watch = long("watch").argument::<SocketAddr>("IP:PORT").many();
    let secret = long("secret").argument::<PathBuf>("FILE");
    let account = long("account").argument::<String>("NAME").fallback("capacity".into());
    let count = long("count").argument::<u64>("N").fallback(1);
    let template = long("template").argument::<PathBuf>("FILE").optional();
    let options = construct!(ChangeLoad { control, watch, secret, account, count, template });
    options.map(Command::Changes).to_options().descr("Configuration changes").command("changes")
}

fn announcers() -> impl Parser<Command> {
    let at = long("at").argument::<SocketAddr>("IP:PORT").some("no instance");
    let secret = long("secret").argument::<PathBuf>("FILE");
    let count = long("count").argument::<usize>("N");
    let seconds = long("seconds").argument::<u64>("S").fallback(5);
    let options = construct!(AnnouncementLoad { at, secret, count, seconds });
    options.map(Command::Announcers).to_options().descr("Announcements only").command("announcers")
}

fn state() -> impl Parser<Command> {
    let kind = long("kind").argument::<String>("group|server|instance|account");
    let count = long("count").argument::<usize>("N");
    let size = construct!(StateSize { kind, count });
    size.map(Command::State).to_options().descr("Memory of the replicated state").command("state")
}
