//! Reads files with a size limit.

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

/// Error of a file that cannot be read or is not valid.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file, as given on the command line.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content of the file is not valid.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

/// Reads a text file, up to the maximum size of a document.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is longer than [`DOCUMENT_BYTES_MAX`] or is not UTF-8.
pub fn read_file(path: &str) -> Result<String, FileError> {
    let failure = |source| FileError::Read {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(failure)?;
    let mut bytes = Vec::new();
    // One more byte than allowed shows that the file is too long.
    let bytes_max = DOCUMENT_BYTES_MAX as u64 + 1;
    file.take(bytes_max)
        .read_to_end(&mut bytes)
        .map_err(failure)?;
    Ok(decode_text(path, bytes)?)
}

/// Reads and parses configuration documents.
///
/// # Errors
///
/// Returns the errors of all files that cannot be read or parsed.
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
