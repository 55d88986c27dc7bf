//! House rules that formatter and linter do not know.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Longest source file, in lines.
const FILE_LINES: usize = 600;
/// Folder of the adapter to the users' platform.
const ADAPTER: &str = "platform/";
/// Names of the platform's protocol, one a line.
const ADAPTER_NAMES: &str = "platform/names.txt";
/// Folders that hold no source of ours.
const SKIPPED: [&str; 3] = ["target", ".git", "generated"];

/// Checks every source file of the repository.
pub fn run(root: &Path) -> Result<(), String> {
    let mut files = Vec::new();
    collect(root, &mut files)?;
    files.sort();
    let names = fs::read_to_string(root.join(ADAPTER_NAMES))
        .map_err(|it| format!("{ADAPTER_NAMES}: {it}"))?;
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
        println!("tidy: {} files", files.len());
        return Ok(());
    }
    Err(problems.join("\n"))
}

/// Problems of one source file.
pub fn check_file(name: &str, text: &str) -> Vec<String> {
    let mut problems = Vec::new();
    let lines: Vec<&str> = text.lines().collect();
    if lines.len() > FILE_LINES {
        problems.push(format!("{name}: {} lines; split it by job", lines.len()));
    }
    if !lines.first().is_some_and(|line| line.starts_with("//!")) {
        problems.push(format!("{name}:1: begin with a doc comment on the module"));
    }
    if text.contains(&["Copy", "right"].concat()) || text.contains(&["SP", "DX"].concat()) {
        problems.push(format!("{name}: remove the file notice"));
    }
    problems.extend(check_imports(name, &lines));
    problems.extend(check_doc_comments(name, &lines));
    problems
}

/// Names of the platform's protocol outside its adapter.
pub fn check_adapter_names(name: &str, text: &str, names: &[&str]) -> Vec<String> {
    if name.starts_with(ADAPTER) {
        return Vec::new();
    }
    let text = text.to_ascii_lowercase();
    let found = names.iter().filter(|it| text.contains(**it));
    found.map(|it| format!("{name}: decode {it} in {ADAPTER} and use a type of ours")).collect()
}

fn check_imports(name: &str, lines: &[&str]) -> Vec<String> {
    let mut problems = Vec::new();
    let mut group = 0;
    for (at, line) in lines.iter().enumerate() {
        let Some(path) = line.strip_prefix("use ") else { continue };
        if path.contains('{') {
            problems.push(format!("{name}:{}: one import a line", at + 1));
        }
        let found = import_group(path);
        if found < group {
            problems.push(format!("{name}:{}: order imports std, external, crate", at + 1));
        }
        if found > group && group != 0 && !lines[at - 1].is_empty() {
            problems.push(format!("{name}:{}: put a blank line between import groups", at + 1));
        }
        let is_apart = at > 0 && lines[at - 1].is_empty();
        if found == group && is_apart {
            problems.push(format!("{name}:{}: join it to the import group above", at + 1));
        }
        group = found;
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
    let starts = ["pub fn ", "pub struct ", "pub enum ", "pub trait ", "pub const ", "pub type "];
    let mut problems = Vec::new();
    for (at, line) in lines.iter().enumerate() {
        if !starts.iter().any(|it| line.trim_start().starts_with(it)) {
            continue;
        }
        let above = lines[..at].iter().rev().find(|it| !it.trim_start().starts_with("#["));
        if !above.is_some_and(|it| it.trim_start().starts_with("///") || it.trim() == ")]") {
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
        if path.is_dir() && !SKIPPED.contains(&name.as_str()) {
            collect(&path, files)?;
        } else if name.ends_with(".rs") {
            files.push(path);
        }
    }
    Ok(())
}
