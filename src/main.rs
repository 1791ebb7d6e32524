//! The lanedeck binary: finds the command and runs it.

use std::process::ExitCode;

use lanedeck::cmd;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match cmd::run(&args) {
        Ok(()) | Err(cmd::Error::Closed) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lanedeck: {error}");
            ExitCode::from(error.code())
        }
    }
}
