//! Which beginnings of bodies are those of messages whose framing was lost.

use googletest::prelude::*;
use toucanturn_answer::beginning::Beginning;

/// Guards against chunks, or a part of the head, that a caller gets as the body.
#[gtest]
fn verify_lost_framing_is_found_at_the_beginning_of_a_body() {
    let spoilt: [&[u8]; 12] = [
        b"5\r\nhello\r\n0\r\n\r\n",
        b"5\r\nhello\r\n",
        b"005;a=\"b\" ; c\r\nhello\r\n0\r\n\r\n",
        b"F \r\nid: 1\ndata: x\n\n\r\n",
        // Broken off.
        b"f\r\nid: 1\n",
        b"ffffffffffffffff\r\nx",
        b"0\r\n\r\n",
        b"Content-Length: 5\r\n\r\nhello",
        b"content-length:5\n\nhello",
        b"Date: x\r\nX-Other:\r\nTRANSFER-ENCODING: chunked\r\n\r\n5\r\nhello\r\n",
        b"Date: x\r\nTransfer-Encoding:\r\n",
        b"Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
    ];
    for bytes in spoilt {
        let text = bytes.escape_ascii();
        expect_that!(
            Beginning::new(bytes, true),
            eq(Beginning::Framing),
            "{text}"
        );
        // However it is cut into pieces, no piece before is content.
        for end in 0..bytes.len() {
            let judged = Beginning::new(&bytes[..end], false);
            expect_that!(judged, not(eq(Beginning::Content)), "{end} of {text}");
        }
    }
}

/// Guards against refusing bodies that are whole.
#[gtest]
fn verify_other_beginnings_are_content() {
    let sound: [&[u8]; 16] = [
        b"",
        b"done",
        b"{\"a\": 1}",
        b"5",
        b"5\nhello\n",
        b"15\r\nis no chunk of 21 bytes, as more follows\r\n",
        b"5\r\nhello, and more\r\n",
        b"face to face\r\n",
        b"x5\r\nhello\r\n",
        b"12345678901234567\r\n",
        b"id: 1\ndata: x\n\n",
        b"id: 1\r\ndata: Content-Length: 5\r\n\r\n",
        b"data: x\n\nContent-Length: 5\n\n",
        b": comment\nContent-Length: 5\n\n",
        b"Title: x\nno field\nContent-Length: 5\n",
        b"\r\nContent-Length: 5\r\n",
    ];
    for bytes in sound {
        let text = bytes.escape_ascii();
        expect_that!(
            Beginning::new(bytes, true),
            eq(Beginning::Content),
            "{text}"
        );
        for end in 0..bytes.len() {
            let judged = Beginning::new(&bytes[..end], false);
            expect_that!(judged, not(eq(Beginning::Framing)), "{end} of {text}");
        }
    }
}

/// Guards against an event that waits for the next one.
#[gtest]
fn verify_a_beginning_is_decided_with_its_first_event() {
    for bytes in [
        b"id: 1\ndata: x\n\n".as_slice(),
        b"data: x\r\n\r\n",
        b": x\n",
    ] {
        expect_that!(Beginning::new(bytes, false), eq(Beginning::Content));
    }
    expect_that!(Beginning::new(b"{", false), eq(Beginning::Content));
}

/// Guards against a body that is held back without a bound.
#[gtest]
fn verify_a_beginning_is_decided_within_its_bound() {
    let long_line = vec![b'a'; 9 << 10];
    expect_that!(Beginning::new(&long_line, false), eq(Beginning::Content));
    let fields = b"a: b\n".repeat(2 << 10);
    expect_that!(Beginning::new(&fields, false), eq(Beginning::Content));
    let large_chunk = b"10001\r\n";
    expect_that!(Beginning::new(large_chunk, false), eq(Beginning::Framing));
}
