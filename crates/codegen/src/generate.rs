//! Code generated from the schema files, without `protoc`.

use std::fs;
use std::path::Path;

const SCHEMA: &str = "crates/admin/proto/admin.proto";
const SCHEMA_FOLDER: &str = "crates/admin/proto";
const GENERATED: &str = "crates/admin/src/generated/mod.rs";
const PACKAGE_FILE: &str = "lentilhook.admin.v1.rs";
const HEADING: &str = "//! Types of the administration API, generated from `proto/admin.proto` by\n\
    //! `cargo codegen`.\n\n";

/// Generates, or with `check` compares with what is committed.
pub fn run(root: &Path, check: bool) -> Result<(), String> {
    let fresh = generate(root)?;
    let path = root.join(GENERATED);
    if !check {
        return fs::write(&path, fresh).map_err(|it| format!("{}: {it}", path.display()));
    }
    let committed = fs::read_to_string(&path).unwrap_or_default();
    if committed == fresh {
        return Ok(());
    }
    Err(format!("{GENERATED} differs from {SCHEMA}; run `cargo codegen` and commit"))
}

fn generate(root: &Path) -> Result<String, String> {
    let files = protox::compile([root.join(SCHEMA)], [root.join(SCHEMA_FOLDER)])
        .map_err(|it| it.to_string())?;
    let out = root.join("target/codegen");
    fs::create_dir_all(&out).map_err(|it| it.to_string())?;
    let mut settings = prost_build::Config::new();
    settings.out_dir(&out);
    settings.type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]");
    settings.type_attribute(".", "#[serde(default, deny_unknown_fields)]");
    settings.compile_fds(files).map_err(|it| it.to_string())?;
    let code = fs::read_to_string(out.join(PACKAGE_FILE)).map_err(|it| it.to_string())?;
    Ok(format!("{HEADING}{code}"))
}
