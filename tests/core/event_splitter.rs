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
