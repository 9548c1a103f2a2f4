//! Names in this project's own documents, and names that other systems have assigned.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use chicorycroft_core::{
    ids::{
        EXTERNAL_NAME_LENGTH_MAX,
        NAME_LENGTH_MAX, //
    },
    prelude::*,
};
use quickcheck::quickcheck;

/// Guards against a name in an operator's document that needs quoting in URLs or logs.
#[test]
fn names_in_own_documents_follow_the_grammar() {
    for text in ["a", "9", "rate-desk_2.x", &"x".repeat(NAME_LENGTH_MAX)] {
        assert_eq!(TeamId::new(text).unwrap().as_str(), text);
        assert_eq!(text.parse::<TeamId>().unwrap().to_string(), text);
    }
    let long = "x".repeat(NAME_LENGTH_MAX + 1);
    for text in ["", "-a", ".a", "A", "Sohar-Coop", "a b", "a/b", "é", &long] {
        assert!(TeamId::new(text).is_err(), "{text:?}");
        assert!(text.parse::<TeamId>().is_err(), "{text:?}");
    }
}

/// Guards against a document of another system that is refused because of a name in it.
#[test]
fn names_of_other_systems_are_accepted() {
    let long = "x".repeat(EXTERNAL_NAME_LENGTH_MAX);
    for text in ["Sohar-Coop", "-a", "a b", "a/b", "صحار", "a=\"b\"", &long] {
        assert_eq!(TeamId::external(text).unwrap().as_str(), text);
    }
    let too_long = format!("{long}x");
    for text in ["", "a\nb", "a\u{0}", "\u{7f}", "\u{85}", &too_long] {
        assert!(TeamId::external(text).is_err(), "{text:?}");
    }
}

quickcheck! {
    /// Guards against a name that ends the value of its log field or begins another line.
    fn a_name_is_one_value_of_a_log_line(text: String) -> bool {
        let Ok(name) = TargetId::external(&text) else {
            return true;
        };
        let written = name.to_string();
        let inner = written.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
        match inner {
            Some(inner) => !inner.contains(['"', '\n']),
            None => !written.contains(|c: char| c.is_whitespace() || c == '"'),
        }
    }
}
