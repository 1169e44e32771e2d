//! Which heads are those of answers, and what marks the end of their bodies.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use googletest::prelude::*;
use http::{
    Method,
    Response,
    Version, //
};
use toucanturn_answer::{
    Fault,
    Framing,
    Head, //
};

/// Gets the framing of an answer with these fields to a request with this method.
fn framing(
    (method, status, version): (&Method, u16, Version),
    fields: &[(&str, &str)],
) -> std::result::Result<Framing, Fault> {
    let mut response = Response::builder().status(status).version(version);
    for (name, value) in fields {
        response = response.header(*name, *value);
    }
    let (head, ()) = response.body(()).expect("a response").into_parts();
    let head = Head::new(method, &head);
    Framing::try_from(head)
}

const GET: (&Method, u16, Version) = (&Method::GET, 200, Version::HTTP_11);
const LENGTH: (&str, &str) = ("content-length", "5");
const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");

#[gtest]
fn verify_the_framing_is_what_the_head_says() {
    expect_that!(framing(GET, &[LENGTH]), ok(eq(Framing::Length)));
    expect_that!(framing(GET, &[CHUNKED]), ok(eq(Framing::Chunked)));
    let closes = ("connection", "close");
    expect_that!(framing(GET, &[closes]), ok(eq(Framing::Close)));
    expect_that!(framing(GET, &[closes, CHUNKED]), ok(eq(Framing::Chunked)));
}

#[gtest]
fn verify_an_answer_without_a_body_needs_no_framing() {
    for (method, status) in [
        (&Method::HEAD, 200),
        (&Method::GET, 204),
        (&Method::GET, 304),
    ] {
        let to = (method, status, Version::HTTP_11);
        expect_that!(framing(to, &[]), ok(eq(Framing::Length)));
    }
    // What the body would have, to another method or with another status.
    let head = (&Method::HEAD, 200, Version::HTTP_11);
    expect_that!(framing(head, &[LENGTH]), ok(eq(Framing::Length)));
    expect_that!(framing(head, &[CHUNKED]), ok(eq(Framing::Length)));
}

/// Guards against a body that is still encoded, or in part.
#[gtest]
fn verify_a_transfer_coding_is_chunked_alone() {
    let codings = [
        "",
        "xhunked",
        "chunked,",
        ",chunked",
        "chunked, chunked",
        "gzip, chunked",
        "chunked, gzip",
        "identity",
        "chunked;a=b",
    ];
    for coding in codings {
        let field = ("transfer-encoding", coding);
        expect_that!(
            framing(GET, &[field]),
            err(eq(Fault::TransferCoding)),
            "{coding}"
        );
    }
    expect_that!(
        framing(GET, &[CHUNKED, CHUNKED]),
        err(eq(Fault::TransferCoding))
    );
    expect_that!(
        framing(GET, &[("transfer-encoding", "CHUNKED")]),
        ok(eq(Framing::Chunked))
    );
}

/// Guards against a request without a final answer.
#[gtest]
fn verify_an_interim_answer_is_not_final() {
    for status in [100, 101, 103, 199] {
        let to = (&Method::GET, status, Version::HTTP_11);
        expect_that!(
            framing(to, &[LENGTH]),
            err(matches_pattern!(Fault::Interim { .. }))
        );
    }
}

#[gtest]
fn verify_a_status_is_of_a_class() {
    for status in [200, 299, 599] {
        let to = (&Method::GET, status, Version::HTTP_11);
        expect_that!(framing(to, &[LENGTH]), ok(eq(Framing::Length)), "{status}");
    }
    for status in [600, 999] {
        let to = (&Method::GET, status, Version::HTTP_11);
        expect_that!(
            framing(to, &[LENGTH]),
            err(matches_pattern!(Fault::Status { .. }))
        );
    }
}

/// Guards against a body whose length was lost, and that ends where the connection happens to end.
#[gtest]
fn verify_a_body_ends_with_its_connection_only_if_the_head_says_so() {
    let http_10 = (&Method::GET, 200, Version::HTTP_10);
    for (to, connection, sound) in [
        (GET, "", false),
        (GET, "keep-alive", false),
        (GET, "closed", false),
        (GET, "Close", true),
        (GET, "keep-alive , close", true),
        (http_10, "", true),
        (http_10, "close", true),
        (http_10, "Keep-Alive", false),
        (http_10, "keep-alive, close", true),
    ] {
        let expected = match sound {
            true => Ok(Framing::Close),
            false => Err(Fault::Unframed),
        };
        let found = framing(to, &[("connection", connection)]);
        expect_that!(found, eq(expected), "{connection}");
    }
    let fields = [("connection", "x"), ("connection", "close")];
    expect_that!(framing(GET, &fields), ok(eq(Framing::Close)));
}

/// Guards against refusing answers that end with their connection and don't announce that, and against accepting others.
#[gtest]
fn verify_the_end_of_a_connection_need_not_be_announced() {
    let unannounced = |to, fields: &[(&str, &str)]| {
        let (method, status, version) = to;
        let mut response = Response::builder().status(status).version(version);
        for (name, value) in fields {
            response = response.header(*name, *value);
        }
        let (head, ()) = response.body(()).expect("a response").into_parts();
        Framing::with_unannounced_end(Head::new(method, &head))
    };
    for fields in [&[][..], &[("connection", "closed")], &[("x-other", "1")]] {
        expect_that!(unannounced(GET, fields), ok(eq(Framing::Unannounced)));
    }
    let http_10 = (&Method::GET, 200, Version::HTTP_10);
    let keeps = ("connection", "x, Keep-Alive");
    for (to, fields) in [
        (GET, &[keeps][..]),
        (GET, &[("keep-alive", "timeout=5")]),
        (http_10, &[keeps]),
    ] {
        expect_that!(unannounced(to, fields), err(eq(Fault::Unframed)));
    }
    // What marks or announces the end goes first, and other faults stay.
    expect_that!(unannounced(GET, &[LENGTH]), ok(eq(Framing::Length)));
    expect_that!(unannounced(GET, &[CHUNKED]), ok(eq(Framing::Chunked)));
    expect_that!(unannounced(http_10, &[]), ok(eq(Framing::Close)));
    let both = unannounced(GET, &[LENGTH, CHUNKED]);
    expect_that!(both, err(eq(Fault::TwoFramings)));
    let without_body = (&Method::GET, 204, Version::HTTP_11);
    expect_that!(unannounced(without_body, &[]), ok(eq(Framing::Length)));
}

/// Guards against a length that each reader takes for another number.
#[gtest]
fn verify_a_length_is_one_number() {
    for length in ["5", "005", "5,5", "5, 05 ,5"] {
        let field = ("content-length", length);
        expect_that!(framing(GET, &[field]), ok(eq(Framing::Length)), "{length}");
        expect_that!(framing(GET, &[field, LENGTH]), ok(eq(Framing::Length)));
    }
    for length in [
        "",
        "x",
        "+5",
        "-5",
        "0x5",
        "5 5",
        "5,6",
        "5,",
        "18446744073709551616",
    ] {
        let field = ("content-length", length);
        // No library looks at it where there is no body.
        for (method, status) in [
            (&Method::GET, 200),
            (&Method::HEAD, 200),
            (&Method::GET, 304),
        ] {
            let to = (method, status, Version::HTTP_11);
            expect_that!(framing(to, &[field]), err(eq(Fault::Length)), "{length}");
        }
    }
    let other = ("content-length", "6");
    expect_that!(framing(GET, &[LENGTH, other]), err(eq(Fault::Length)));
}

/// Guards against a length towards the caller that is not that of the body, and against the loss of one without a body.
#[gtest]
fn verify_only_an_answer_without_a_body_states_its_length_itself() {
    for (method, status, expected) in [
        (Method::GET, 200, None),
        (Method::GET, 204, None),
        (Method::GET, 304, Some(5)),
        (Method::HEAD, 200, Some(5)),
    ] {
        let response = Response::builder()
            .status(status)
            .header("content-length", "5, 5");
        let (head, ()) = response.body(()).expect("a response").into_parts();
        let found = Head::new(&method, &head).length_without_body();
        expect_that!(found, eq(expected), "{method} {status}");
    }
}

/// Guards against a success without the body that was announced.
#[gtest]
fn verify_an_answer_without_content_announces_none() {
    let to = (&Method::GET, 204, Version::HTTP_11);
    expect_that!(
        framing(to, &[("content-length", "0")]),
        ok(eq(Framing::Length))
    );
    expect_that!(framing(to, &[LENGTH]), err(eq(Fault::NoContent)));
    expect_that!(framing(to, &[CHUNKED]), err(eq(Fault::NoContent)));
}

/// Guards against a body that each reader ends elsewhere.
#[gtest]
fn verify_two_framings_are_none() {
    for method in [Method::GET, Method::HEAD] {
        let to = (&method, 200, Version::HTTP_11);
        for fields in [[LENGTH, CHUNKED], [CHUNKED, LENGTH]] {
            expect_that!(framing(to, &fields), err(eq(Fault::TwoFramings)));
        }
    }
}
