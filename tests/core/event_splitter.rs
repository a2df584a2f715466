//! Splitting of byte streams into server-sent events.

use bamboodoor::edge::direct::sse::EventSplitter;

#[test]
fn events_are_split_alike_wherever_the_stream_is_cut() {
    let stream = b"id: 1\ndata: x\n\n\n\nid: 2\ndata: y\ndata: z\n\nid: 3";
    let expected: [(&[u8], Option<u64>); 3] = [
        (b"id: 1\ndata: x\n\n", Some(1)),
        (b"\n\n", None),
        (b"id: 2\ndata: y\ndata: z\n\n", Some(2)),
    ];
    for part_bytes in 1..=stream.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in stream.chunks(part_bytes) {
            splitter.push(part);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let events: Vec<(&[u8], Option<u64>)> =
            events.iter().map(|event| (event.bytes.as_ref(), event.id)).collect();
        assert_eq!(events, expected, "parts of {part_bytes} bytes");
        assert_eq!(splitter.pending_bytes(), 5);
        assert_eq!(splitter.take_incomplete().as_ref(), b"id: 3");
        splitter.push(b"\n\n");
        assert_eq!(splitter.next_event().map(|event| event.bytes.len()), Some(2));
    }
}

/// Cases: received bytes, and the sizes and ids of the events that end in them.
macro_rules! line_ends {
    ($($name:ident: $stream:literal => $events:expr, $inside:literal;)*) => {$(
        #[test]
        fn $name() {
            let expected: &[(usize, Option<u64>)] = &$events;
            for part_bytes in 1..=$stream.len() {
                let mut splitter = EventSplitter::default();
                let mut events = Vec::new();
                for part in $stream.chunks(part_bytes) {
                    splitter.push(part);
                    while let Some(event) = splitter.next_event() {
                        events.push((event.bytes.len(), event.id));
                    }
                }
                assert_eq!(events, expected, "parts of {part_bytes} bytes");
                assert_eq!(splitter.is_inside_event(), $inside, "parts of {part_bytes} bytes");
            }
        }
    )*};
}

line_ends! {
    events_may_end_with_crlf: b"id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n"
        => [(18, Some(1)), (9, Some(2))], false;
    events_may_end_with_cr: b"id: 1\rdata: x\r\rid: 2\r\r" => [(15, Some(1)), (7, Some(2))], false;
    an_event_without_its_blank_line_is_not_complete: b"id: 1\n\nid: 2\ndata: x\n"
        => [(7, Some(1))], true;
    an_event_with_crlf_without_its_blank_line_is_not_complete: b"id: 1\r\n\r\nid: 2\r\n"
        => [(9, Some(1))], true;
    a_comment_is_no_event: b"id: 1\n\n: end\n" => [(7, Some(1))], false;
    a_blank_line_is_no_event: b"id: 1\n\n\n" => [(7, Some(1))], false;
    a_field_after_a_comment_begins_an_event: b": end\ni" => [], true;
}
