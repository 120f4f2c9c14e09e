//! The behaviour of the program version that is in production: the commits that it would
//! send, and the records that it can read.

use serde_json::Value;

/// Returns the commit without the record formats that the production version does not
/// announce, or `None` for a commit of `sh/formats`, which that version never writes.
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

/// Returns whether the production version can read a record and write it back without loss
/// of data.
pub(super) fn is_readable_by_production(key: &str, value: &Value) -> bool {
    let is_complete = |spec: &Value| spec["aw"].is_null();
    let table = key.trim_start_matches("sh/").split('/').next();
    match table.unwrap_or_default() {
        "job" => {
            let reads_tasks = |text: &Value| text.as_str().is_none_or(|t| !t.starts_with('.'));
            let reads_runs = value["r"].is_null() || value["r"].is_array();
            reads_runs
                && reads_tasks(&value["q"])
                && is_complete(&value["s"])
                && value["sh"].is_null()
        }
        "new" => value["j"]
            .as_object()
            .into_iter()
            .flatten()
            .all(|j| is_complete(j.1)),
        "zone" | "machine" => value["m"].is_object(),
        // The production version ignores these records, so it would book more for a team than
        // its shares allow.
        "share" | "use" | "pool" => false,
        // The production version ignores keys that it does not know.
        _ => true,
    }
}
