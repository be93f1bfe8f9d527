//! Rendering of a fleet as the text of a fleet file.

use toml::{Table, Value};

use crate::Fleet;

impl Fleet {
    /// Returns the text of a fleet file that parses to this fleet.
    ///
    /// Empty keys, and keys that groups of a kind cannot have, are omitted.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        let mut file = Table::try_from(self)?;
        prune(&mut file);
        toml::to_string(&file)
    }
}

/// Removes empty arrays and tables, and the keys for engines from groups of plain services.
fn prune(table: &mut Table) {
    if table.get("kind").and_then(Value::as_str) == Some("service") {
        table.remove("checks_fencing");
    }
    for (_, value) in table.iter_mut() {
        match value {
            Value::Table(inner) => prune(inner),
            Value::Array(items) => items
                .iter_mut()
                .filter_map(Value::as_table_mut)
                .for_each(prune),
            _ => {}
        }
    }
    table.retain(|_, value| match value {
        Value::Table(inner) => !inner.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => true,
    });
}
