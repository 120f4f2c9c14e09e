//! The file as it is deployed, its schema, and what is refused.

use features::{Features, FeaturesError};

const DEPLOYED: &str = include_str!("../../../deploy/features.toml");
const SCHEMA: &str = include_str!("../../../deploy/features.schema.json");

#[test]
fn the_deployed_file_names_every_field_with_all_off() {
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
fn the_schema_is_that_of_the_fields() {
    let written: serde_json::Value = serde_json::from_str(SCHEMA).expect("a schema");
    let text = serde_json::to_string_pretty(&Features::schema()).expect("text");
    let schema: serde_json::Value = serde_json::from_str(&text).expect("a schema");
    assert_eq!(
        schema, written,
        "deploy/features.schema.json is to be:\n{text}"
    );
}

#[test]
fn what_is_left_out_is_as_by_default() {
    for text in ["", "[shares]", "[shares]\nenabled = false"] {
        assert_eq!(Features::parse(text).expect(text), Features::default());
    }
    let on = Features::parse("[shares]\nenabled = true\ngrowth = 2").expect("on");
    assert!(on.shares.enabled);
    assert_eq!((on.shares.growth, on.shares.passes_per_report), (2, 4));
}

#[test]
fn wrong_files_are_refused_with_one_line() {
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
