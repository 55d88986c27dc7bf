//! `lentilhook explain`.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use explain::record::Record;
use explain::timeline::Timeline;

use crate::command::Failure;

/// tell a request's story from the log files of one or more daemons
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
    /// log files; a file's name stands for the daemon that wrote it
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Prints the story.
pub fn run(arguments: &Explain) -> Result<(), Failure> {
    if arguments.files.is_empty() {
        return Err(Failure::usage("no log files; name those of the daemons after the id"));
    }
    let mut records = Vec::new();
    for path in &arguments.files {
        records.extend(read(path)?);
    }
    let Some(story) = Timeline::build(&arguments.request, &records) else {
        return Err(Failure::usage(format!(
            "none of {} log lines names request {}; add the logs of the other daemons, or check \
             the id",
            records.len(),
            arguments.request
        )));
    };
    print!("{story}");
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Record>, Failure> {
    let failed = |source| Failure::usage(format!("cannot read {}: {source}", path.display()));
    let daemon = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut records = Vec::new();
    // Logs may hold bytes of other programs.
    for line in BufReader::new(File::open(path).map_err(failed)?).split(b'\n') {
        let line = line.map_err(failed)?;
        records.extend(Record::decode(&String::from_utf8_lossy(&line), &daemon));
    }
    Ok(records)
}
