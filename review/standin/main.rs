//! Stand-ins of the platform for the cases of this review, with the standard library only: the store, runners and
//! clients in this process, gateways as child processes with the command and the settings template of `deploy/`.
//!
//! `standin CASE FOLDER` plays a case, writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. The environment variable TROUBLE=0 leaves the disruption out.

mod cases;
mod gateway;
mod http;
mod record;
mod runner;
mod store;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::play(
        &case,
        std::path::Path::new(&folder),
        has_trouble,
    ));
}
