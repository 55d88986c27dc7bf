//! `lentilhook explain`: the timeline of a request, from log files.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use explain::record::Record;
use explain::timeline::Timeline;

use crate::command::Failure;

/// print a request's timeline from the log files of one or more daemons
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 8fafaceb9e6a52c8 front-1.log front-2.log"
)]
pub struct Explain {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log files; each file's name is used as the name of its daemon
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Prints the timeline of the request.
pub fn run(arguments: &Explain) -> Result<(), Failure> {
    if arguments.files.is_empty() {
        return Err(Failure::usage(
            "no log files given; pass the daemons' log files after the request id",
        ));
    }
    let mut records = Vec::new();
    for path in &arguments.files {
        records.extend(read(path)?);
    }
    let Some(timeline) = Timeline::build(&arguments.request, &records) else {
        return Err(Failure::usage(format!(
            "none of {} log lines mentions request {}; add the logs of the other daemons or check \
             the id",
            records.len(),
            arguments.request
        )));
    };
    print!("{timeline}");
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Record>, Failure> {
    let read_failure = |source| Failure::usage(format!("cannot read {}: {source}", path.display()));
    let daemon = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut records = Vec::new();
    // Output of other programs may be mixed in, so that a line isn't always UTF-8.
    for line in BufReader::new(File::open(path).map_err(read_failure)?).split(b'\n') {
        let line = line.map_err(read_failure)?;
        records.extend(Record::decode(&String::from_utf8_lossy(&line), &daemon));
    }
    Ok(records)
}
