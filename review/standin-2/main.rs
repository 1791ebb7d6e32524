//! Stand-ins for the cases of the second review: the platform's store, runners and clients, as PROTOCOL.md describes
//! them. They use the standard library alone. Each case starts the gateways with the command of the deploy file.

mod cases;
mod fleet;
mod http;
mod path;
mod runner;
mod store;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = match (args.next(), args.next()) {
        (Some(case), Some(record)) => (case, record),
        _ => {
            eprintln!("usage: standin CASE RECORD");
            std::process::exit(2);
        }
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = cases::run(&case, &record, with_trouble);
    match &outcome {
        Ok(cases::Verdict::Held) => println!("{case}: the rule held"),
        Ok(cases::Verdict::Broken(what)) => println!("{case}: the rule was broken: {what}"),
        Err(error) => eprintln!("{case}: could not run: {error}"),
    }
    std::process::exit(match outcome {
        Ok(cases::Verdict::Held) => 0,
        Ok(cases::Verdict::Broken(_)) => 1,
        Err(_) => 2,
    });
}
