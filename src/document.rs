//! Parses JSON with comments into a typed value and reports all errors at once, each
//! with line, column and field.

use compact_str::CompactString;
use compact_str::ToCompactString;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Finding;

/// Parsing stops after this many errors.
const MAX_FINDINGS: usize = 50;

/// Parses `text` as JSON with comments and trailing commas.
///
/// # Errors
/// Returns the first syntax error, or else every unknown field and every value of a wrong
/// type, up to 50, each with line, column and field.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Vec<Finding>> {
    let mut value = parse_value(text)?;
    let mut findings = Vec::new();
    loop {
        match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(parsed) if findings.is_empty() => return Ok(parsed),
            Ok(_) => return Err(findings),
            Err(error) => {
                let message = error.inner().to_string();
                let path = field_path(&error.path().to_string(), &message);
                findings.push(locate(text, &path, message));
                let removed = remove_field(&mut value, &path);
                if !removed || findings.len() == MAX_FINDINGS {
                    return Err(findings);
                }
            }
        }
    }
}

/// Creates a finding with `message` for the field at `path`, and with the line and
/// column of that field in `text`, or of its nearest parent there.
pub fn locate(text: &str, path: &str, message: String) -> Finding {
    let offset = offset_of(text, path).unwrap_or(0);
    let (line, column) = line_and_column(text, offset);
    Finding { line, column, field: path.to_compact_string(), message }
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
        ..ParseOptions::default()
    }
}

fn parse_value(text: &str) -> Result<Value, Vec<Finding>> {
    jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &options())
        .map(|value| value.unwrap_or(Value::Null))
        .map_err(|error| {
            vec![Finding {
                line: error.line_display(),
                column: error.column_display(),
                field: CompactString::const_new("."),
                message: format!("invalid JSON: {}", error.kind()),
            }]
        })
}

/// Returns the path of the field that a serde error is about. serde may name an unknown
/// field only in the message; its name is then appended to the path of its parent.
fn field_path(path: &str, message: &str) -> String {
    let Some(rest) = message.strip_prefix("unknown field `") else {
        return path.to_string();
    };
    let name = rest.split('`').next().unwrap_or_default();
    let base =
        if path == "." || path.ends_with('?') { path.trim_end_matches(['.', '?']) } else { path };
    match base {
        "" => name.to_string(),
        base if base.ends_with(&format!(".{name}")) || base == name => base.to_string(),
        base => format!("{base}.{name}"),
    }
}

enum PathSegment {
    Key(String),
    Index(usize),
}

fn path_segments(path: &str) -> Vec<PathSegment> {
    path.split(['.', '[', ']'])
        .filter(|part| !part.is_empty() && *part != "?")
        .map(|part| {
            part.parse()
                .map(PathSegment::Index)
                .unwrap_or_else(|_| PathSegment::Key(part.to_string()))
        })
        .collect()
}

fn remove_field(value: &mut Value, path: &str) -> bool {
    let mut segments = path_segments(path);
    let Some(last) = segments.pop() else { return false };
    let mut parent = value;
    for segment in segments {
        let next = match segment {
            PathSegment::Key(key) => parent.get_mut(key),
            PathSegment::Index(index) => parent.get_mut(index),
        };
        let Some(next) = next else { return false };
        parent = next;
    }
    match (last, parent) {
        (PathSegment::Key(key), Value::Object(fields)) => fields.remove(&key).is_some(),
        (PathSegment::Index(index), Value::Array(elements)) if index < elements.len() => {
            elements.remove(index);
            true
        }
        _ => false,
    }
}

fn offset_of(text: &str, path: &str) -> Option<usize> {
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options()).ok()?;
    let root = parsed.value?;
    let mut node = &root;
    let mut offset = node.range().start;
    for segment in path_segments(path) {
        let next = match (&segment, node) {
            (PathSegment::Key(key), ast::Value::Object(object)) => {
                object.get(key).map(|property| (property.range.start, &property.value))
            }
            (PathSegment::Index(index), ast::Value::Array(array)) => {
                array.elements.get(*index).map(|element| (element.range().start, element))
            }
            _ => None,
        };
        let Some((start, value)) = next else { break };
        offset = start;
        node = value;
    }
    Some(offset)
}

fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}
