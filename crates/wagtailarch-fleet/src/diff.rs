//! Differences between two fleet files.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::Fleet;

/// Differences between two fleets by section and name; empty if they are equal.
///
/// The order of the tables in the files is ignored.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetDiff {
    /// Differences in the order of the sections of the file.
    pub changes: Vec<TableChange>,
}

/// A table that differs between the fleets.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TableChange {
    /// Section of the file: `fleet`, `policy`, `model`, `group`, `service` or `team`.
    pub section: &'static str,
    /// Name of the table; empty for `fleet` and `policy`.
    pub name: SmolStr,
    /// Whether the table was added, removed or changed.
    pub kind: ChangeKind,
    /// Values that differ; empty for added and removed tables.
    pub fields: Vec<FieldChange>,
}

/// Kind of the change of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new file has it.
    Added,
    /// Only the old file has it.
    Removed,
    /// Both files have it, with different values.
    Changed,
}

/// A value that differs between the fleets.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Key, preceded by the keys of the enclosing tables and separated by dots.
    pub field: String,
    /// Old value; null if the key is missing.
    pub before: Value,
    /// New value; null if the key is missing.
    pub after: Value,
}

impl TableChange {
    /// Creates the change of a table that was added or removed.
    fn without_fields(section: &'static str, name: &SmolStr, kind: ChangeKind) -> Self {
        Self {
            section,
            name: name.clone(),
            kind,
            fields: Vec::new(),
        }
    }
}

impl FleetDiff {
    /// Returns whether the fleets are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for FleetDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let marker = match change.kind {
                ChangeKind::Added => '+',
                ChangeKind::Removed => '-',
                ChangeKind::Changed => '~',
            };
            let separator = if change.name.is_empty() { "" } else { " " };
            writeln!(f, "{marker} {}{separator}{}", change.section, change.name)?;
            for field in &change.fields {
                writeln!(
                    f,
                    "    {}: {} -> {}",
                    field.field, field.before, field.after
                )?;
            }
        }
        Ok(())
    }
}

/// Compares two fleets.
pub fn diff(before: &Fleet, after: &Fleet) -> FleetDiff {
    let mut changes = Vec::new();
    let unnamed = |_: &Value| SmolStr::default();
    compare_section(
        &mut changes,
        "fleet",
        [&before.fleet],
        [&after.fleet],
        unnamed,
    );
    compare_section(
        &mut changes,
        "policy",
        [&before.policy],
        [&after.policy],
        unnamed,
    );
    compare_section(
        &mut changes,
        "model",
        &before.models,
        &after.models,
        name_of,
    );
    compare_section(
        &mut changes,
        "group",
        &before.groups,
        &after.groups,
        name_of,
    );
    compare_section(
        &mut changes,
        "service",
        &before.services,
        &after.services,
        name_of,
    );
    compare_section(&mut changes, "team", &before.teams, &after.teams, name_of);
    FleetDiff { changes }
}

/// Adds the changes between the tables of a section, which are matched by name.
fn compare_section<'f, T: Serialize + 'f>(
    changes: &mut Vec<TableChange>,
    section: &'static str,
    before: impl IntoIterator<Item = &'f T>,
    after: impl IntoIterator<Item = &'f T>,
    name: impl Fn(&Value) -> SmolStr,
) {
    let (old, new) = (index_tables(before, &name), index_tables(after, &name));
    for (name, new_value) in &new {
        let Some(old_value) = old.get(name) else {
            changes.push(TableChange::without_fields(
                section,
                name,
                ChangeKind::Added,
            ));
            continue;
        };
        let fields = compare_fields(old_value, new_value);
        if !fields.is_empty() {
            let kind = ChangeKind::Changed;
            changes.push(TableChange {
                section,
                name: name.clone(),
                kind,
                fields,
            });
        }
    }
    for name in old.keys() {
        if !new.contains_key(name) {
            changes.push(TableChange::without_fields(
                section,
                name,
                ChangeKind::Removed,
            ));
        }
    }
}

/// Serializes tables and indexes them by name.
fn index_tables<'f, T: Serialize + 'f>(
    items: impl IntoIterator<Item = &'f T>,
    name: impl Fn(&Value) -> SmolStr,
) -> IndexMap<SmolStr, Value> {
    let mut index = IndexMap::new();
    for item in items {
        let value = serde_json::to_value(item).unwrap_or_default();
        index.insert(name(&value), value);
    }
    index
}

/// Returns the value of the key `name` of a table.
fn name_of(value: &Value) -> SmolStr {
    value
        .get("name")
        .and_then(Value::as_str)
        .unwrap_or_default()
        .into()
}

/// Returns the values that differ between two serialized tables.
fn compare_fields(before: &Value, after: &Value) -> Vec<FieldChange> {
    if before == after {
        return Vec::new();
    }
    let (mut old, mut new) = (IndexMap::new(), IndexMap::new());
    flatten(&mut old, String::new(), before.clone());
    flatten(&mut new, String::new(), after.clone());
    let mut fields = Vec::new();
    for (field, after) in new {
        let before = old.shift_remove(&field).unwrap_or_default();
        if before != after {
            fields.push(FieldChange {
                field,
                before,
                after,
            });
        }
    }
    for (field, before) in old {
        if !before.is_null() {
            fields.push(FieldChange {
                field,
                before,
                after: Value::Null,
            });
        }
    }
    fields
}

/// Adds the values of a table and the tables in it under their dotted keys.
fn flatten(fields: &mut IndexMap<String, Value>, path: String, value: Value) {
    let Value::Object(object) = value else {
        fields.insert(path, value);
        return;
    };
    for (key, value) in object {
        let path = if path.is_empty() {
            key
        } else {
            format!("{path}.{key}")
        };
        flatten(fields, path, value);
    }
}
