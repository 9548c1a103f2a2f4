//! Reads files with bounds.

use std::{
    fs::File,
    io::Read, //
};

use chicorycroft_border::{
    parsing::{
        DOCUMENT_BYTES_MAX,
        decode_text, //
    },
    prelude::*,
};
use thiserror::Error;

/// Why a file is of no use.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path as given.
        path: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The content is not valid.
    #[error(transparent)]
    Border(#[from] DocumentError),
}

/// Reads the text of a file. No more than the longest document is read.
///
/// # Errors
///
/// Fails when the file cannot be read, is too long or not UTF-8.
pub fn read_file(path: &str) -> Result<String, FileError> {
    let failure = |source| FileError::Read {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(failure)?;
    let mut bytes = Vec::new();
    let most = DOCUMENT_BYTES_MAX as u64 + 1;
    file.take(most).read_to_end(&mut bytes).map_err(failure)?;
    Ok(decode_text(path, bytes)?)
}

/// Reads and parses documents.
///
/// # Errors
///
/// Returns the errors of all files.
pub fn read_documents(paths: &[String]) -> Result<Vec<SourceDocument>, Vec<FileError>> {
    let mut documents = Vec::new();
    let mut errors = Vec::new();
    for path in paths {
        let text = read_file(path);
        match text.and_then(|text| Ok(read_document(path, &text)?)) {
            Ok(document) => documents.push(document),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        Ok(documents)
    } else {
        Err(errors)
    }
}
