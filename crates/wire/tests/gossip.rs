//! What gateways tell each other, as bytes.

#![expect(clippy::expect_used, reason = "a test fails by its panic")]

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::{
    ProptestConfig,

    prop_assert,
    proptest, //
};
use toucanturn_core::{
    gateway::{
        fingerprint::Fingerprint,
        mesh::{
            self,
            BackOffReport,
            Digest,
            EndpointReport,
            Heartbeat,
            MAX_BACK_OFFS,
            MAX_HEARTBEATS,
            MAX_PEER_BACK_OFF,
            MAX_REPORTS,
            MAX_SAMPLES,
            MAX_STREAM_REPORTS,
            Sample, //
        },
        mirror::{
            Delta,
            Record, //
        },
        origin::{
            Build,
            MAX_MIXED_SERVICES,
            PeerKnowledge,
            StreamKey,
            StreamReport,
            Versions, //
        },
        quarantine::{
            self,
            MAX_CRASHES_PER_REQUEST,
            MAX_DIGEST_CRASHES,
            MAX_DIGEST_RECORDS, //
        },
        shared_reads::{
            MAX_READS,
            ReadReport, //
        },
    },
    ids::Tag,
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};
use toucanturn_wire::gossip::{
    Ask,
    Copy,
    Error,
    MAX_DATAGRAM,
    Pack,
    StreamAsk,
    StreamReports,
    decode_ask,
    decode_copy,
    decode_digest,
    decode_stream_answer,
    decode_stream_ask,
    decode_stream_reports,
    encode_ask,
    encode_digest,
    encode_stream_answer,
    encode_stream_ask,
    encode_stream_reports,
    is_stream_reports,
    open,
    seal, //
};

const SECRET: [u8; 32] = [9; 32];

fn heartbeat(number: u32) -> Heartbeat {
    Heartbeat {
        address: SocketAddrV4::new(Ipv4Addr::from(0xffff_0000 + number), 65_535),
        data_center: u32::MAX,
        incarnation: Incarnation(1_900_000_000_000 + u64::from(number) * 7_200_000),
        beat: 1 << 40,
        reads: true,
    }
}

fn digest(heartbeats: usize, reports: usize) -> Digest {
    let report = |n: usize| EndpointReport {
        delay: n.is_multiple_of(3).then_some(Millis(16 * n as u64)),
        endpoint: u32::MAX - u32::try_from(n).expect("it is small"),
        load: (!n.is_multiple_of(3)).then_some(300),
        age: Millis(2000),
        confirmed: n.is_multiple_of(2),
    };
    let sample = |n: usize| Sample {
        service: 100,
        part: u32::MAX - u32::try_from(n).expect("it is small"),
        work: 10_000,
    };
    Digest {
        from: heartbeat(0),
        heartbeats: (0..heartbeats)
            .map(|n| heartbeat(u32::try_from(n).expect("it is small")))
            .collect(),
        reports: (0..reports).map(report).collect(),
        samples: (0..reports.min(MAX_SAMPLES)).map(sample).collect(),
        crashes: Vec::new(),
        back_offs: Vec::new(),
        unreached_services: Vec::new(),
        mixed_services: Vec::new(),
        versions_until: Some(Revision(u64::MAX)),
        reads: Vec::new(),
    }
}

fn reads(count: usize) -> Vec<ReadReport> {
    let report = |n| ReadReport {
        part: u32::MAX - n,
        endpoint: u32::MAX - 2 * n,
        age: Millis(9_600),
    };
    let count = u32::try_from(count).expect("it is small");
    (0..count).map(report).collect()
}

fn back_offs(count: u32) -> Vec<BackOffReport> {
    let report = |n| BackOffReport {
        endpoint: u32::MAX - n,
        left: Millis(MAX_PEER_BACK_OFF.0.next_multiple_of(16)),
    };
    (0..count).map(report).collect()
}

/// Makes the record of a request that crashed some endpoints.
fn crashes(number: u64, endpoints: usize) -> quarantine::Record {
    let ended = |n: usize| {
        let number = u32::try_from(n).expect("it is small");
        quarantine::CrashReport {
            endpoint: Tag(u32::MAX - number),
            age: Millis(1_600_000),
            ran: Millis(4000),
        }
    };
    quarantine::Record {
        request: Fingerprint {
            workspace: u32::MAX,
            content: u64::MAX - number,
        },
        is_part: number.is_multiple_of(3),
        crashes: (0..endpoints).map(ended).collect(),
        answered: number.is_multiple_of(2).then_some(Millis(160)),
    }
}

fn known(epoch: u64) -> Option<[u8; 32]> {
    (epoch == 7).then_some(SECRET)
}

#[gtest]
fn verify_messages_come_back_as_they_were() {
    let sent = Digest {
        crashes: vec![crashes(0, 0), crashes(1, 4), crashes(2, 1)],
        back_offs: back_offs(3),
        reads: reads(2),
        ..digest(5, 7)
    };
    let sealed = seal(&SECRET, 7, encode_digest(&sent));
    let (epoch, payload) = open(&sealed, known).expect("it is ours");
    expect_that!(epoch, eq(7));
    expect_that!(decode_digest(&payload).expect("it is a digest"), eq(&sent));
    let ask = Ask {
        revision: Revision(4),
        nonce: 11,
        wait: Millis(500),
        age: Millis(700),
    };
    expect_that!(
        decode_ask(&encode_ask(&ask)).expect("it is an ask"),
        eq(ask)
    );
    let record = |value: Option<&'static [u8]>| Record {
        key: Bytes::from_static(b"k"),
        value: value.map(Bytes::from_static),
        revision: Revision(3),
    };
    let copy = Copy {
        nonce: 11,
        age: Millis(20),
        waited: Millis(300),
        delta: Delta {
            revision: Revision(5),
            whole: true,
            records: vec![record(None), record(Some(b"")), record(Some(b"v"))],
        },
    };
    let pack = Pack::new(copy.delta.clone()).expect("it can be packed");
    let payload = Bytes::from(pack.encode(copy.nonce, copy.age, copy.waited));
    expect_that!(decode_copy(payload).expect("it is a copy"), eq(&copy));
}

/// An age that looked younger would let a load, or the confirmation that an endpoint stays, count for too long.
#[gtest]
fn verify_ages_are_never_told_younger() {
    for age in (0..3000).chain([59_999, 60_000]) {
        let mut sent = digest(0, 1);
        sent.reports[0].age = Millis(age);
        let told = decode_digest(&encode_digest(&sent)).expect("it is a digest");
        let told = told.reports[0].age;
        expect_that!(told, ge(Millis(age)));
        expect_that!(told, lt(Millis(age + 16)));
    }
}

/// Routers on other ports, and such as started before the sender, come back as they were.
#[gtest]
fn verify_routers_of_all_kinds_come_back_as_they_were() {
    let mut sent = digest(MAX_HEARTBEATS, 0);
    sent.heartbeats[1].address.set_port(1);
    sent.heartbeats[2].incarnation = Incarnation(0);
    sent.heartbeats[3].incarnation = Incarnation(u64::MAX);
    sent.heartbeats[4].reads = false;
    let told = decode_digest(&encode_digest(&sent)).expect("it is a digest");
    expect_that!(told, eq(&sent));
}

/// Makes the largest digests, with and without crashes and back-offs.
fn largest() -> [Digest; 5] {
    let spread = |n: usize| usize::from(n == 0) + MAX_DIGEST_CRASHES / MAX_DIGEST_RECORDS;
    let records = (0..MAX_DIGEST_RECORDS).map(|n| crashes(2 * n as u64, spread(n)));
    let crashes: Vec<quarantine::Record> = records.collect();
    let reports = MAX_REPORTS - mesh::displaced_reports(&crashes, &[]);
    let crashed = Digest {
        crashes: crashes.clone(),
        ..digest(MAX_HEARTBEATS, reports)
    };
    let back_offs = back_offs(u32::try_from(MAX_BACK_OFFS).expect("it is small"));
    let reports = MAX_REPORTS - mesh::displaced_reports(&[], &back_offs);
    let backing_off = Digest {
        back_offs: back_offs.clone(),
        ..digest(MAX_HEARTBEATS, reports)
    };
    let reports = MAX_REPORTS.saturating_sub(mesh::displaced_reports(&crashes, &back_offs));
    let both = Digest {
        crashes,
        back_offs,
        ..digest(MAX_HEARTBEATS, reports)
    };
    let reading = Digest {
        reads: reads(MAX_READS),
        ..digest(MAX_HEARTBEATS, MAX_REPORTS - MAX_READS)
    };
    [
        digest(MAX_HEARTBEATS, MAX_REPORTS),
        reading,
        crashed,
        backing_off,
        both,
    ]
}

/// The largest digest fits into one packet.
#[gtest]
fn verify_the_largest_digest_is_one_datagram() {
    for digest in largest() {
        let sealed = seal(&SECRET, 7, encode_digest(&digest));
        println!("largest digest: {} bytes", sealed.len());
        expect_that!(sealed.len(), le(MAX_DATAGRAM));
    }
}

/// Headers of IP and UDP.
const HEADERS: f64 = 28.0;
/// Datagrams that a router sends a second, as the core's tests of a fleet of 330 measure them; it hears
/// as many.
const DATAGRAMS: f64 = 20.6;

/// Sent and heard, the largest digests take no more than control may.
#[gtest]
fn verify_digests_take_less_than_24_kilobytes_a_second() {
    for digest in largest() {
        let sealed = seal(&SECRET, 7, encode_digest(&digest));
        let length = f64::from(u32::try_from(sealed.len()).expect("it is small"));
        expect_that!(2.0 * DATAGRAMS * (length + HEADERS), le(24_000.0));
    }
}

#[gtest]
fn verify_other_epochs_and_secrets_are_refused() {
    let payload = encode_digest(&digest(1, 1));
    let other = seal(&SECRET, 8, payload.clone());
    expect_that!(open(&other, known), err(pat!(Error::Epoch { .. })));
    let forged = seal(&[1; 32], 7, payload.clone());
    expect_that!(open(&forged, known), err(pat!(Error::Code { .. })));
    // The code covers the epoch: a message doesn't pass under another one.
    let sealed = seal(&SECRET, 8, payload);
    let both = |_| Some(SECRET);
    let mut moved = sealed.to_vec();
    let at = moved
        .iter()
        .position(|b| *b == 8)
        .expect("the epoch is there");
    moved[at + 1] = 7;
    expect_that!(open(&moved, both), err(anything()));
}

#[gtest]
fn verify_digests_beyond_their_bounds_are_refused() {
    let long = encode_digest(&digest(MAX_HEARTBEATS + 1, 1));
    expect_that!(decode_digest(&long), err(pat!(Error::Part { .. })));
    let wide = encode_digest(&digest(1, MAX_REPORTS + 1));
    expect_that!(decode_digest(&wide), err(pat!(Error::Part { .. })));
    let mut many = digest(1, MAX_REPORTS);
    many.samples.extend_from_within(..1);
    let many = encode_digest(&many);
    expect_that!(decode_digest(&many), err(pat!(Error::Part { .. })));
    let resting = Digest {
        back_offs: back_offs(u32::try_from(MAX_BACK_OFFS).expect("it is small") + 1),
        ..digest(1, 1)
    };
    let resting = encode_digest(&resting);
    expect_that!(decode_digest(&resting), err(pat!(Error::Part { .. })));
    let reading = Digest {
        reads: reads(MAX_READS + 1),
        ..digest(1, 1)
    };
    let reading = encode_digest(&reading);
    expect_that!(decode_digest(&reading), err(pat!(Error::Part { .. })));
    let odd = [
        vec![crashes(1, MAX_CRASHES_PER_REQUEST + 1)],
        (0..=MAX_DIGEST_RECORDS as u64)
            .map(|n| crashes(n, 1))
            .collect(),
    ];
    for crashes in odd {
        let many = Digest {
            crashes,
            ..digest(1, 1)
        };
        let many = encode_digest(&many);
        expect_that!(decode_digest(&many), err(pat!(Error::Part { .. })));
    }
    expect_that!(decode_digest(b""), err(pat!(Error::Part { .. })));
}

fn stream_reports(streams: usize) -> StreamReports {
    let report = |n: usize| StreamReport {
        key: StreamKey {
            workspace: u32::MAX,
            stream: u64::MAX - n as u64,
        },
        build: Build(u32::MAX),
        age: Millis(64_000),
        left: Millis(600_000),
    };
    StreamReports {
        from: heartbeat(0).address,
        beat: u64::from(u32::MAX),
        reports: (0..streams).map(report).collect(),
    }
}

#[gtest]
fn verify_streams_come_back_as_they_were() {
    let sent = Digest {
        mixed_services: vec![0, 7],
        ..digest(1, 1)
    };
    let encoded = encode_digest(&sent);
    expect_that!(decode_digest(&encoded), ok(eq(&sent)));
    expect_false!(is_stream_reports(&encoded));
    for count in [0, 1, MAX_STREAM_REPORTS] {
        let sent = stream_reports(count);
        let encoded = encode_stream_reports(&sent);
        expect_true!(is_stream_reports(&encoded));
        expect_that!(decode_stream_reports(&encoded), ok(eq(&sent)));
        expect_that!(decode_digest(&encoded), err(anything()));
    }
    let ask = StreamAsk {
        nonce: 5,
        key: StreamKey {
            workspace: 1,
            stream: 2,
        },
        service: Bytes::from_static(b"engines"),
        prove: true,
    };
    for prove in [true, false] {
        let ask = StreamAsk {
            prove,
            ..ask.clone()
        };
        expect_that!(decode_stream_ask(&encode_stream_ask(&ask)), ok(eq(&ask)));
    }
    let proofs = [
        Versions::Unproven,
        Versions::Several,
        Versions::Only(Build(0)),
        Versions::Only(Build(u32::MAX)),
    ];
    for build in [None, Some(Build(0)), Some(Build(u32::MAX))] {
        for versions in proofs {
            let known = PeerKnowledge { build, versions };
            let answer = encode_stream_answer(9, known);
            expect_that!(decode_stream_answer(&answer), ok(eq(&(9, known))));
        }
    }
}

#[gtest]
fn verify_stream_reports_keep_to_their_bounds() {
    let most = encode_stream_reports(&stream_reports(MAX_STREAM_REPORTS));
    expect_that!(
        seal(&SECRET, u64::MAX, most.clone()).len(),
        le(MAX_DATAGRAM)
    );
    let one = encode_stream_reports(&stream_reports(1));
    let beyond = [most.as_slice(), &one[11..]].concat();
    for bytes in [&beyond, &one[..one.len() - 1], &one[..5], &one[1..], b""] {
        let decoded = decode_stream_reports(bytes);
        expect_that!(decoded, err(pat!(Error::Part { .. })));
    }
    let services = encode_digest(&Digest {
        mixed_services: vec![0; MAX_MIXED_SERVICES + 1],
        ..digest(0, 0)
    });
    expect_that!(decode_digest(&services), err(pat!(Error::Part { .. })));
}

/// Streams that begin at a router of the greatest fleet a second: three in four of 6,600 requests at 330 routers. Each
/// is reported to two peers.
const STREAMS: f64 = 15.0;
const KEEPERS: f64 = 2.0;

/// Guards against stream reports that bring control over what it may take while several versions serve.
#[gtest]
fn verify_digests_and_stream_reports_take_less_than_24_kilobytes_a_second() {
    let length = |payload: Vec<u8>| {
        let sealed = seal(&SECRET, 10_000, payload);
        f64::from(u32::try_from(sealed.len()).expect("it is small")) + HEADERS
    };
    let report = length(encode_stream_reports(&stream_reports(1)));
    for mut digest in largest() {
        digest.mixed_services = vec![0];
        let most = digest.reports.len().saturating_sub(mesh::MIXED_DISPLACES);
        digest.reports.truncate(most);
        let sent = DATAGRAMS * length(encode_digest(&digest)) + STREAMS * KEEPERS * report;
        println!("{report} bytes a report, {sent} bytes a second sent");
        expect_that!(2.0 * sent, le(24_000.0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No bytes from outside make a reader panic, and none with a changed byte are taken.
    #[test]
    fn verify_any_bytes_are_harmless(bytes: Vec<u8>, at: usize, flip in 1_u8..) {
        let _ = open(&bytes, |_| Some(SECRET));
        let _ = decode_digest(&bytes);
        let _ = decode_ask(&bytes);
        let _ = decode_stream_ask(&bytes);
        let _ = decode_stream_answer(&bytes);
        let _ = decode_stream_reports(&bytes);
        let _ = decode_copy(Bytes::from(bytes));
        let mut sealed = seal(&SECRET, 7, encode_digest(&digest(2, 2))).to_vec();
        let at = at % sealed.len();
        prop_assert!(open(&sealed[..at], known).is_err(), "the first {at} bytes are taken");
        sealed[at] ^= flip;
        let taken = open(&sealed, known).and_then(|(_, p)| decode_digest(&p));
        let same = taken.is_ok_and(|d| d != digest(2, 2));
        prop_assert!(!same);
    }
}
