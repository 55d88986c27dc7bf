//! `cargo codegen`: generates the committed code from the schema files.
//!
//! Depends on no other crate of the workspace. It can therefore be built while
//! the generated code is older than the code that uses it and does not compile.

mod generate;

use std::path::Path;
use std::process::ExitCode;

use argh::FromArgs;

/// generate code from the schema files, or check that it is up to date
#[derive(FromArgs)]
struct Arguments {
    /// write nothing and fail if the committed code is out of date
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
