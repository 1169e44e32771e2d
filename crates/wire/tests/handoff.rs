//! What accompanies a request between routers: it comes back as it was, and anything else is refused.

use base64::{
    Engine as _,
    prelude::BASE64_URL_SAFE_NO_PAD as URL_SAFE_NO_PAD, //
};
use googletest::prelude::*;
use proptest::prelude::*;
use toucanturn_core::{
    gateway::{
        handoff::{
            Grant,
            PeerReport, //
        },
        origin::{
            Build,
            Origin, //
        },
        refusal::Cause,
    },
    ids::Tag,
    units::Millis,
};
use toucanturn_wire::handoff::{
    Handoff,
    MAX_FIELD_BYTES,
    MAX_TRIED,
    Position,
    content_hash,
    decode,
    decode_report,
    encode,
    encode_report, //
};

const SECRET: [u8; 32] = [7; 32];

fn origin() -> impl Strategy<Value = Origin> {
    prop_oneof![
        Just(Origin::New),
        any::<u32>().prop_map(|build| Origin::Build(Build(build))),
        Just(Origin::Unknown),
    ]
}

fn handoff() -> impl Strategy<Value = Handoff> {
    let grant = (
        any::<u64>(),
        any::<u64>(),
        any::<u32>(),
        any::<bool>(),
        any::<Option<u64>>(),
        origin(),
        proptest::collection::vec(any::<u32>().prop_map(Tag), 0..MAX_TRIED),
    );
    let grant = grant.prop_map(
        |(version, left, attempts, retry, resume, origin, tried)| Grant {
            version,
            time_left: Millis(left),
            attempts,
            retry,
            resume,
            origin,
            tried,
        },
    );
    let position = (any::<u64>(), any::<u64>());
    let position = position.prop_map(|(session, number)| Position { session, number });
    (position, any::<[u8; 32]>(), grant).prop_map(|(position, content, grant)| Handoff {
        position,
        content,
        grant,
    })
}

fn secret(epoch: u64) -> Option<[u8; 32]> {
    (epoch == 3).then_some(SECRET)
}

proptest! {
    #[gtest]
    fn verify_a_handoff_comes_back_as_it_was(handoff in handoff()) {
        let text = encode(&handoff, &SECRET, 3);
        prop_assert!(text.len() <= MAX_FIELD_BYTES);
        prop_assert_eq!(decode(text.as_bytes(), secret).expect("valid"), handoff);
    }

    #[gtest]
    fn verify_a_changed_handoff_is_refused(handoff in handoff(), at in any::<usize>(), by in 1..64_u8) {
        let mut text = encode(&handoff, &SECRET, 3).into_bytes();
        let at = at % text.len();
        text[at] = b'-' + (text[at].wrapping_add(by) % 64);
        let opened = decode(&text, secret);
        prop_assert!(opened.is_err() || opened.ok() == Some(handoff));
    }

    #[gtest]
    fn verify_other_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(decode(&bytes, secret).is_err());
        let _ = decode_report(&bytes);
    }

    #[gtest]
    fn verify_a_report_comes_back_as_it_was(
        tried in proptest::collection::vec(any::<u32>(), 0..MAX_TRIED),
        build in any::<Option<u32>>(),
    ) {
        let build = build.map(Build);
        use strum::IntoEnumIterator as _;
        for refused in Cause::iter().map(Some).chain([None]) {
            let report = PeerReport { tried: tried.iter().map(|t| Tag(*t)).collect(), refused, build };
            let text = encode_report(&report);
            prop_assert!(text.len() <= MAX_FIELD_BYTES);
            prop_assert_eq!(decode_report(text.as_bytes()).expect("valid"), report);
        }
    }
}

/// Guards against losing which endpoints a peer of another version has tried, because the cause of its refusal is
/// unknown.
#[gtest]
fn verify_an_unknown_cause_costs_only_itself() {
    let report = PeerReport {
        tried: vec![Tag(5), Tag(6)],
        refused: Some(Cause::Deadline),
        build: None,
    };
    let known = URL_SAFE_NO_PAD.decode(encode_report(&report));
    let mut bytes = known.expect("a report is base64url");
    let word = b"deadline";
    let at = bytes.windows(word.len()).position(|w| w == word);
    let at = at.expect("a report names its cause");
    bytes[at..at + word.len()].copy_from_slice(b"heavenly");
    let text = URL_SAFE_NO_PAD.encode(bytes);
    let expected = PeerReport {
        refused: Some(Cause::NoEndpoint),
        ..report
    };
    expect_that!(decode_report(text.as_bytes()), ok(eq(&expected)));
}

#[gtest]
fn verify_an_unknown_epoch_and_another_secret_are_refused() {
    let handoff = Handoff {
        position: Position {
            session: 1,
            number: 0,
        },
        content: [0; 32],
        grant: Grant::default(),
    };
    expect_that!(
        decode(encode(&handoff, &SECRET, 4).as_bytes(), secret),
        err(anything())
    );
    expect_that!(
        decode(encode(&handoff, &[8; 32], 3).as_bytes(), secret),
        err(anything())
    );
}

/// Guards against parts that can be moved from one field to the next without changing the hash.
#[gtest]
fn verify_the_bounds_of_parts_are_hashed() {
    expect_that!(
        content_hash(&[b"ab", b"c"]),
        not(eq(content_hash(&[b"a", b"bc"])))
    );
    expect_that!(content_hash(&[b"ab"]), not(eq(content_hash(&[b"ab", b""]))));
}
