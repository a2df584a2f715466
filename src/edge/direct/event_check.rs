//! Tells the events of a run from everything else that a stream can contain.

use std::str::from_utf8;

use bytes::Bytes;

/// Fields of server-sent events.
const ID_FIELD: &str = "id";
const DATA_FIELD: &str = "data";
const OTHER_FIELDS: [&str; 2] = ["event", "retry"];
const COMMENT_START: char = ':';
/// Bytes that end a line; a CR and an LF end one together.
pub(super) const LINE_ENDS: [u8; 2] = [b'\n', b'\r'];

/// Why a block of a stream, which ends with a blank line, is no event of its run; logged and
/// counted under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum InvalidEvent {
    /// The block is not UTF-8 text.
    NotUtf8,
    /// A line is neither a comment nor a field that events have.
    UnknownField,
    /// A blank line is inside the block, so that readers take it for several events.
    SeveralEvents,
    /// The block has fields, but no id.
    NoId,
    /// The id is no number.
    InvalidId,
    /// The block has several ids.
    SeveralIds,
    /// The block has an id, but no data.
    NoData,
    /// The id is not higher than that of the event before it.
    IdNotIncreasing,
    /// Events are missing between the one before the block and its id.
    IdSkipped,
    /// The block has no end within the largest size of an event.
    TooLarge,
}

/// Returns the id of an event, or `None` for a block of comments and blank lines. Events may have
/// the fields of server-sent events and those in `extension_fields`.
///
/// # Errors
/// If the block is neither.
pub fn check_block(block: &[u8], extension_fields: &[&str]) -> Result<Option<u64>, InvalidEvent> {
    let text = from_utf8(block).map_err(|_| InvalidEvent::NotUtf8)?;
    let mut id = None;
    let (mut has_fields, mut has_data, mut has_ended) = (false, false, false);
    for line in lines(text) {
        has_ended |= line.is_empty() && has_fields;
        if line.is_empty() || line.starts_with(COMMENT_START) {
            continue;
        }
        if has_ended {
            return Err(InvalidEvent::SeveralEvents);
        }
        has_fields = true;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        match field {
            ID_FIELD if id.is_some() => return Err(InvalidEvent::SeveralIds),
            ID_FIELD => id = Some(parse_id(value)?),
            DATA_FIELD => has_data = true,
            _ if OTHER_FIELDS.contains(&field) || extension_fields.contains(&field) => {}
            _ => return Err(InvalidEvent::UnknownField),
        }
    }
    match id {
        None if has_fields => Err(InvalidEvent::NoId),
        Some(_) if !has_data => Err(InvalidEvent::NoData),
        id => Ok(id),
    }
}

/// Returns the lines, which end with LF, CR, or both.
fn lines(text: &str) -> impl Iterator<Item = &str> {
    text.split('\n').flat_map(|line| line.strip_suffix('\r').unwrap_or(line).split('\r'))
}

fn parse_id(value: &str) -> Result<u64, InvalidEvent> {
    let digits = value.strip_prefix(' ').unwrap_or(value);
    // `parse` also takes a sign.
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidEvent::InvalidId);
    }
    digits.parse().map_err(|_| InvalidEvent::InvalidId)
}

/// Returns an event without comments and without blank lines in front of it.
pub fn without_comments(event: Bytes) -> Bytes {
    let starts_line = |index: usize| index == 0 || LINE_ENDS.contains(&event[index - 1]);
    let has_comment =
        (0..event.len()).any(|index| event[index] == COMMENT_START as u8 && starts_line(index));
    if !has_comment && !LINE_ENDS.contains(&event[0]) {
        return event;
    }
    let mut kept = Vec::with_capacity(event.len());
    let mut after_dropped_cr = false;
    for line in event.split_inclusive(|byte| LINE_ENDS.contains(byte)) {
        let is_rest_of_crlf = after_dropped_cr && line == b"\n";
        let is_dropped = is_rest_of_crlf
            || line[0] == COMMENT_START as u8
            || (LINE_ENDS.contains(&line[0]) && kept.is_empty());
        after_dropped_cr = is_dropped && line.ends_with(b"\r");
        if !is_dropped {
            kept.extend_from_slice(line);
        }
    }
    kept.into()
}
