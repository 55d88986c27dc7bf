//! Plays a case of the review: `standins CASE FOLDER`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod base64;
mod cases;
mod daemon;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::cases::Verdict;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let verdict = cases::play(&case, &PathBuf::from(folder), has_trouble);
    println!("{case}: {verdict:?}");
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
