//! Generated and mutated documents are accepted or rejected with a typed error; the parser never
//! panics.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use chicorycroft_border::{
    parsing::{
        DOCUMENT_BYTES_MAX,
        decode_text, //
    },
    prelude::*,
};
use chicorycroft_core::prelude::*;
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const VALID: &str = include_str!("../../../examples/trust/inventory.yaml");
const RULES: &str = include_str!("../../../examples/trust/rules.yaml");

/// Inputs that are known to break parsers: numbers out of range, document markers, deep nesting and
/// unusual characters.
const PIECES: &[&str] = &[
    ".nan",
    "-.inf",
    "1e999",
    "-0",
    "0x7fffffffffffffffffff",
    "99999999999999999999",
    "~",
    "null",
    "&a [*a]",
    "<<: *a",
    "!!binary x",
    "---",
    "...",
    "%YAML 9.9",
    "[[[[[[[[[[[[[[[[[[[[",
    "{{{{{{",
    "? ",
    ": ",
    "- ",
    "|\n",
    ">\n",
    "\t",
    "\u{0}",
    "\u{feff}",
    "\u{2028}",
    "'",
    "\"\\x",
    "#",
    "\n",
];

/// Applies one to five random edits to a valid document. Each one inserts a piece, removes a range or
/// changes a byte.
fn mutate(text: &str, seed: u64) -> Vec<u8> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..generator.random_range(1..6) {
        let at = generator.random_range(0..bytes.len());
        match generator.random_range(0..3) {
            0 => {
                let piece = PIECES[generator.random_range(0..PIECES.len())];
                bytes.splice(at..at, piece.bytes());
            }
            1 => {
                let end = (at + generator.random_range(0..40)).min(bytes.len() - 1);
                bytes.drain(at..end);
            }
            _ => bytes[at] = generator.random(),
        }
    }
    bytes
}

fn build_mutated(bytes: Vec<u8>) -> Result<(), DocumentError> {
    let text = decode_text("mutated.yaml", bytes)?;
    let documents = [
        read_document("mutated.yaml", &text)?,
        read_document("rules.yaml", RULES)?,
    ];
    build_snapshot(ConfigVersion::new(1), &documents).map(|_| ())
}

/// Guards against a panic, or an error without a location, on a document with random edits.
#[test]
fn mutated_documents_are_accepted_or_rejected_with_location() {
    let mut rejected = 0;
    for seed in 0..400 {
        let Err(error) = build_mutated(mutate(VALID, seed)) else {
            continue;
        };
        rejected += 1;
        let location = error.location();
        let documents = ["mutated.yaml", "rules.yaml"];
        assert!(
            documents.contains(&&*location.document),
            "seed {seed}: {error}"
        );
        assert!(
            location.line >= 1 && location.column >= 1,
            "seed {seed}: {error}"
        );
        let text = error.to_string();
        assert!(
            text.len() < 1500 && !text.contains('\n'),
            "seed {seed}: {text}"
        );
    }
    assert!(
        rejected > 100,
        "only {rejected} of 400 mutated documents were rejected; expected more than 100"
    );
}

#[derive(Clone, Debug)]
struct GeneratedText(String);

impl Arbitrary for GeneratedText {
    fn arbitrary(generator: &mut Gen) -> Self {
        let length = usize::arbitrary(generator) % 40;
        let words = [
            "zones", "teams", "rate", "rules", "id", ":", "[", "]", "{", "}", ",", " ",
        ];
        let pieces = (0..length).map(|_| {
            let list = if bool::arbitrary(generator) {
                PIECES
            } else {
                &words
            };
            *generator.choose(list).unwrap()
        });
        Self(pieces.collect())
    }
}

/// Guards against a panic on random text that does not resemble a document.
#[test]
fn generated_text_never_panics() {
    fn is_handled(text: GeneratedText) -> bool {
        let _ = HostSettings::new(&text.0);
        let _ = ConfigIndex::new(&text.0);
        let rejected = read_document("generated", &text.0).err();
        rejected.is_none_or(|error| error.location().line >= 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(2000)
        .quickcheck(is_handled as fn(GeneratedText) -> bool);
}

/// Guards against exhausting memory on a short text whose aliases expand without bound.
#[test]
fn alias_bomb_is_refused() {
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for level in 1..12 {
        let item = format!("*a{}, ", level - 1).repeat(9);
        text.push_str(&format!("a{level}: &a{level} [{item}]\n"));
    }
    read_document("bomb.yaml", &text).unwrap_err();
    let listed = format!("zones: [&a {{id: z, region: r}}{}]", ", *a".repeat(1000));
    let error = read_document("bomb.yaml", &listed).unwrap_err();
    assert!(
        error.to_string().contains("without anchors and aliases"),
        "{error}"
    );
}

/// Guards against a stack overflow on a deeply nested document.
#[test]
fn deep_nesting_is_refused() {
    for (open, count) in [("[", 200_000), ("{a: ", 100_000), ("- ", 100_000)] {
        let error = read_document("deep.yaml", &open.repeat(count)).unwrap_err();
        assert_eq!(error.location().document, "deep.yaml");
    }
}

/// Guards against a document that is large enough to exhaust the memory of the host.
#[test]
fn oversize_document_is_refused() {
    let error = decode_text("huge.yaml", vec![b' '; DOCUMENT_BYTES_MAX + 1]).unwrap_err();
    assert!(matches!(error, DocumentError::TooLarge { .. }), "{error}");
}
