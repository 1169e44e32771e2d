//! Fuzz tests: any input bytes give a value or a list of faults, never a panic.

use bytes::Bytes;
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use toucanturn_core::{
    config::{
        Config,
        document,
        fault::MAX_FAULTS,
        store::Store, //
    },
    peer::{
        Change,
        Entry, //
    },
    settings::Settings,
    units::Revision, //
};

const FILES: [&str; 4] = [
    include_str!("../../../examples/vitalbox.json"),
    include_str!("../../../examples/terenni.json"),
    include_str!("../../../examples/vitalbox.settings.json"),
    include_str!("../../../examples/terenni.settings.json"),
];

/// Texts that replace a part of a valid file.
const REPLACEMENTS: [&str; 16] = [
    "null",
    "-1",
    "1e308",
    "18446744073709551616",
    "\"\"",
    "\"\\ud800\"",
    "[]",
    "{}",
    "[[[[",
    "}",
    "\"/\"",
    "\"::1\"",
    "true",
    "\u{0}",
    "é",
    ",,",
];

/// `Replacement` is a start in a file, the number of bytes removed there, and a number that picks
/// the text of [`REPLACEMENTS`] to insert.
type Replacement = (prop::sample::Index, usize, usize);

fn replace_parts(file: &str, replacements: &[Replacement]) -> Vec<u8> {
    let mut out = file.as_bytes().to_vec();
    for (at, len, pick) in replacements {
        let start = at.index(out.len() + 1);
        let end = out.len().min(start + len);
        out.splice(start..end, REPLACEMENTS[pick % REPLACEMENTS.len()].bytes());
    }
    out
}

/// Parses bytes as configuration, as settings and as a document to split. Returns whether each
/// refusal has a bounded number of faults and every valid configuration splits, and whether the
/// configuration is valid.
fn parse(bytes: &[u8]) -> (bool, bool) {
    let bounded = |n: usize| (1..=MAX_FAULTS + 2).contains(&n);
    let config = Config::try_from(bytes).map_err(|f| f.len());
    let settings = Settings::try_from(bytes).map_err(|f| f.len());
    let split = document::split(bytes).map_err(|f| f.len());
    let consistent = config.as_ref().err().is_none_or(|n| bounded(*n))
        && settings.as_ref().err().is_none_or(|n| bounded(*n))
        && split.is_err() <= config.is_err();
    (consistent, config.is_ok())
}

fn any_entry() -> impl Strategy<Value = Entry> {
    let key = prop_oneof![
        Just("policy".to_owned()),
        Just("fleet".to_owned()),
        "(models|services|endpoints|workspaces|x)/[a-z.]{0,3}",
        ".{0,8}",
    ];
    let value = prop_oneof![
        Just(Vec::new()),
        prop::collection::vec(any::<u8>(), 0..40),
        (0..FILES.len(), any::<prop::sample::Index>()).prop_map(|(file, at)| {
            let document: serde_json::Value = serde_json::from_str(FILES[file]).unwrap_or_default();
            let parts = document.as_object().map(|o| o.values().collect::<Vec<_>>());
            let parts = parts.unwrap_or_default();
            parts[at.index(parts.len())].to_string().into_bytes()
        }),
    ];
    (key, prop::option::of(value), 0..6_u64).prop_map(|(key, value, revision)| Entry {
        key: key.into(),
        revision: Revision(revision),
        value: value.map(Bytes::from),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0x746f_7563),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a decoder that trusts its input, so that one malformed file or publish crashes
    // every process that reads it.
    #[test]
    fn verify_any_bytes_give_a_value_or_faults(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(parse(&bytes).0);
    }

    // Guards against the same failure for input that passes the first layers of decoding: parts of
    // a valid file are replaced.
    #[test]
    fn verify_a_damaged_file_gives_a_value_or_faults(
        file in 0..FILES.len(),
        replacements in prop::collection::vec((any::<prop::sample::Index>(), 0..30_usize, any::<usize>()), 1..4),
    ) {
        prop_assert!(parse(&replace_parts(FILES[file], &replacements)).0);
    }

    // Guards against a merge that trusts its input, so that one malformed answer of the
    // configuration service crashes a router or puts an older revision in force.
    #[test]
    fn verify_arbitrary_changes_cause_no_panic_and_never_go_back(
        changes in prop::collection::vec(
            (0..6_u64, 0..8_u64, prop::collection::vec(any_entry(), 0..6)), 1..8),
    ) {
        let mut store = Store::default();
        for (since, revision, entries) in changes {
            let before = (store.current().revision, store.held());
            let (since, revision) = (Revision(since), Revision(revision));
            let change = Change { since, revision, floor: None, entries };
            let _ = store.apply(&change);
            prop_assert!(store.current().revision >= before.0 && store.held() >= before.1);
            prop_assert!(store.current().revision <= store.held());
            prop_assert!(!store.after(since).is_empty());
        }
    }
}
