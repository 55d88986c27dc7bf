//! `lentilhook check`: validation of settings files and configurations.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use route::check;
use route::check::Kind;
use route::config::Config;
use route::difference::differences;

use crate::command::Failure;
use crate::daemon;
use crate::settings::Settings;

/// check settings, state charts and a configuration without starting or sending anything, and
/// print each problem with its place and how to fix it
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings /etc/lentilhook/settings.json5"
)]
pub struct Check {
    /// settings file of a daemon, in JSON5
    #[argh(option)]
    settings: Option<PathBuf>,
    /// platform settings file, as for `lentilhook front`
    #[argh(option)]
    front: Option<PathBuf>,
    /// configuration for `lentilhook front`, as it would be sent to the platform's store
    #[argh(option)]
    config: Option<PathBuf>,
    /// configuration in force, to which the one in --config is compared
    #[argh(option)]
    in_force: Option<PathBuf>,
}

/// Checks the given files and prints a line for each valid one.
pub fn run(arguments: &Check) -> Result<(), Failure> {
    let files = [&arguments.settings, &arguments.front, &arguments.config];
    if files.iter().all(|it| it.is_none()) {
        return Err(Failure::usage(
            "nothing to check; pass --settings FILE, --front FILE or --config FILE",
        ));
    }
    if arguments.in_force.is_some() && arguments.config.is_none() {
        return Err(Failure::usage("--in-force compares a configuration; pass --config FILE too"));
    }
    if let Some(path) = &arguments.settings {
        let settings = Settings::read(path).map_err(Failure::usage)?;
        daemon::check_charts().map_err(Failure::usage)?;
        println!("{}: settings of {} and state charts are valid", path.display(), settings.daemon);
    }
    if let Some(path) = &arguments.front {
        let settings = platform::settings::read(path.clone()).map_err(Failure::usage)?;
        println!("{}: settings of {} are valid", path.display(), settings.daemon);
    }
    if let Some(path) = &arguments.config {
        check_config(path, arguments.in_force.as_deref())?;
    }
    Ok(())
}

/// Prints what differs from the configuration in force and what is wrong. Fails if there is
/// an error.
fn check_config(path: &Path, in_force: Option<&Path>) -> Result<(), Failure> {
    let config = read_config(path)?;
    let mut findings = check::check(&config);
    if let Some(in_force) = in_force {
        let in_force = read_config(in_force)?;
        for difference in differences(&in_force, &config) {
            println!("{}: {difference}", path.display());
        }
        findings.extend(check::check_change(&in_force, &config));
    }
    for finding in &findings {
        println!("{}: {finding}", path.display());
    }
    let errors = findings.iter().filter(|it| it.kind == Kind::Error).count();
    if errors > 0 {
        let text = format!("{}: errors: {errors}; fix them before sending it", path.display());
        return Err(Failure::usage(text));
    }
    println!(
        "{}: version {} has no errors; other findings: {}",
        path.display(),
        config.version,
        findings.len()
    );
    Ok(())
}

/// Reads a configuration. The decoder's own messages may quote a key, so that only the place
/// of a mistake is reported.
fn read_config(path: &Path) -> Result<Config, Failure> {
    let content = fs::read(path)
        .map_err(|error| Failure::usage(format!("{}: {error}; name a file", path.display())))?;
    platform::config::decode(&content).map_err(|error| {
        Failure::usage(format!(
            "{}:{}:{}: {}; correct the field or the syntax before this place",
            path.display(),
            error.line(),
            error.column(),
            if error.is_data() {
                "value of another type, or a field is missing"
            } else {
                "not JSON"
            },
        ))
    })
}
