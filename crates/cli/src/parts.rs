//! The `parts` command, which splits files into parts and writes them with their index for publishing.

use std::{
    fs,
    path::Path, //
};

use chicorycroft_border::{
    parts::WrittenParts,
    prelude::*, //
};
use chicorycroft_core::prelude::*;
use getopts::Matches;

use crate::{
    CommandOutcome, EXIT_FINDINGS, EXIT_IO, check,
    files::{
        read_documents,
        read_file, //
    },
    usage_error,
};

fn write_files(directory: &Path, written: &WrittenParts) -> std::io::Result<()> {
    for (name, text) in &written.parts {
        let path = directory.join(&**name);
        if let Some(parent) = path.parent() {
            fs::create_dir_all(parent)?;
        }
        fs::write(path, text)?;
    }
    // The index is written last, so that it never lists a part that does not exist.
    fs::write(directory.join("index"), &written.index)
}

/// Splits files into parts and creates their index.
///
/// The version is one above that of the previous index, or 1, unless one is given.
///
/// # Errors
///
/// Returns the outcome to report if the files are not valid, the version is not above the previous one or a part
/// is too large.
pub fn split(
    paths: &[String],
    previous: Option<ConfigIndex>,
    version: Option<u64>,
) -> Result<WrittenParts, CommandOutcome> {
    let documents = read_documents(paths).map_err(|errors| check::findings_outcome(&errors))?;
    build_snapshot(ConfigVersion::default(), &documents)
        .map_err(|error| check::findings_outcome(&[error.into()]))?;
    let next = previous
        .as_ref()
        .map_or(1, |index| index.version().get().saturating_add(1));
    let mut writer = PartWriter::new(ConfigVersion::new(version.unwrap_or(next)));
    let failure = |error| CommandOutcome::with_error(EXIT_FINDINGS, error);
    if let Some(previous) = previous {
        writer = writer.with_previous(previous).map_err(failure)?;
    }
    writer.write(&documents).map_err(failure)
}

fn read_previous(path: &str) -> Result<ConfigIndex, CommandOutcome> {
    let text = read_file(path).map_err(|error| check::findings_outcome(&[error]))?;
    ConfigIndex::new(&text).map_err(|error| check::findings_outcome(&[error.into()]))
}

fn run_with(matches: &Matches, directory: &str) -> Result<CommandOutcome, CommandOutcome> {
    let previous = matches.opt_str("previous");
    let previous = previous.as_deref().map(read_previous).transpose()?;
    let version = matches.opt_get::<u64>("version");
    let version = version.map_err(|_| usage_error("--version needs a number from 1"))?;
    if version == Some(0) {
        return Err(usage_error("--version needs a number from 1"));
    }
    let written = split(&matches.free, previous, version)?;
    let directory_path = Path::new(directory);
    write_files(directory_path, &written)
        .map_err(|error| CommandOutcome::with_error(EXIT_IO, format!("{directory}: {error}")))?;
    let bytes: usize = written.parts.values().map(String::len).sum();
    Ok(CommandOutcome::new(format!(
        "{} parts of {bytes} bytes in all, and an index of {} bytes, in {directory}\n",
        written.parts.len(),
        written.index.len(),
    )))
}

/// Runs `parts`.
pub fn run(matches: &Matches) -> CommandOutcome {
    let Some(directory) = matches.opt_str("out") else {
        return usage_error("parts needs --out DIR");
    };
    if matches.free.is_empty() {
        return usage_error("parts needs a file");
    }
    run_with(matches, &directory).unwrap_or_else(|outcome| outcome)
}
