//! Tests of the deployed features file, its schema, and the refusal of invalid files.

use features::{Features, FeaturesError};

const DEPLOYED: &str = include_str!("../../../deploy/features.toml");
const SCHEMA: &str = include_str!("../../../deploy/features.schema.json");

#[test]
fn deployed_file_names_every_field_and_enables_nothing() {
    let features = Features::parse(DEPLOYED).expect("a features file");
    assert_eq!(features, Features::default());
    assert!(!features.shares.enabled);
    let schema: serde_json::Value = serde_json::from_str(SCHEMA).expect("a schema");
    let fields = schema["$defs"]["Shares"]["properties"]
        .as_object()
        .expect("fields");
    for field in fields.keys() {
        let line = format!("\n{field} = ");
        assert!(DEPLOYED.contains(&line), "{field} is not in the file");
    }
}

#[test]
fn deployed_schema_matches_the_fields() {
    let written: serde_json::Value = serde_json::from_str(SCHEMA).expect("a schema");
    let text = serde_json::to_string_pretty(&Features::schema()).expect("text");
    let schema: serde_json::Value = serde_json::from_str(&text).expect("a schema");
    assert_eq!(
        schema, written,
        "deploy/features.schema.json must be:\n{text}"
    );
}

#[test]
fn absent_fields_take_their_default_values() {
    for text in ["", "[shares]", "[shares]\nenabled = false"] {
        assert_eq!(Features::parse(text).expect(text), Features::default());
    }
    let enabled = Features::parse("[shares]\nenabled = true\ngrowth = 2").expect("on");
    assert!(enabled.shares.enabled);
    assert_eq!(
        (enabled.shares.growth, enabled.shares.passes_per_report),
        (2, 4)
    );
}

#[test]
fn invalid_files_are_refused_with_a_one_line_message() {
    for (text, problem) in [
        ("shares = 3", "line 1: invalid type"),
        ("[share]", "line 1: unknown field `share`"),
        (
            "[shares]\nenabeld = true",
            "line 2: unknown field `enabeld`",
        ),
        ("[shares]\nenabled = 1", "line 2: invalid type"),
        ("[shares]\ngrowth = 0", "shares.growth: lower than 1"),
        ("[shares]\ngrowth = 101", "shares.growth: greater than 100"),
        ("[shares]\ngrowth = -1", "line 2: invalid value"),
        ("[shares]\ngrowth = 1.5", "line 2: invalid type"),
        (
            "[shares]\npasses_per_report = 0",
            "shares.passes_per_report: lower than 1",
        ),
        ("[shares", "line 1: "),
    ] {
        let error: FeaturesError = Features::parse(text).expect_err(text);
        let message = error.to_string();
        assert!(message.contains(problem), "{text}: {message}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}
