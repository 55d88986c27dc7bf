//! `lentilhook admin`: calls of the administration API.

use std::fs;
use std::path::PathBuf;

use admin::client::Client;
use argh::FromArgs;

/// call the administration API of a daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "admin")]
pub struct Admin {
    /// address of the daemon's operators' port
    #[argh(option)]
    address: String,
    /// file with the operator's token
    #[argh(option)]
    token_file: PathBuf,
    /// method of the schema, such as PutWorkspace
    #[argh(positional)]
    method: String,
    /// request as JSON
    #[argh(positional, default = "String::from(\"{}\")")]
    request: String,
}

/// Calls a method and prints its answer.
pub fn run(arguments: &Admin) -> Result<(), String> {
    let path = &arguments.token_file;
    let token = fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))?;
    let client = Client::new(&arguments.address, token.trim());
    let answer = client.call_raw(&arguments.method, arguments.request.as_bytes());
    println!("{}", answer.map_err(|it| it.to_string())?);
    Ok(())
}
