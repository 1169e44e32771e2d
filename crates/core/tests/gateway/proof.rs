//! Tests of the age of a router's copy of the registry.

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::{
    ProptestConfig,
    prop,
    prop_assert,
    proptest, //
};
use toucanturn_core::{
    gateway::{
        Change,
        catalog::Catalog,
        proof::FreshnessProof, //
    },
    units::{
        Millis,
        Time, //
    },
};

use crate::fixture::{
    KEY,
    bounds,
    gateway,
    raw_catalog,
    request, //
};

/// `Document` is a published configuration, which takes the keys of all others away.
#[derive(Clone, Copy, Debug)]
enum Document {
    Higher,
    Lower,
    SameVersion,
    Unreadable,
}

const DOCUMENTS: [Document; 4] = [
    Document::Higher,
    Document::Lower,
    Document::SameVersion,
    Document::Unreadable,
];

/// Times between changes, and from the sending of a read to its answer.
const MAX_GAP_MS: u64 = 3000;
const MAX_READ_MS: u64 = 6000;
const END_MS: u64 = 20_000;

fn key_of(index: usize) -> Bytes {
    match index {
        0 => Bytes::from(KEY),
        _ => Bytes::from(format!("k{index}")),
    }
}

/// Makes the change that a document brings, with its one key.
fn change_of(index: usize, document: Document, version: u64) -> Change {
    if matches!(document, Document::Unreadable) {
        return Change::UnreadableCatalog;
    }
    let mut raw = raw_catalog(version);
    // The first document has another secret.
    raw.secret = [100 + u8::try_from(index).expect("few documents"); 32];
    let workspaces = raw.workspaces.iter_mut().flatten();
    workspaces.for_each(|(_, keys)| *keys = vec![key_of(index)]);
    let catalog = Catalog::try_from(raw).expect("the configuration is valid");
    Change::Catalog(Box::new(catalog))
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// Guards against a key that opens requests after its bound: whatever documents follow each other, and however long
    /// reads take or overtake each other, none proves a document that was replaced.
    #[test]
    fn verify_no_key_opens_requests_after_its_bound(
        published in prop::collection::vec((1..MAX_GAP_MS, 0..DOCUMENTS.len()), 1..10),
        reads in prop::collection::vec((0..END_MS, 0..MAX_READ_MS, 0..=100_u64), 1..80),
    ) {
        let keys = bounds().keys;
        let mut version = 1;
        let mut changes = vec![(Time(0), Document::Higher, 1)];
        for (gap, kind) in published {
            let document = DOCUMENTS[kind];
            let stated = match document {
                Document::Higher => {
                    version += 2;
                    version
                }
                Document::Lower => version - 1,
                Document::SameVersion | Document::Unreadable => version,
            };
            let at = changes.last().map_or(Time(0), |(at, ..)| *at) + Millis(gap);
            changes.push((at, document, stated));
        }
        // A read returns the newest state of a moment between its sending and its answer.
        let read = |(sent, took, part): (u64, u64, u64)| (sent + took, sent, sent + took * part / 100);
        let mut reads: Vec<_> = reads.into_iter().map(read).collect();
        reads.sort_unstable();
        let mut reads = reads.into_iter().peekable();
        let mut gateway = gateway(1);
        let mut held = 0;
        for now in (0..END_MS + MAX_READ_MS).step_by(25) {
            while let Some((answered, sent, point)) = reads.next_if(|(answered, ..)| *answered <= now) {
                let newest = changes.iter().rposition(|(at, ..)| *at <= Time(point)).unwrap_or(0);
                if newest < held {
                    continue;
                }
                gateway.record_registry_read(Time(answered), Time(sent));
                let (_, document, version) = changes[newest];
                let change = (newest > held).then(|| change_of(newest, document, version));
                gateway.apply_changes(Time(answered), change.into_iter().collect());
                held = newest;
            }
            for (index, next) in changes.iter().skip(1).map(|(at, ..)| *at).enumerate() {
                let mut request = request("/read/x");
                request.key = Some(key_of(index));
                let opens = gateway.admit(Time(now), &request).is_ok();
                prop_assert!(!opens || Time(now) < next + keys, "key {index} at {now}, taken away at {next:?}");
            }
        }
    }
}

#[gtest]
fn verify_any_age_limit_is_exceeded_before_the_first_read() {
    expect_false!(FreshnessProof::default().holds(Time(0), Millis(u64::MAX)));
}

#[gtest]
fn verify_age_counts_from_the_sending_of_the_newest_read() {
    let mut proof = FreshnessProof::default();
    proof.renew(Time(1000));
    // The answer to an older read doesn't reset the age.
    proof.renew(Time(400));
    expect_that!(proof.age(Time(1500)), some(eq(Millis(500))));
    expect_true!(proof.holds(Time(5999), Millis(5000)));
    expect_false!(proof.holds(Time(6000), Millis(5000)));
}

/// Guards against a replaced configuration that reads prove anew: a read that brings one that can't be read shows that
/// the one held may have been replaced since the read before.
#[gtest]
fn verify_no_read_proves_a_configuration_after_one_that_cannot_be_read() {
    let bounds = bounds();
    let mut proof = FreshnessProof::default();
    proof.renew(Time(1000));
    proof.renew(Time(2000));
    proof.record_unreadable_configuration();
    let last = Time(1000) + bounds.routes;
    for sent in (2000..12_000).step_by(500).map(Time) {
        proof.renew(sent);
        proof.record_unreadable_configuration();
        expect_that!(
            proof.covers_routes(sent, &bounds),
            eq(sent < last),
            "{sent:?}"
        );
        expect_that!(proof.read(), some(eq(sent)));
    }
    proof.renew(Time(12_000));
    proof.record_readable_configuration();
    expect_true!(proof.covers_routes(Time(12_000), &bounds));
    let last = Time(12_000) + bounds.keys;
    expect_true!(proof.covers_routes(last - Millis(1), &bounds));
    expect_false!(proof.covers_routes(last, &bounds));
}
