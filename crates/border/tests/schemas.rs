//! The committed JSON schemas accept the example configurations.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::path::Path;

use serde_json::Value;

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap()
}

/// Guards against a schema that rejects documents which the parser accepts.
#[test]
fn schemas_accept_examples() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for example in ["trust", "pourwise"] {
        let files = [
            ("configuration", "inventory.yaml"),
            ("configuration", "rules.yaml"),
            ("settings", "settings.yaml"),
        ];
        for (schema, file) in files {
            let schema = read(&root.join(format!("schema/{schema}.schema.json")));
            let schema: Value = serde_json::from_str(&schema).unwrap();
            let text = read(&root.join(format!("../../examples/{example}/{file}")));
            let document: Value = serde_saphyr::from_str(&text).unwrap();
            let validator = jsonschema::draft7::new(&schema).unwrap();
            let errors: Vec<_> = validator.iter_errors(&document).collect();
            assert!(errors.is_empty(), "{example}/{file}: {errors:?}");
        }
    }
}
