//! Documents of the store that could not be decoded.

use std::{
    fmt,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_directory::prelude::*;
use smol_str::SmolStr;

/// A document that could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedDocument {
    /// Key of the document in the store.
    pub key: SmolStr,
    /// Position of the document.
    pub position: StorePosition,
    /// The error, with its place in the document.
    pub error: SmolStr,
}

impl fmt::Display for RefusedDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at revision {} of era {}: {}",
            self.key, self.position.revision, self.position.era, self.error
        )
    }
}

/// Count of the refused documents, and the latest one.
#[derive(Clone, Debug, Default)]
struct RefusalRecord {
    count: u64,
    latest: Option<RefusedDocument>,
}

/// The documents that this host refused since its start.
#[derive(Debug, Default)]
pub struct RefusedDocuments(Mutex<RefusalRecord>);

impl RefusedDocuments {
    /// Creates the record of a host that has refused none.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, RefusalRecord> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs and counts a document that was refused with an error.
    pub fn record(&self, item: &StoreItem, error: &DocumentError) {
        let (key, position) = (&item.key, item.position);
        let (revision, era) = (position.revision, position.era);
        log::warn!(
            "event=document_refused key={key} revision={revision} era={era} error=\"{error}\""
        );
        let mut record = self.lock();
        record.count += 1;
        record.latest = Some(RefusedDocument {
            key: key.as_str().into(),
            position,
            error: error.to_string().into(),
        });
    }

    /// Returns the number of refused documents. A document that is read again counts again.
    pub fn count(&self) -> u64 {
        self.lock().count
    }

    /// Returns the document that was refused last.
    pub fn latest(&self) -> Option<RefusedDocument> {
        self.lock().latest.clone()
    }
}
