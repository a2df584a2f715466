//! Splitting of byte streams into blocks that end with a blank line.

use bamboodoor::edge::direct::event_check::InvalidEvent;
use bamboodoor::edge::direct::event_check::check_block;
use bamboodoor::edge::direct::event_check::without_comments;
use bamboodoor::edge::direct::sse::EventSplitter;
use bytes::Bytes;

#[test]
fn events_are_split_alike_wherever_the_stream_is_cut() {
    let stream = b"id: 1\ndata: x\n\n\n\nid: 2\ndata: y\ndata: z\n\nid: 3";
    let expected: [&[u8]; 3] = [b"id: 1\ndata: x\n\n", b"\n\n", b"id: 2\ndata: y\ndata: z\n\n"];
    for part_bytes in 1..=stream.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in stream.chunks(part_bytes) {
            splitter.push(part);
            while let Some(event) = splitter.next_block() {
                events.push(event);
            }
        }
        assert_eq!(events, expected, "parts of {part_bytes} bytes");
        assert_eq!(splitter.pending_bytes(), 5);
        splitter.push(b"\n\n");
        assert_eq!(splitter.next_block().as_deref(), Some(b"id: 3\n\n".as_slice()));
    }
}

/// Cases: received bytes, the sizes of the blocks that end in them and what those are, and
/// whether an event has begun after them.
macro_rules! line_ends {
    ($($name:ident: $stream:literal => $events:expr, $inside:literal;)*) => {$(
        #[test]
        fn $name() {
            let expected: &[(usize, Result<Option<u64>, InvalidEvent>)] = &$events;
            for part_bytes in 1..=$stream.len() {
                let mut splitter = EventSplitter::default();
                let mut events = Vec::new();
                for part in $stream.chunks(part_bytes) {
                    splitter.push(part);
                    while let Some(block) = splitter.next_block() {
                        events.push((block.len(), check_block(&block, &[])));
                    }
                }
                assert_eq!(events, expected, "parts of {part_bytes} bytes");
                assert_eq!(!splitter.holds_only_comments(), $inside, "parts of {part_bytes} bytes");
            }
        }
    )*};
}

line_ends! {
    events_may_end_with_crlf: b"id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n"
        => [(18, Ok(Some(1))), (18, Ok(Some(2)))], false;
    events_may_end_with_cr: b"id: 1\rdata: x\r\rid: 2\rdata: y\r\r"
        => [(15, Ok(Some(1))), (15, Ok(Some(2)))], false;
    an_event_without_its_blank_line_is_not_complete: b"id: 1\ndata: x\n\nid: 2\ndata: x\n"
        => [(15, Ok(Some(1)))], true;
    an_event_with_crlf_without_its_blank_line_is_not_complete:
        b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n" => [(18, Ok(Some(1)))], true;
    a_comment_is_no_event: b"id: 1\ndata: x\n\n: end\n" => [(15, Ok(Some(1)))], false;
    a_blank_line_is_no_event: b"id: 1\ndata: x\n\n\n" => [(15, Ok(Some(1)))], false;
    a_comment_without_its_line_end_may_be_anything: b"id: 1\ndata: x\n\n: en"
        => [(15, Ok(Some(1)))], true;
    a_field_after_a_comment_begins_an_event: b": end\ni" => [], true;
    an_event_without_data_is_none: b"id: 1\n\n" => [(7, Err(InvalidEvent::NoData))], false;
    two_events_in_one_block_are_none: b"id: 1\ndata: x\n\rid: 2\ndata: y\n\n"
        => [(30, Err(InvalidEvent::SeveralEvents))], false;
}

/// Cases: a block, and what it is. Events may have the field `version`.
macro_rules! blocks {
    ($($name:ident: $block:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(check_block($block, &["version"]), $expected);
        }
    )*};
}

blocks! {
    a_block_of_comments_and_blank_lines: b"\n: x\n:\n\n" => Ok(None);
    an_event_with_all_fields: b": x\nevent: token\nretry: 9\nid: 7\ndata: x\ndata\n\n" => Ok(Some(7));
    an_event_with_a_field_of_the_platform: b"version: 2\nid: 7\ndata: x\n\n" => Ok(Some(7));
    an_event_without_a_space_after_the_colon: b"id:7\ndata:x\n\n" => Ok(Some(7));
    an_event_with_colons_in_its_data: b"id: 7\ndata: a: b\n\n" => Ok(Some(7));
    bytes_that_are_no_text: b"id: 7\ndata: \xff\xfe\n\n" => Err(InvalidEvent::NotUtf8);
    a_nul_in_an_id: b"id: 7\0\ndata: x\n\n" => Err(InvalidEvent::InvalidId);
    an_id_with_a_sign: b"id: +7\ndata: x\n\n" => Err(InvalidEvent::InvalidId);
    an_id_with_two_spaces: b"id:  7\ndata: x\n\n" => Err(InvalidEvent::InvalidId);
    an_empty_id: b"id:\ndata: x\n\n" => Err(InvalidEvent::InvalidId);
    an_id_beyond_64_bits: b"id: 18446744073709551616\ndata: x\n\n" => Err(InvalidEvent::InvalidId);
    several_ids: b"id: 7\nid: 7\ndata: x\n\n" => Err(InvalidEvent::SeveralIds);
    no_id: b"data: x\n\n" => Err(InvalidEvent::NoId);
    a_line_that_is_no_field: b"garbage\nid: 7\ndata: x\n\n" => Err(InvalidEvent::UnknownField);
    a_field_in_capitals: b"ID: 7\ndata: x\n\n" => Err(InvalidEvent::UnknownField);
    a_head_of_a_response: b"HTTP/1.1 200 OK\r\n\r\n" => Err(InvalidEvent::UnknownField);
}

/// Cases: an event, and its lines without comments and without blank lines in front.
macro_rules! stripped {
    ($($name:ident: $event:literal => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let stripped = without_comments(Bytes::from_static($event));
            assert_eq!(stripped.as_ref(), $expected.as_slice());
        }
    )*};
}

stripped! {
    an_event_without_comments_stays: b"id: 7\ndata: :x\n\n" => b"id: 7\ndata: :x\n\n";
    a_comment_in_front_of_an_event_goes: b": x\nid: 7\ndata: x\n\n" => b"id: 7\ndata: x\n\n";
    a_comment_inside_an_event_goes: b"id: 7\n:\ndata: x\n\n" => b"id: 7\ndata: x\n\n";
    blank_lines_in_front_of_an_event_go: b"\n\nid: 7\ndata: x\n\n" => b"id: 7\ndata: x\n\n";
    comments_that_end_with_crlf_go: b"\r\n: x\r\nid: 7\r\n: y\r\ndata: x\r\n\r\n"
        => b"id: 7\r\ndata: x\r\n\r\n";
    comments_that_end_with_cr_go: b": x\rid: 7\r: y\rdata: x\r\r" => b"id: 7\rdata: x\r\r";
}
