//! The gatekeeper's command line.

use argh::FromArgs;
use std::path::Path;
use std::process::ExitCode;
use wheatpier::net::{self, Config};

/// wheatpier, a call gatekeeper
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// serve calls until SIGTERM; SIGHUP has the configuration read again
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file (else BALANCER_CONFIG names it)
    #[argh(option)]
    config: Option<String>,
}

/// read the configuration, say what is wrong with it and end
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file (else BALANCER_CONFIG names it)
    #[argh(option)]
    config: Option<String>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn load(path: Option<String>) -> Result<Config, String> {
    let path = path.or_else(|| std::env::var("BALANCER_CONFIG").ok());
    Config::load(Path::new(&path.ok_or("no configuration: name one by --config or BALANCER_CONFIG")?))
}

fn run(command: Subcommand) -> Result<(), String> {
    match command {
        Subcommand::Serve(serve) => net::serve(load(serve.config)?),
        Subcommand::Check(check) => {
            println!("{}", load(check.config)?.summary());
            Ok(())
        }
        Subcommand::Version(_) => {
            println!("wheatpier {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            net::log(&format!("wheatpier: {problem}"));
            ExitCode::FAILURE
        }
    }
}
