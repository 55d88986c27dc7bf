//! Generates committed code from the schema files: `cargo codegen`.
//!
//! Depends on no other crate of the workspace, so that it can be built while
//! the generated code is behind the code that uses it.

mod generate;

use std::path::Path;
use std::process::ExitCode;

use argh::FromArgs;

/// generate code from schema files, or check that it is up to date
#[derive(FromArgs)]
struct Arguments {
    /// change nothing; fail when the committed code differs
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    match generate::run(&root, arguments.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
