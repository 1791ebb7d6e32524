//! The lanedeck binary: runs the command on the command line with the adapter of the deployment.

#[path = "../platform/mod.rs"]
mod platform;

use std::process::ExitCode;
use std::sync::Arc;

use lanedeck::cmd;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let adapter = cmd::Adapter {
        dialect: Arc::new(platform::Platform),
        store: |address| Arc::new(platform::LogStore::new(address)),
        settings: platform::settings_path(),
    };
    match cmd::run(&args, &adapter) {
        Ok(()) | Err(cmd::Error::Closed) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lanedeck: {error}");
            ExitCode::from(error.code())
        }
    }
}
