//! Splits an inventory into parts of bounded size, and writes their index.
//!
//! A change to one team should resend little data and leave the other parts unchanged. Teams,
//! targets and routes are therefore assigned to parts by the hash of their id, and the number of
//! parts is a power of two that changes only when the mean part size leaves the range of a quarter to
//! twice the preferred size.

use chicorycroft_core::{
    prelude::*,
    rendezvous::weight_of, //
};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::json;
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use thiserror::Error;

use crate::{
    document::SourceDocument,
    generated::configuration::TargetEntry,
    index::ConfigIndex, //
};

/// Maximum size of a value on the platform, in bytes.
pub const PART_BYTES_MAX: usize = 1_000_000;

/// Preferred size of a part with teams, in bytes. Teams change often, and each change resends one
/// part.
const TEAM_PART_BYTES: usize = 12_000;

/// Preferred size of a part with targets or routes, in bytes.
const OTHER_PART_BYTES: usize = 64_000;

/// An inventory cannot be split into parts.
#[derive(Clone, Debug, Error)]
pub enum PartError {
    /// A part exceeds [`PART_BYTES_MAX`].
    #[error(
        "part {name} has {bytes} bytes, and the platform holds at most {PART_BYTES_MAX}; remove entries from it"
    )]
    TooLarge {
        /// Name of the part.
        name: SmolStr,
        /// Size of the part, in bytes.
        bytes: usize,
    },
    /// The version is not higher than that of the previous index.
    #[error("version {version} is not above {previous} of the previous index; choose a higher one")]
    OldVersion {
        /// The requested version.
        version: ConfigVersion,
        /// Version of the previous index.
        previous: ConfigVersion,
    },
    /// An entry cannot be encoded.
    #[error("an entry cannot be written: {reason}")]
    Encoding {
        /// Message of the encoder.
        reason: SmolStr,
    },
}

impl From<serde_json::Error> for PartError {
    fn from(error: serde_json::Error) -> Self {
        Self::Encoding {
            reason: format_smolstr!("{error}"),
        }
    }
}

/// The encoded parts of one version, with their index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenParts {
    /// Text of the index.
    pub index: String,
    /// Text of each part, by its name.
    pub parts: IndexMap<SmolStr, String>,
}

/// Splits documents into parts and writes the index of one version.
#[derive(Clone, Debug)]
pub struct PartWriter {
    version: ConfigVersion,
    previous: Option<ConfigIndex>,
    parts: IndexMap<SmolStr, String>,
}

impl PartWriter {
    /// Creates a writer for a version.
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            previous: None,
            parts: IndexMap::new(),
        }
    }

    /// Keeps the part counts of an earlier index, and the versions of the parts that are unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not higher than that of the earlier index.
    pub fn with_previous(mut self, previous: ConfigIndex) -> Result<Self, PartError> {
        if self.version <= previous.version() {
            return Err(PartError::OldVersion {
                version: self.version,
                previous: previous.version(),
            });
        }
        self.previous = Some(previous);
        Ok(self)
    }

    /// Splits documents into parts.
    ///
    /// # Errors
    ///
    /// Returns an error if a part or the index would exceed [`PART_BYTES_MAX`], or an entry cannot be
    /// encoded.
    pub fn write(mut self, documents: &[SourceDocument]) -> Result<WrittenParts, PartError> {
        let contents = || documents.iter().map(SourceDocument::content);
        let zones: Vec<_> = contents().flat_map(|content| &content.zones).collect();
        let services: Vec<_> = contents().flat_map(|content| &content.services).collect();
        let teams = contents().flat_map(|content| &content.teams);
        let routes = contents().flat_map(|content| &content.routes);
        self.add("zones", "zones", &lines_of(zones)?)?;
        for rules in contents().filter_map(|content| content.rules.as_ref()) {
            let text = format!("{{\"rules\":{}}}\n", serde_json::to_string_pretty(rules)?);
            self.insert("rules".into(), text)?;
        }
        self.add("services", "services", &lines_of(services)?)?;
        let mut targets: IndexMap<&str, Vec<&TargetEntry>> = IndexMap::new();
        for target in contents().flat_map(|content| &content.targets) {
            targets.entry(&target.service).or_default().push(target);
        }
        for (service, targets) in targets {
            let targets = targets.into_iter().map(|target| (&*target.id, target));
            let prefix = format!("targets/{service}");
            self.add_hashed(("targets", &prefix), targets, OTHER_PART_BYTES)?;
        }
        let teams = teams.map(|team| (&*team.id, team));
        self.add_hashed(("teams", "teams"), teams, TEAM_PART_BYTES)?;
        let routes = routes.map(|route| (&*route.id, route));
        self.add_hashed(("routes", "routes"), routes, OTHER_PART_BYTES)?;
        let index = self.write_index()?;
        Ok(WrittenParts {
            index,
            parts: self.parts,
        })
    }

    /// Assigns entries to parts by the hash of their id.
    fn add_hashed<'a, E: Serialize>(
        &mut self,
        (list, prefix): (&str, &str),
        entries: impl Iterator<Item = (&'a str, E)>,
        preferred: usize,
    ) -> Result<(), PartError> {
        let mut lines = Vec::new();
        for (id, entry) in entries {
            lines.push((id, serde_json::to_string(&entry)?));
        }
        let bytes: usize = lines.iter().map(|(_, line)| line.len() + 2).sum();
        let count = part_count(bytes, preferred, self.previous_count(prefix));
        let mut buckets = vec![Vec::new(); count];
        for (id, line) in lines {
            // The remainder is below the number of buckets.
            let bucket = weight_of(id, "part") % count as u64;
            buckets[bucket as usize].push(line);
        }
        for (number, mut bucket) in buckets.into_iter().enumerate() {
            // Reordering entries in the source files must not change a part.
            bucket.sort();
            self.add(&format!("{prefix}/{number}"), list, &bucket)?;
        }
        Ok(())
    }

    fn previous_count(&self, prefix: &str) -> Option<usize> {
        let parts = self.previous.iter().flat_map(ConfigIndex::parts);
        let is_of_prefix = |name: &str| {
            let rest = name
                .strip_prefix(prefix)
                .and_then(|rest| rest.strip_prefix('/'));
            rest.is_some_and(|number| number.bytes().all(|byte| byte.is_ascii_digit()))
        };
        let count = parts.filter(|part| is_of_prefix(&part.name)).count();
        (count.is_power_of_two()).then_some(count)
    }

    fn add(&mut self, name: &str, list: &str, lines: &[String]) -> Result<(), PartError> {
        let text = format!("{{\"{list}\":[\n{}\n]}}\n", lines.join(",\n"));
        self.insert(name.into(), text)
    }

    fn insert(&mut self, name: SmolStr, text: String) -> Result<(), PartError> {
        let bytes = text.len();
        if bytes > PART_BYTES_MAX {
            return Err(PartError::TooLarge { name, bytes });
        }
        self.parts.insert(name, text);
        Ok(())
    }

    fn write_index(&self) -> Result<String, PartError> {
        let previous = self.previous.iter().flat_map(ConfigIndex::parts);
        let previous: IndexMap<&str, _> = previous.map(|part| (&*part.name, part)).collect();
        let lines = self.parts.iter().map(|(name, text)| {
            let digest = DocumentDigest::of_document(text.as_bytes());
            let unchanged = previous.get(&**name).filter(|part| part.digest == digest);
            let version = unchanged.map_or(self.version, |part| part.version);
            let entry = json!({
                "name": name, "version": version.get(), "digest": digest.to_string(),
            });
            entry.to_string()
        });
        let lines: Vec<String> = lines.collect();
        let text = format!(
            "{{\"version\":{},\"parts\":[\n{}\n]}}\n",
            self.version.get(),
            lines.join(",\n")
        );
        if text.len() > PART_BYTES_MAX {
            return Err(PartError::TooLarge {
                name: "index".into(),
                bytes: text.len(),
            });
        }
        Ok(text)
    }
}

fn lines_of<E: Serialize>(entries: Vec<E>) -> Result<Vec<String>, PartError> {
    let lines = entries.iter().map(serde_json::to_string);
    Ok(lines.collect::<Result<_, _>>()?)
}

/// Returns the number of parts for a number of bytes, which is a power of two.
///
/// The previous number is kept while the mean size is between a quarter and twice the preferred size,
/// so that small changes in the size of the fleet do not resend all parts.
fn part_count(bytes: usize, preferred: usize, previous: Option<usize>) -> usize {
    if let Some(count) = previous {
        let mean = bytes / count;
        if mean <= preferred * 2 && (count == 1 || mean >= preferred / 4) {
            return count;
        }
    }
    bytes.div_ceil(preferred).max(1).next_power_of_two()
}
