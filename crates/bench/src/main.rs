//! Command line of the test tooling.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use auburnlug_bench::{Result, server};
use bpaf::{Parser, construct, long};

enum Command {
    Server(server::Options),
}

fn main() -> ExitCode {
    let command = construct!([server()]).to_options().run();
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
    }
    // Requests to instances that do not answer must not delay the end of the process.
    runtime.shutdown_background();
    Ok(ExitCode::SUCCESS)
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
