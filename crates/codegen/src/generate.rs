//! Code generation from the schema files, without `protoc`.

use std::fs;
use std::path::Path;

const SCHEMA: &str = "crates/admin/proto/admin.proto";
const SCHEMA_FOLDER: &str = "crates/admin/proto";
const OUTPUT: &str = "crates/admin/src/generated/mod.rs";
const PACKAGE_FILE: &str = "lentilhook.admin.v1.rs";
const HEADER: &str = "//! Types of the administration API, generated from `proto/admin.proto` by\n\
    //! `cargo codegen`.\n\n";

/// Generates the code. With `check`, writes nothing and fails if the committed
/// code differs.
pub fn run(root: &Path, check: bool) -> Result<(), String> {
    let generated = generate(root)?;
    let path = root.join(OUTPUT);
    if !check {
        return fs::write(&path, generated).map_err(|it| format!("{}: {it}", path.display()));
    }
    let committed = fs::read_to_string(&path).unwrap_or_default();
    if committed == generated {
        return Ok(());
    }
    Err(format!("{OUTPUT} differs from {SCHEMA}; run `cargo codegen` and commit the result"))
}

fn generate(root: &Path) -> Result<String, String> {
    let descriptors = protox::compile([root.join(SCHEMA)], [root.join(SCHEMA_FOLDER)])
        .map_err(|it| it.to_string())?;
    let output = root.join("target/codegen");
    fs::create_dir_all(&output).map_err(|it| it.to_string())?;
    let mut config = prost_build::Config::new();
    config.out_dir(&output);
    config.type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]");
    config.type_attribute(".", "#[serde(default, deny_unknown_fields)]");
    config.compile_fds(descriptors).map_err(|it| it.to_string())?;
    let code = fs::read_to_string(output.join(PACKAGE_FILE)).map_err(|it| it.to_string())?;
    Ok(format!("{HEADER}{code}"))
}
