//! Typed access to the tables of the TOML syntax tree.

use smol_str::SmolStr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::schema::{
    KeySpec, MAX_NAME_CHARS, MAX_NAMES, NumberSpec, Suggestion, ValueType, suggest_key,
};
use crate::sink::{Sink, Span};

/// A table that is checked against its schema.
///
/// Accessors of single values return `None` if the key is missing, or if its value is invalid,
/// which they report. `names` and `tables` leave out invalid elements, and `tables` returns an
/// empty list instead of `None`.
pub(crate) struct TableReader<'s, 'r, 'i, 'a> {
    title: &'static str,
    specs: &'static [KeySpec],
    table: &'r DeTable<'i>,
    span: Span,
    pub(crate) sink: &'s mut Sink<'a>,
}

/// A value with its position in the file.
#[derive(Debug, Clone)]
pub(crate) struct Field<T> {
    pub(crate) value: T,
    pub(crate) span: Span,
}

/// A table with its position in the file.
pub(crate) type TableField<'r, 'i> = Field<&'r DeTable<'i>>;

impl<'s, 'r, 'i, 'a> TableReader<'s, 'r, 'i, 'a> {
    /// Creates a reader of `table` and reports its unknown and missing keys.
    pub(crate) fn new(
        sink: &'s mut Sink<'a>,
        title: &'static str,
        specs: &'static [KeySpec],
        table: TableField<'r, 'i>,
    ) -> Self {
        let mut reader = Self {
            title,
            specs,
            table: table.value,
            span: table.span,
            sink,
        };
        let suggested = reader.report_unknown_keys();
        for spec in specs {
            let present = reader.has(spec.name) || suggested.contains(&spec.name);
            if !spec.required || present || reader.sink.after_syntax_error {
                continue;
            }
            reader.report_missing(spec.name);
        }
        reader
    }

    /// Reports the unknown keys and returns the keys that they probably stand for.
    fn report_unknown_keys(&mut self) -> Vec<&'static str> {
        let mut suggested = Vec::new();
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.specs.iter().any(|spec| spec.name == name) {
                continue;
            }
            let (problem, hint) = match suggest_key(self.specs, name) {
                Suggestion::Unit(spec) => {
                    suggested.push(spec.name);
                    let problem = match spec.value_type.unit() {
                        Some(unit) => format!("unit is missing or wrong, it must be {unit}"),
                        None => "it has no unit".into(),
                    };
                    (
                        problem,
                        format!("write {} with {}", spec.name, spec.value_type),
                    )
                }
                Suggestion::Spelling(spec) => {
                    suggested.push(spec.name);
                    ("no such key".into(), format!("did you mean {}?", spec.name))
                }
                Suggestion::None => {
                    let names: Vec<&str> = self.specs.iter().map(|spec| spec.name).collect();
                    (
                        "no such key".into(),
                        format!("the keys are {}", names.join(", ")),
                    )
                }
            };
            let message = format!("unknown key {name:?} in {}: {problem}", self.title);
            self.sink.report(&key.span(), message, hint);
        }
        suggested
    }

    /// Reports a required key that is missing.
    pub(crate) fn report_missing(&mut self, name: &'static str) {
        let value_type = self
            .spec(name)
            .map_or_else(String::new, |spec| spec.value_type.to_string());
        let message = format!("{} lacks the key {name}", self.title);
        self.sink
            .report(&self.span, message, format!("add {name}: {value_type}"));
    }

    /// Returns the position of the table.
    pub(crate) fn span(&self) -> Span {
        self.span.clone()
    }

    /// Returns whether the key is present, with a valid value or not.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Returns the position of a key.
    pub(crate) fn key_span(&self, name: &str) -> Option<Span> {
        self.table.get_key_value(name).map(|(key, _)| key.span())
    }

    pub(crate) fn name(&mut self, name: &'static str) -> Option<Field<SmolStr>> {
        let field = self.text(name)?;
        check_name(self.sink, &field).then_some(field)
    }

    pub(crate) fn text(&mut self, name: &'static str) -> Option<Field<SmolStr>> {
        let (spec, value) = self.value(name)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Field {
                value: SmolStr::new(text),
                span: value.span(),
            }),
            _ => self.wrong_type(spec, value),
        }
    }

    /// Returns the texts of a list; reports other values.
    pub(crate) fn texts(&mut self, name: &'static str) -> Option<Vec<Field<SmolStr>>> {
        let (spec, value) = self.value(name)?;
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(spec, value);
        };
        let mut texts = Vec::with_capacity(items.len());
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => texts.push(Field {
                    value: SmolStr::new(text),
                    span: item.span(),
                }),
                _ => {
                    self.wrong_type::<()>(spec, item);
                }
            }
        }
        Some(texts)
    }

    pub(crate) fn choice(&mut self, name: &'static str) -> Option<Field<SmolStr>> {
        let (spec, _) = self.value(name)?;
        let field = self.text(name)?;
        let ValueType::Choice(options) = &spec.value_type else {
            return None;
        };
        if options.contains(&field.value.as_str()) {
            return Some(field);
        }
        let message = format!("{name} cannot be {:?}", field.value.as_str());
        self.sink
            .report(&field.span, message, format!("write {}", spec.value_type));
        None
    }

    pub(crate) fn boolean(&mut self, name: &'static str) -> Option<Field<bool>> {
        let (spec, value) = self.value(name)?;
        match value.get_ref() {
            DeValue::Boolean(boolean) => Some(Field {
                value: *boolean,
                span: value.span(),
            }),
            _ => self.wrong_type(spec, value),
        }
    }

    pub(crate) fn count(&mut self, name: &'static str) -> Option<Field<u32>> {
        let (spec, value) = self.value(name)?;
        let DeValue::Integer(integer) = value.get_ref() else {
            return self.wrong_type(spec, value);
        };
        let ValueType::Count(min, max) = spec.value_type else {
            return None;
        };
        let number = i128::from_str_radix(integer.as_str(), integer.radix()).ok();
        let count = number.and_then(|n| u32::try_from(n).ok());
        match count.filter(|count| (min..=max).contains(count)) {
            Some(count) => Some(Field {
                value: count,
                span: value.span(),
            }),
            None => self.out_of_bounds(spec, value, &integer.to_string()),
        }
    }

    pub(crate) fn number(&mut self, name: &'static str) -> Option<Field<f64>> {
        let (spec, value) = self.value(name)?;
        let (text, number) = match value.get_ref() {
            DeValue::Float(float) => (float.as_str(), float.as_str().parse::<f64>().ok()),
            DeValue::Integer(integer) => {
                let number = i128::from_str_radix(integer.as_str(), integer.radix());
                (integer.as_str(), number.ok().map(|n| n as f64))
            }
            _ => return self.wrong_type(spec, value),
        };
        let ValueType::Number(bounds) = &spec.value_type else {
            return None;
        };
        match number.filter(|number| is_within(bounds, *number)) {
            Some(number) => Some(Field {
                value: number,
                span: value.span(),
            }),
            None => self.out_of_bounds(spec, value, text),
        }
    }

    /// Returns the valid names of a list; reports invalid and repeated ones.
    pub(crate) fn names(&mut self, name: &'static str) -> Option<Vec<Field<SmolStr>>> {
        let (spec, value) = self.value(name)?;
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(spec, value);
        };
        if let ValueType::Names(min) = spec.value_type
            && !(min..=MAX_NAMES).contains(&items.len())
        {
            let message = format!("{name} has {} names", items.len());
            self.sink
                .report(&value.span(), message, format!("write {}", spec.value_type));
        }
        let mut names: Vec<Field<SmolStr>> = Vec::with_capacity(items.len());
        let mut seen = std::collections::HashSet::new();
        for item in items.iter().take(MAX_NAMES) {
            let DeValue::String(text) = item.get_ref() else {
                self.wrong_type::<()>(spec, item);
                continue;
            };
            let field = Field {
                value: SmolStr::new(text),
                span: item.span(),
            };
            if !check_name(self.sink, &field) {
                continue;
            }
            if !seen.insert(field.value.clone()) {
                let message = format!("{name} names {:?} twice", field.value.as_str());
                self.sink
                    .report(&field.span, message, "remove the repetition");
                continue;
            }
            names.push(field);
        }
        Some(names)
    }

    pub(crate) fn table(&mut self, name: &'static str) -> Option<TableField<'r, 'i>> {
        let (spec, value) = self.value(name)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(Field {
                value: table,
                span: value.span(),
            }),
            _ => self.wrong_type(spec, value),
        }
    }

    /// Returns the tables of an array; reports other elements and an array that is too long.
    pub(crate) fn tables(&mut self, name: &'static str) -> Vec<TableField<'r, 'i>> {
        let Some((spec, value)) = self.value(name) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong_type::<()>(spec, value);
            return Vec::new();
        };
        let ValueType::Tables(max) = spec.value_type else {
            return Vec::new();
        };
        if items.len() > max {
            let message = format!("there are {} tables {name}", items.len());
            self.sink
                .report(&value.span(), message, format!("write {}", spec.value_type));
        }
        let mut tables = Vec::with_capacity(items.len().min(max));
        for item in items.iter().take(max) {
            match item.get_ref() {
                DeValue::Table(table) => tables.push(Field {
                    value: table,
                    span: item.span(),
                }),
                _ => drop(self.wrong_type::<()>(spec, item)),
            }
        }
        tables
    }

    fn spec(&self, name: &str) -> Option<&'static KeySpec> {
        let spec = self.specs.iter().find(|spec| spec.name == name);
        debug_assert!(spec.is_some(), "{name} is not a key of {}", self.title);
        spec
    }

    fn value(&self, name: &str) -> Option<(&'static KeySpec, &'r Spanned<DeValue<'i>>)> {
        Some((self.spec(name)?, self.table.get(name)?))
    }

    /// Reports a value of the wrong type.
    fn wrong_type<T>(&mut self, spec: &KeySpec, value: &Spanned<DeValue<'i>>) -> Option<T> {
        let found = value.get_ref().type_str();
        let message = format!("{} has a value of the wrong type: {found}", spec.name);
        self.sink
            .report(&value.span(), message, format!("write {}", spec.value_type));
        None
    }

    /// Reports a number outside the bounds of its key; `text` is the number as written.
    fn out_of_bounds<T>(
        &mut self,
        spec: &KeySpec,
        value: &Spanned<DeValue<'i>>,
        text: &str,
    ) -> Option<T> {
        let message = format!("{} = {text} is out of bounds", spec.name);
        self.sink
            .report(&value.span(), message, format!("write {}", spec.value_type));
        None
    }
}

fn is_within(bounds: &NumberSpec, number: f64) -> bool {
    let min_satisfied = if bounds.min_permitted {
        number >= bounds.min
    } else {
        number > bounds.min
    };
    min_satisfied && number <= bounds.max
}

/// Returns whether a name is valid; reports an invalid one.
fn check_name(sink: &mut Sink<'_>, field: &Field<SmolStr>) -> bool {
    let permitted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let name = field.value.as_str();
    // Names such as `.` and `..` would be relative segments in the path of an object key, and an
    // empty name an empty segment; `all` is true for the latter too.
    let only_dots = name.chars().all(|c| c == '.');
    if !only_dots && name.len() <= MAX_NAME_CHARS && name.chars().all(permitted) {
        return true;
    }
    let message = format!("{name:?} cannot be a name");
    sink.report(&field.span, message, format!("write {}", ValueType::Name));
    false
}
