//! Command line of the gatekeeper.

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

/// serve calls until SIGTERM or SIGINT; SIGHUP reloads the configuration
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// path of the configuration file (default: the value of BALANCER_CONFIG)
    #[argh(option)]
    config: Option<String>,
}

/// check the configuration: print a summary, or the first error
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// path of the configuration file (default: the value of BALANCER_CONFIG)
    #[argh(option)]
    config: Option<String>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn load_config(path: Option<String>) -> Result<Config, String> {
    let path = path
        .or_else(|| std::env::var("BALANCER_CONFIG").ok())
        .ok_or("no configuration file: use --config or set BALANCER_CONFIG")?;
    Config::load(Path::new(&path))
}

fn run(command: Subcommand) -> Result<(), String> {
    match command {
        Subcommand::Serve(serve) => net::serve(load_config(serve.config)?),
        Subcommand::Check(check) => {
            println!("{}", load_config(check.config)?.summary());
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
        Err(error) => {
            net::log(&format!("wheatpier: {error}"));
            ExitCode::FAILURE
        }
    }
}
