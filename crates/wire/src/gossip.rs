//! What gateway routers tell each other, as bytes, and the code that authenticates it.
//!
//! Routers share no key of their own. What they share is the published configuration, which holds
//! the callers' keys and which only operators and routers read; its hash is the key of the code,
//! and its version the epoch by which a receiver finds the key. A message that was changed, made
//! by others or belongs to another epoch changes nothing.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
};

use bytes::{
    Buf as _,
    BufMut as _,
    Bytes,
    BytesMut, //
};
use flate2::{
    Compression,
    read::DeflateDecoder,
    write::DeflateEncoder, //
};
use hmac::{
    Hmac,
    Mac, //
};
use prost::Message as _;
use sha2::Sha256;
use snafu::{
    OptionExt as _,
    ResultExt as _,
    Snafu,
    ensure, //
};
use toucanturn_core::{
    gateway::{
        fingerprint::Fingerprint,
        handoff::MAX_UNREACHED_SERVICES,
        mesh::{
            BackOffReport,
            Digest,
            EndpointReport,
            Heartbeat,
            MAX_BACK_OFFS,
            MAX_HEARTBEATS,
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

/// Generated from `proto/gossip.proto` by `cargo run -p toucanturn-wire-codegen`.
pub mod proto {
    include!("generated/toucanturn.gossip.v1.rs");
}

/// Bytes of the code (RFC 4868, section 2.3: half of the hash).
const MAC_LEN: usize = 16;
/// Separates this use of the secret from any other.
const DOMAIN: &[u8] = b"toucanturn.gossip.v1";
/// Most bytes of a sealed message that is not a copy of the registry: one packet.
pub const MAX_DATAGRAM: usize = 1400;
/// Most bytes of unpacked items. A sender packs a few hundred kilobytes at most; without a bound, a faulty
/// one could take all memory with a small message.
const MAX_UNPACKED: u64 = 4 << 20;
// Digests have 32 bits for what holds of each sight.
const _: () = assert!(MAX_REPORTS <= 32);
/// Longest age in a digest; what is older says nothing.
const MAX_AGE: u64 = 60_000;
/// Milliseconds of a step of ages in a digest.
const AGE_STEP: u64 = 16;
/// Bytes of stream reports before the first one, and of each.
const STREAM_REPORTS_HEAD: usize = 11;
const STREAM_REPORT_BYTES: usize = 20;
// Digests have 32 bits for which records are of prompt parts.
const _: () = assert!(MAX_DIGEST_RECORDS <= 32);
// Digests have 32 bits for which routers read.
const _: () = assert!(MAX_HEARTBEATS <= 32);

/// `Error` says why a message is passed over.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// It is not of this protocol.
    #[snafu(display("expected a message: {source}"))]
    Codec {
        /// Where and why.
        source: prost::DecodeError,
    },
    /// Its epoch is not known here.
    #[snafu(display("expected a known epoch, found {epoch}"))]
    Epoch {
        /// The epoch.
        epoch: u64,
    },
    /// Its code is wrong.
    #[snafu(display("expected the code of epoch {epoch}"))]
    Code {
        /// The epoch.
        epoch: u64,
    },
    /// A part is missing or out of bounds.
    #[snafu(display("expected {what}"))]
    Part {
        /// What.
        what: &'static str,
    },
}

/// `Result` is that of opening a message.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Secret` is what routers with the same configuration share.
pub type Secret = [u8; 32];

fn code(secret: &Secret, epoch: u64, payload: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(DOMAIN);
    mac.update(&epoch.to_le_bytes());
    mac.update(payload);
    Some(mac)
}

/// Seals a payload.
pub fn seal(secret: &Secret, epoch: u64, payload: Vec<u8>) -> Bytes {
    let made = code(secret, epoch, &payload).map(|m| m.finalize().into_bytes());
    let mac = made.map(|m| Bytes::copy_from_slice(&m[..MAC_LEN]));
    let sealed = proto::Sealed {
        epoch,
        payload: payload.into(),
        mac: mac.unwrap_or_default(),
    };
    sealed.encode_to_vec().into()
}

/// Opens a sealed payload; `secret` finds that of an epoch.
///
/// # Errors
///
/// Not of this protocol, of an unknown epoch, or not made with its secret.
pub fn open(bytes: &[u8], secret: impl Fn(u64) -> Option<Secret>) -> Result<(u64, Bytes)> {
    let sealed = proto::Sealed::decode(bytes).context(CodecSnafu)?;
    let epoch = sealed.epoch;
    let secret = secret(epoch).context(EpochSnafu { epoch })?;
    let mac = code(&secret, epoch, &sealed.payload).context(CodeSnafu { epoch })?;
    let whole = sealed.mac.len() == MAC_LEN;
    ensure!(
        whole && mac.verify_truncated_left(&sealed.mac).is_ok(),
        CodeSnafu { epoch }
    );
    Ok((epoch, sealed.payload))
}

fn heartbeat(rumor: &Heartbeat) -> proto::Heartbeat {
    proto::Heartbeat {
        ip: u32::from(*rumor.address.ip()),
        port: rumor.address.port().into(),
        data_center: rumor.data_center,
        incarnation: rumor.incarnation.0,
        beat: rumor.beat,
        reads: rumor.reads,
    }
}

/// Encodes a digest.
pub fn encode_digest(digest: &Digest) -> Vec<u8> {
    let crashes = &digest.crashes;
    let count = |c: &quarantine::Record| u32::try_from(c.crashes.len()).unwrap_or(u32::MAX);
    let answered =
        |c: &quarantine::Record| c.answered.map_or(0, |age| steps(age).saturating_add(1));
    let endpoints = crashes.iter().flat_map(|c| &c.crashes);
    let loads = digest.reports.iter().map(|s| s.load.unwrap_or_default());
    let from = &digest.from;
    let heartbeats = &digest.heartbeats;
    let ports = heartbeats.iter().map(|r| u32::from(r.address.port()));
    let elsewhere = heartbeats
        .iter()
        .any(|r| r.address.port() != from.address.port());
    let life = |r: &Heartbeat| {
        r.incarnation
            .0
            .wrapping_sub(from.incarnation.0)
            .cast_signed()
    };
    proto::Digest {
        from: Some(heartbeat(from)),
        ips: heartbeats
            .iter()
            .map(|r| u32::from(*r.address.ip()))
            .collect(),
        ports: ports.filter(|_| elsewhere).collect(),
        data_centers: heartbeats.iter().map(|r| r.data_center).collect(),
        lives: heartbeats.iter().map(life).collect(),
        beats: heartbeats.iter().map(|r| r.beat).collect(),
        reading: bits(heartbeats, |r| r.reads),
        endpoints: digest.reports.iter().map(|s| s.endpoint).collect(),
        loads: loads.collect(),
        ages: digest
            .reports
            .iter()
            .map(|s| steps(Millis(s.age.0.min(MAX_AGE))))
            .collect(),
        confirmed: bits(&digest.reports, |s| s.confirmed),
        loadless: bits(&digest.reports, |s| s.load.is_none()),
        sample_services: digest.samples.iter().map(|s| s.service).collect(),
        sample_parts: digest.samples.iter().map(|s| s.part).collect(),
        sample_works: digest.samples.iter().map(|s| s.work).collect(),
        crash_workspaces: crashes.iter().map(|c| c.request.workspace).collect(),
        crash_contents: crashes.iter().map(|c| c.request.content).collect(),
        crash_counts: crashes.iter().map(count).collect(),
        crash_endpoints: endpoints.clone().map(|c| c.endpoint.0).collect(),
        crash_ages: endpoints.clone().map(|c| steps(c.age)).collect(),
        crash_runs: endpoints.map(|c| steps(c.ran)).collect(),
        crash_answers: crashes.iter().map(answered).collect(),
        crash_parts: bits(crashes, |c| c.is_part),
        back_off_endpoints: digest.back_offs.iter().map(|b| b.endpoint).collect(),
        back_off_times: digest.back_offs.iter().map(|b| steps(b.left)).collect(),
        unreached_services: digest.unreached_services.clone(),
        mixed_services: digest.mixed_services.clone(),
        versions_until: digest.versions_until.map_or(0, |r| r.0),
        delays: if digest.reports.iter().any(|s| s.delay.is_some()) {
            digest.reports.iter().map(delay).collect()
        } else {
            Vec::new()
        },
        read_parts: digest.reads.iter().map(|r| r.part).collect(),
        read_endpoints: digest.reads.iter().map(|r| r.endpoint).collect(),
        read_ages: digest.reads.iter().map(|r| steps(r.age)).collect(),
    }
    .encode_to_vec()
}

/// Gets a report's delay in steps, rounded up, and one more; 0 where there is none.
fn delay(report: &EndpointReport) -> u32 {
    let told = report.delay;
    told.map_or(0, |delay| steps(Millis(delay.0.min(MAX_AGE))) + 1)
}

/// Gets an age in steps, rounded up.
fn steps(age: Millis) -> u32 {
    u32::try_from(age.0.div_ceil(AGE_STEP)).unwrap_or(u32::MAX)
}

/// Gets the age of steps.
fn age(steps: u32) -> Millis {
    Millis(u64::from(steps) * AGE_STEP)
}

/// Gets a bit for each row, the first one lowest.
fn bits<T>(rows: &[T], holds: impl Fn(&T) -> bool) -> u32 {
    let rows = rows.iter().take(32).enumerate();
    let set = rows.filter(|(_, row)| holds(row));
    set.fold(0, |bits, (row, _)| bits | 1 << row)
}

/// Decodes a digest.
///
/// # Errors
///
/// Not a digest, or larger than one may be.
pub fn decode_digest(payload: &[u8]) -> Result<Digest> {
    let raw = proto::Digest::decode(payload).context(CodecSnafu)?;
    let from = raw.from.context(PartSnafu { what: "a sender" })?;
    let columns = raw.endpoints.len() == raw.loads.len() && raw.loads.len() == raw.ages.len();
    let columns = columns && (raw.delays.is_empty() || raw.delays.len() == raw.loads.len());
    let what = "columns of one bounded length";
    ensure!(
        columns && raw.loads.len() <= MAX_REPORTS,
        PartSnafu { what }
    );
    let from = rumor(from)?;
    let heartbeats = heartbeats(&raw, &from)?;
    let rows = raw.sample_services.len();
    let columns = rows == raw.sample_parts.len() && rows == raw.sample_works.len();
    let what = "a bounded sample of requests";
    ensure!(columns && rows <= MAX_SAMPLES, PartSnafu { what });
    let samples = raw.sample_services.iter().zip(&raw.sample_parts);
    let samples = samples.zip(&raw.sample_works);
    let samples = samples.map(|((service, part), work)| Sample {
        service: *service,
        part: *part,
        work: *work,
    });
    let rows = raw.endpoints.iter().zip(&raw.loads).zip(&raw.ages);
    let reports = rows
        .enumerate()
        .map(|(row, ((endpoint, load), age))| EndpointReport {
            endpoint: *endpoint,
            load: (raw.loadless >> row & 1 == 0).then_some(*load),
            age: self::age(*age),
            confirmed: raw.confirmed >> row & 1 == 1,
            delay: raw
                .delays
                .get(row)
                .and_then(|steps| steps.checked_sub(1))
                .map(self::age),
        });
    let rows = raw.back_off_endpoints.len();
    let columns = rows == raw.back_off_times.len();
    let what = "a bounded number of back-offs";
    ensure!(columns && rows <= MAX_BACK_OFFS, PartSnafu { what });
    let back_offs = raw.back_off_endpoints.iter().zip(&raw.back_off_times);
    let back_offs = back_offs.map(|(endpoint, left)| BackOffReport {
        endpoint: *endpoint,
        left: age(*left),
    });
    let bounded = raw.unreached_services.len() <= MAX_UNREACHED_SERVICES;
    let what = "a bounded number of unreached services";
    ensure!(bounded, PartSnafu { what });
    let bounded = raw.mixed_services.len() <= MAX_MIXED_SERVICES;
    let what = "a bounded number of services with several versions";
    ensure!(bounded, PartSnafu { what });
    let rows = raw.read_parts.len();
    let columns = rows == raw.read_endpoints.len() && rows == raw.read_ages.len();
    let what = "a bounded number of parts that are read";
    ensure!(columns && rows <= MAX_READS, PartSnafu { what });
    let rows = raw.read_parts.iter().zip(&raw.read_endpoints);
    let reads = rows.zip(&raw.read_ages);
    let reads = reads.map(|((part, endpoint), steps)| ReadReport {
        part: *part,
        endpoint: *endpoint,
        age: age(*steps),
    });
    Ok(Digest {
        from,
        heartbeats,
        reports: reports.collect(),
        samples: samples.collect(),
        crashes: crashes(&raw)?,
        back_offs: back_offs.collect(),
        unreached_services: raw.unreached_services,
        mixed_services: raw.mixed_services,
        versions_until: Some(Revision(raw.versions_until)).filter(|r| r.0 > 0),
        reads: reads.collect(),
    })
}

/// Puts the columns of a digest's crashes together.
fn crashes(raw: &proto::Digest) -> Result<Vec<quarantine::Record>> {
    let rows = raw.crash_contents.len();
    let columns = [
        raw.crash_workspaces.len(),
        raw.crash_counts.len(),
        raw.crash_answers.len(),
    ];
    let whole = columns.iter().all(|column| *column == rows) && rows <= MAX_DIGEST_RECORDS;
    let counts = raw.crash_counts.iter().map(|count| *count as usize);
    let bounded = counts.clone().all(|count| count <= MAX_CRASHES_PER_REQUEST);
    let what = "a bounded number of crashes";
    ensure!(whole && bounded, PartSnafu { what });
    let all: usize = counts.clone().sum();
    let columns = [
        raw.crash_endpoints.len(),
        raw.crash_ages.len(),
        raw.crash_runs.len(),
    ];
    let whole = columns.iter().all(|column| *column == all);
    ensure!(whole, PartSnafu { what });
    let mut ended = (0..all).map(|row| quarantine::CrashReport {
        endpoint: Tag(raw.crash_endpoints[row]),
        age: age(raw.crash_ages[row]),
        ran: age(raw.crash_runs[row]),
    });
    let rows = counts.enumerate().map(|(row, count)| quarantine::Record {
        request: Fingerprint {
            workspace: raw.crash_workspaces[row],
            content: raw.crash_contents[row],
        },
        is_part: raw.crash_parts >> row & 1 == 1,
        crashes: ended.by_ref().take(count).collect(),
        answered: raw.crash_answers[row].checked_sub(1).map(age),
    });
    Ok(rows.collect())
}

/// Puts the columns of a digest's sample of routers together.
fn heartbeats(raw: &proto::Digest, from: &Heartbeat) -> Result<Vec<Heartbeat>> {
    let rows = raw.ips.len();
    let columns = [raw.data_centers.len(), raw.lives.len(), raw.beats.len()];
    let whole = columns.iter().all(|column| *column == rows);
    let ports = raw.ports.is_empty() || raw.ports.len() == rows;
    let what = "a bounded sample of routers";
    ensure!(whole && ports && rows <= MAX_HEARTBEATS, PartSnafu { what });
    let same = u32::from(from.address.port());
    let made = (0..rows).map(|row| {
        rumor(proto::Heartbeat {
            ip: raw.ips[row],
            port: raw.ports.get(row).copied().unwrap_or(same),
            data_center: raw.data_centers[row],
            incarnation: from
                .incarnation
                .0
                .wrapping_add(raw.lives[row].cast_unsigned()),
            beat: raw.beats[row],
            reads: raw.reading >> row & 1 == 1,
        })
    });
    made.collect()
}

fn rumor(raw: proto::Heartbeat) -> Result<Heartbeat> {
    let port = u16::try_from(raw.port).ok().filter(|p| *p > 0);
    let port = port.context(PartSnafu { what: "a port" })?;
    Ok(Heartbeat {
        address: SocketAddrV4::new(Ipv4Addr::from(raw.ip), port),
        data_center: raw.data_center,
        incarnation: Incarnation(raw.incarnation),
        beat: raw.beat,
        reads: raw.reads,
    })
}

/// `Ask` asks for what has changed in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Revision that the asker has.
    pub revision: Revision,
    /// Number that the copy brings back.
    pub nonce: u64,
    /// How long the copy may wait for a change, or for a newer read.
    pub wait: Millis,
    /// Age of the newest read that the asker knows of.
    pub age: Millis,
}

/// Encodes an ask.
pub fn encode_ask(ask: &Ask) -> Vec<u8> {
    proto::Ask {
        revision: ask.revision.0,
        nonce: ask.nonce,
        wait_ms: u32::try_from(ask.wait.0).unwrap_or(u32::MAX),
        age_ms: ask.age.0,
    }
    .encode_to_vec()
}

/// Decodes an ask.
///
/// # Errors
///
/// Not an ask.
pub fn decode_ask(payload: &[u8]) -> Result<Ask> {
    let raw = proto::Ask::decode(payload).context(CodecSnafu)?;
    Ok(Ask {
        revision: Revision(raw.revision),
        nonce: raw.nonce,
        wait: Millis(u64::from(raw.wait_ms)),
        age: Millis(raw.age_ms),
    })
}

/// First byte of stream reports. No protocol buffer begins with it, so they are told from digests.
const STREAM_REPORTS_MARK: u8 = 0;

/// `StreamReports` is what a router tells another of streams that it has begun.
///
/// Most hold one report and many are sent, so they have a fixed layout in place of named fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamReports {
    /// Address of the sender.
    pub from: SocketAddrV4,
    /// Number of its newest round.
    pub beat: u64,
    /// The streams.
    pub reports: Vec<StreamReport>,
}

/// Encodes stream reports: the mark, then big-endian numbers.
pub fn encode_stream_reports(reports: &StreamReports) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    bytes.put_u8(STREAM_REPORTS_MARK);
    bytes.put_u32(u32::from(*reports.from.ip()));
    bytes.put_u16(reports.from.port());
    bytes.put_u32(u32::try_from(reports.beat).unwrap_or(u32::MAX));
    let most = |time| u16::try_from(steps(time)).unwrap_or(u16::MAX);
    for report in reports.reports.iter().take(MAX_STREAM_REPORTS) {
        bytes.put_u32(report.key.workspace);
        bytes.put_u64(report.key.stream);
        bytes.put_u32(report.build.0);
        bytes.put_u16(most(report.age));
        bytes.put_u16(most(report.left));
    }
    bytes.into()
}

/// Tells whether a payload holds stream reports; others are digests.
pub fn is_stream_reports(payload: &[u8]) -> bool {
    payload.first() == Some(&STREAM_REPORTS_MARK)
}

/// Decodes stream reports.
///
/// # Errors
///
/// Not such a message, or larger than one may be.
pub fn decode_stream_reports(payload: &[u8]) -> Result<StreamReports> {
    let what = "whole stream reports";
    let rest = payload.get(STREAM_REPORTS_HEAD..);
    let mut rest = rest.context(PartSnafu { what })?;
    let mut head = &payload[1..STREAM_REPORTS_HEAD];
    let whole = rest.len().is_multiple_of(STREAM_REPORT_BYTES)
        && rest.len() <= MAX_STREAM_REPORTS * STREAM_REPORT_BYTES;
    ensure!(is_stream_reports(payload) && whole, PartSnafu { what });
    let ip = Ipv4Addr::from(head.get_u32());
    let from = SocketAddrV4::new(ip, head.get_u16());
    let beat = head.get_u32().into();
    let mut reports = Vec::with_capacity(rest.len() / STREAM_REPORT_BYTES);
    while rest.has_remaining() {
        reports.push(StreamReport {
            key: StreamKey {
                workspace: rest.get_u32(),
                stream: rest.get_u64(),
            },
            build: Build(rest.get_u32()),
            age: age(rest.get_u16().into()),
            left: age(rest.get_u16().into()),
        });
    }
    Ok(StreamReports {
        from,
        beat,
        reports,
    })
}

/// `StreamAsk` asks which software version began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamAsk {
    /// Number that the answer brings back.
    pub nonce: u64,
    /// The stream.
    pub key: StreamKey,
    /// Name of its service.
    pub service: Bytes,
    /// Whether the router is to read the registry for the answer.
    pub prove: bool,
}

/// Encodes an ask for a stream.
pub fn encode_stream_ask(ask: &StreamAsk) -> Vec<u8> {
    proto::StreamAsk {
        nonce: ask.nonce,
        workspace: ask.key.workspace,
        stream: ask.key.stream,
        service: ask.service.clone(),
        prove: ask.prove,
    }
    .encode_to_vec()
}

/// Decodes an ask for a stream.
///
/// # Errors
///
/// Not such an ask.
pub fn decode_stream_ask(payload: &[u8]) -> Result<StreamAsk> {
    let raw = proto::StreamAsk::decode(payload).context(CodecSnafu)?;
    Ok(StreamAsk {
        nonce: raw.nonce,
        key: StreamKey {
            workspace: raw.workspace,
            stream: raw.stream,
        },
        service: raw.service,
        prove: raw.prove,
    })
}

/// Encodes what a router knows of a stream, for the ask with `nonce`.
pub fn encode_stream_answer(nonce: u64, knowledge: PeerKnowledge) -> Vec<u8> {
    let only = match knowledge.versions {
        Versions::Only(Build(only)) => Some(only),
        Versions::Several | Versions::Unproven => None,
    };
    proto::StreamAnswer {
        nonce,
        build: knowledge.build.map(|b| b.0),
        only,
        several: knowledge.versions == Versions::Several,
    }
    .encode_to_vec()
}

/// Decodes what a router knows of a stream, and the number of the ask.
///
/// # Errors
///
/// Not such an answer.
pub fn decode_stream_answer(payload: &[u8]) -> Result<(u64, PeerKnowledge)> {
    let raw = proto::StreamAnswer::decode(payload).context(CodecSnafu)?;
    let versions = match (raw.several, raw.only) {
        (true, _) => Versions::Several,
        (false, Some(only)) => Versions::Only(Build(only)),
        (false, None) => Versions::Unproven,
    };
    let knowledge = PeerKnowledge {
        build: raw.build.map(Build),
        versions,
    };
    Ok((raw.nonce, knowledge))
}

/// `Copy` is what has changed in the registry, and how old that is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// Number of the ask.
    pub nonce: u64,
    /// Age of the read behind it when it was sent.
    pub age: Millis,
    /// How long the ask had waited by then.
    pub waited: Millis,
    /// What has changed.
    pub delta: Delta,
}

/// `Pack` is a delta made ready to be sent, once for all that ask for the same.
///
/// A published configuration is mostly text that repeats itself, and 25 routers may ask one for it over a
/// link of 10 Mbit/s.
#[derive(Clone, Debug)]
pub struct Pack {
    revision: Revision,
    whole: bool,
    records: Bytes,
}

impl Pack {
    /// Packs a delta.
    ///
    /// # Errors
    ///
    /// It can't be deflated, which is a fault of the library or of memory.
    pub fn new(delta: Delta) -> std::io::Result<Self> {
        let record = |r: Record| proto::Record {
            key: r.key,
            value: r.value,
            revision: r.revision.0,
        };
        let records = proto::Records {
            records: delta.records.into_iter().map(record).collect(),
        };
        let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
        packed.write_all(&records.encode_to_vec())?;
        Ok(Self {
            revision: delta.revision,
            whole: delta.whole,
            records: packed.finish()?.into(),
        })
    }

    /// Counts its bytes.
    pub fn bytes(&self) -> usize {
        self.records.len()
    }

    /// Encodes the copy that answers the ask with `nonce`, which has `waited`; `age` is that of the read behind it.
    pub fn encode(&self, nonce: u64, age: Millis, waited: Millis) -> Vec<u8> {
        proto::Copy {
            nonce,
            age_ms: age.0,
            waited_ms: waited.0,
            revision: self.revision.0,
            whole: self.whole,
            packed: self.records.clone(),
        }
        .encode_to_vec()
    }
}

/// Decodes a copy.
///
/// # Errors
///
/// Not a copy.
pub fn decode_copy(payload: Bytes) -> Result<Copy> {
    let raw = proto::Copy::decode(payload).context(CodecSnafu)?;
    let mut bytes = Vec::new();
    let packed = DeflateDecoder::new(raw.packed.as_ref());
    let read = packed.take(MAX_UNPACKED).read_to_end(&mut bytes);
    let what = "items that can be unpacked";
    ensure!(read.is_ok(), PartSnafu { what });
    let records = proto::Records::decode(bytes.as_slice()).context(CodecSnafu)?;
    let record = |r: proto::Record| Record {
        key: r.key,
        value: r.value,
        revision: Revision(r.revision),
    };
    Ok(Copy {
        nonce: raw.nonce,
        age: Millis(raw.age_ms),
        waited: Millis(raw.waited_ms),
        delta: Delta {
            revision: Revision(raw.revision),
            whole: raw.whole,
            records: records.records.into_iter().map(record).collect(),
        },
    })
}
