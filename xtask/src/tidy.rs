//! Repository conventions that rustfmt and Clippy do not cover.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Maximum length of a source file.
const MAX_FILE_LINES: usize = 600;
/// Folder of the adapter to the users' platform.
const ADAPTER_FOLDER: &str = "platform/";
/// File with the names of the platform's protocol, one per line.
const ADAPTER_NAMES_FILE: &str = "platform/names.txt";
/// Folders without handwritten source code.
const SKIPPED_FOLDERS: [&str; 3] = ["target", ".git", "generated"];

/// Checks every source file of the repository. The error lists all problems, one
/// per line.
pub fn run(root: &Path) -> Result<(), String> {
    let mut files = Vec::new();
    collect(root, &mut files)?;
    files.sort();
    let names = fs::read_to_string(root.join(ADAPTER_NAMES_FILE))
        .map_err(|it| format!("{ADAPTER_NAMES_FILE}: {it}"))?;
    let names: Vec<&str> = names.lines().filter(|it| !it.is_empty()).collect();
    let mut problems = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).map_err(|it| format!("{}: {it}", file.display()))?;
        let name = file.strip_prefix(root).unwrap_or(file).display().to_string();
        problems.extend(check_file(&name, &text));
        problems.extend(check_folder_module(file, &name));
        problems.extend(check_adapter_names(&name, &text, &names));
    }
    if problems.is_empty() {
        println!("tidy: {} files checked", files.len());
        return Ok(());
    }
    Err(problems.join("\n"))
}

/// Returns the problems of one source file.
pub fn check_file(name: &str, text: &str) -> Vec<String> {
    let mut problems = Vec::new();
    let lines: Vec<&str> = text.lines().collect();
    if lines.len() > MAX_FILE_LINES {
        problems.push(format!("{name}: {} lines; split it by responsibility", lines.len()));
    }
    if !lines.first().is_some_and(|line| line.starts_with("//!")) {
        problems.push(format!("{name}:1: start with a doc comment on the module"));
    }
    if text.contains(&["Copy", "right"].concat()) || text.contains(&["SP", "DX"].concat()) {
        problems.push(format!("{name}: remove the licence or copyright notice"));
    }
    problems.extend(check_imports(name, &lines));
    problems.extend(check_doc_comments(name, &lines));
    problems
}

/// Returns the uses of names of the platform's protocol outside its adapter.
pub fn check_adapter_names(name: &str, text: &str, names: &[&str]) -> Vec<String> {
    if name.starts_with(ADAPTER_FOLDER) {
        return Vec::new();
    }
    let text = text.to_ascii_lowercase();
    let found = names.iter().filter(|it| text.contains(**it));
    found
        .map(|it| format!("{name}: decode {it} in {ADAPTER_FOLDER} and use an internal type"))
        .collect()
}

fn check_imports(name: &str, lines: &[&str]) -> Vec<String> {
    let mut problems = Vec::new();
    let mut last_group = 0;
    for (at, line) in lines.iter().enumerate() {
        let Some(path) = line.strip_prefix("use ") else { continue };
        if path.contains('{') {
            problems.push(format!("{name}:{}: write one import per line", at + 1));
        }
        let group = import_group(path);
        if group < last_group {
            problems.push(format!("{name}:{}: order imports std, external, crate", at + 1));
        }
        if group > last_group && last_group != 0 && !lines[at - 1].is_empty() {
            problems.push(format!("{name}:{}: put a blank line between import groups", at + 1));
        }
        let follows_blank = at > 0 && lines[at - 1].is_empty();
        if group == last_group && follows_blank {
            problems
                .push(format!("{name}:{}: remove the blank line within the import group", at + 1));
        }
        last_group = group;
    }
    problems
}

fn import_group(path: &str) -> u8 {
    let first = path.split("::").next().unwrap_or_default();
    match first {
        "std" | "core" | "alloc" => 1,
        "crate" | "super" | "self" => 3,
        _ => 2,
    }
}

fn check_doc_comments(name: &str, lines: &[&str]) -> Vec<String> {
    let item_prefixes =
        ["pub fn ", "pub struct ", "pub enum ", "pub trait ", "pub const ", "pub type "];
    let mut problems = Vec::new();
    for (at, line) in lines.iter().enumerate() {
        if !item_prefixes.iter().any(|it| line.trim_start().starts_with(it)) {
            continue;
        }
        let preceding = lines[..at].iter().rev().find(|it| !it.trim_start().starts_with("#["));
        if !preceding.is_some_and(|it| it.trim_start().starts_with("///") || it.trim() == ")]") {
            problems.push(format!("{name}:{}: add a doc comment", at + 1));
        }
    }
    problems
}

fn check_folder_module(file: &Path, name: &str) -> Option<String> {
    let folder = file.with_extension("");
    let is_module = file.file_name().is_some_and(|it| it != "mod.rs" && it != "lib.rs");
    (is_module && folder.is_dir())
        .then(|| format!("{name}: move it to {}/mod.rs", folder.display()))
}

fn collect(folder: &Path, files: &mut Vec<PathBuf>) -> Result<(), String> {
    let entries = fs::read_dir(folder).map_err(|it| format!("{}: {it}", folder.display()))?;
    for entry in entries {
        let path = entry.map_err(|it| it.to_string())?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && !SKIPPED_FOLDERS.contains(&name.as_str()) {
            collect(&path, files)?;
        } else if name.ends_with(".rs") {
            files.push(path);
        }
    }
    Ok(())
}
