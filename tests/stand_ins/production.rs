//! The program in production: what it would commit, and which records it can read.

use serde_json::Value;

/// A commit as production would send it: nothing where it would send none.
pub(super) fn commit_of_production_version(mut body: Value) -> Option<Value> {
    for write in body["writes"].as_array_mut().into_iter().flatten() {
        let key = write["set"].as_str().unwrap_or_default().to_string();
        if key == "sh/formats" {
            return None;
        }
        if (key == "sh/fleet" || key.starts_with("sh/node/"))
            && let Some(value) = write["value"].as_object_mut()
        {
            value.remove("v");
        }
    }
    Some(body)
}

/// Whether production reads a record, and loses nothing when it writes it back.
pub(super) fn is_readable_by_production(key: &str, value: &Value) -> bool {
    let whole = |spec: &Value| spec["aw"].is_null();
    let table = key.trim_start_matches("sh/").split('/').next();
    match table.unwrap_or_default() {
        "job" => {
            let tasks = |text: &Value| text.as_str().is_none_or(|t| !t.starts_with('.'));
            let runs = value["r"].is_null() || value["r"].is_array();
            runs && tasks(&value["q"]) && whole(&value["s"]) && value["sh"].is_null()
        }
        "new" => value["j"]
            .as_object()
            .into_iter()
            .flatten()
            .all(|j| whole(j.1)),
        "zone" | "machine" => value["m"].is_object(),
        // It would book past shares.
        "share" | "use" | "pool" => false,
        // It passes over a key that it does not know.
        _ => true,
    }
}
