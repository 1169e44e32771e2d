//! Control messages and batches of them, to bytes and back.

use bytes::Bytes;
use prost::{
    Message as _,
    encoding, //
};
use toucanturn_core::{
    ids::Tag,
    peer::{
        Change,
        Entry,
        Leaving,
        Load,
        Message,
        Report,
        Summary, //
    },
    units::{
        Incarnation,
        Millis,
        Revision, //
    },
};

use crate::{
    errors::{
        ColumnsSnafu,
        Error,
        Result,
        UnknownVariantSnafu,
        bounded,
        decode, //
    },
    limits::{
        MAX_ENTRIES,
        MAX_KEY,
        MAX_MESSAGES,
        MAX_ROWS,
        MAX_VALUE, //
    },
    proto::{
        self,
        message::Kind, //
    },
};

/// Number of the list of messages in a `Batch`.
const MESSAGES: u32 = 1;

/// Gets the bytes that a message takes in a batch. Its envelope adds at most
/// [`crate::envelope::OVERHEAD`], once for all messages that go together.
pub fn size(message: &Message) -> usize {
    encoding::message::encoded_len(MESSAGES, &proto::Message::from(message))
}

/// Encodes messages as the payload of one envelope.
pub fn encode(messages: &[Message]) -> Bytes {
    let messages = messages.iter().map(proto::Message::from).collect();
    Bytes::from(proto::Batch { messages }.encode_to_vec())
}

/// Decodes the payload of one envelope. One bad message refuses all.
///
/// # Errors
///
/// Refuses malformed bytes, unknown variants and whatever is over a bound of [`crate::limits`].
pub fn decode_batch(payload: Bytes) -> Result<Vec<Message>> {
    // Counted before decoding: an empty message takes two bytes here and some hundred in memory.
    bounded("batch.messages", count(payload.clone())?, MAX_MESSAGES)?;
    let batch: proto::Batch = decode("batch", payload)?;
    batch.messages.into_iter().map(Message::try_from).collect()
}

/// Counts the fields at the top level of encoded bytes.
fn count(mut raw: Bytes) -> Result<usize> {
    let malformed = |e: prost::DecodeError| Error::Malformed {
        field: "batch",
        reason: e.to_string(),
    };
    let mut found = 0;
    while !raw.is_empty() {
        let (tag, wire) = encoding::decode_key(&mut raw).map_err(malformed)?;
        let context = encoding::DecodeContext::default();
        encoding::skip_field(wire, tag, &mut raw, context).map_err(malformed)?;
        found += 1;
    }
    Ok(found)
}

impl From<&Message> for proto::Message {
    fn from(message: &Message) -> Self {
        let kind = match *message {
            Message::Summary(ref summary) => Kind::Summary(summary.into()),
            Message::Pull { since } => Kind::Pull(proto::Pull { since: since.0 }),
            Message::Push(ref change) => Kind::Push(change.into()),
            Message::Ask {
                workspace,
                want,
                nonce,
            } => Kind::Ask(proto::Ask {
                workspace: workspace.0,
                want,
                nonce,
            }),
            Message::Grant {
                workspace,
                granted,
                retry_after,
                nonce,
            } => Kind::Grant(proto::Grant {
                workspace: workspace.0,
                granted,
                retry_after_ms: retry_after.0,
                nonce,
            }),
            Message::LeaseAsk {
                epoch,
                round,
                lease,
            } => Kind::LeaseAsk(proto::LeaseAsk {
                epoch: epoch.0,
                round,
                lease_ms: lease.0,
            }),
            Message::LeaseAnswer {
                epoch,
                round,
                confirmed,
                previous,
            } => Kind::LeaseAnswer(proto::LeaseAnswer {
                epoch: epoch.0,
                round,
                confirmed,
                previous: previous.0,
            }),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<proto::Message> for Message {
    type Error = Error;

    fn try_from(raw: proto::Message) -> Result<Self> {
        let Some(kind) = raw.kind else {
            return UnknownVariantSnafu {
                field: "message.kind",
            }
            .fail();
        };
        Ok(match kind {
            Kind::Summary(summary) => Self::Summary(summary.try_into()?),
            Kind::Pull(pull) => Self::Pull {
                since: Revision(pull.since),
            },
            Kind::Push(push) => Self::Push(push.try_into()?),
            Kind::Ask(ask) => Self::Ask {
                workspace: Tag(ask.workspace),
                want: ask.want,
                nonce: ask.nonce,
            },
            Kind::Grant(grant) => Self::Grant {
                workspace: Tag(grant.workspace),
                granted: grant.granted,
                retry_after: Millis(grant.retry_after_ms),
                nonce: grant.nonce,
            },
            Kind::LeaseAsk(ask) => Self::LeaseAsk {
                epoch: Revision(ask.epoch),
                round: ask.round,
                lease: Millis(ask.lease_ms),
            },
            Kind::LeaseAnswer(answer) => Self::LeaseAnswer {
                epoch: Revision(answer.epoch),
                round: answer.round,
                confirmed: answer.confirmed,
                previous: Revision(answer.previous),
            },
        })
    }
}

impl From<&Summary> for proto::Summary {
    fn from(summary: &Summary) -> Self {
        let Summary {
            loads,
            leaving,
            reports,
            ..
        } = summary;
        Self {
            revision: summary.revision.0,
            epoch: summary.epoch.0,
            load_endpoint: loads.iter().map(|l| l.endpoint.0).collect(),
            load_in_flight: loads.iter().map(|l| l.in_flight).collect(),
            leaving_endpoint: leaving.iter().map(|l| l.endpoint.0).collect(),
            leaving_incarnation: leaving.iter().map(|l| l.incarnation.0).collect(),
            report_endpoint: reports.iter().map(|r| r.endpoint.0).collect(),
            report_incarnation: reports.iter().map(|r| r.incarnation.0).collect(),
            report_in_flight: reports.iter().map(|r| r.in_flight).collect(),
            report_queued: reports.iter().map(|r| r.queued).collect(),
            report_age_ms: reports.iter().map(|r| r.age.0).collect(),
        }
    }
}

impl TryFrom<proto::Summary> for Summary {
    type Error = Error;

    fn try_from(raw: proto::Summary) -> Result<Self> {
        Ok(Self {
            revision: Revision(raw.revision),
            epoch: Revision(raw.epoch),
            loads: loads(&raw)?,
            leaving: leaving(&raw)?,
            reports: reports(&raw)?,
        })
    }
}

/// Checks that a column is as long as the first one of its table.
fn column(field: &'static str, expected: usize, found: usize) -> Result<()> {
    if found != expected {
        return ColumnsSnafu {
            field,
            expected,
            found,
        }
        .fail();
    }
    Ok(())
}

fn loads(raw: &proto::Summary) -> Result<Vec<Load>> {
    let rows = raw.load_endpoint.len();
    bounded("summary.load_endpoint", rows, MAX_ROWS)?;
    column("summary.load_in_flight", rows, raw.load_in_flight.len())?;
    let columns = raw.load_endpoint.iter().zip(&raw.load_in_flight);
    let row = |(&endpoint, &in_flight)| Load {
        endpoint: Tag(endpoint),
        in_flight,
    };
    Ok(columns.map(row).collect())
}

fn leaving(raw: &proto::Summary) -> Result<Vec<Leaving>> {
    let rows = raw.leaving_endpoint.len();
    bounded("summary.leaving_endpoint", rows, MAX_ROWS)?;
    let found = raw.leaving_incarnation.len();
    column("summary.leaving_incarnation", rows, found)?;
    let columns = raw.leaving_endpoint.iter().zip(&raw.leaving_incarnation);
    let row = |(&endpoint, &incarnation)| Leaving {
        endpoint: Tag(endpoint),
        incarnation: Incarnation(incarnation),
    };
    Ok(columns.map(row).collect())
}

fn reports(raw: &proto::Summary) -> Result<Vec<Report>> {
    let rows = raw.report_endpoint.len();
    bounded("summary.report_endpoint", rows, MAX_ROWS)?;
    let found = raw.report_incarnation.len();
    column("summary.report_incarnation", rows, found)?;
    column("summary.report_in_flight", rows, raw.report_in_flight.len())?;
    column("summary.report_queued", rows, raw.report_queued.len())?;
    column("summary.report_age_ms", rows, raw.report_age_ms.len())?;
    let row = |i: usize| Report {
        endpoint: Tag(raw.report_endpoint[i]),
        incarnation: Incarnation(raw.report_incarnation[i]),
        in_flight: raw.report_in_flight[i],
        queued: raw.report_queued[i],
        age: Millis(raw.report_age_ms[i]),
    };
    Ok((0..rows).map(row).collect())
}

impl From<&Change> for proto::Push {
    fn from(change: &Change) -> Self {
        let entry = |e: &Entry| proto::Entry {
            key: e.key.clone(),
            revision: e.revision.0,
            value: e.value.clone(),
        };
        Self {
            since: change.since.0,
            revision: change.revision.0,
            entries: change.entries.iter().map(entry).collect(),
            floor: change.floor.map(|r| r.0),
        }
    }
}

impl TryFrom<proto::Push> for Change {
    type Error = Error;

    fn try_from(raw: proto::Push) -> Result<Self> {
        bounded("push.entries", raw.entries.len(), MAX_ENTRIES)?;
        Ok(Self {
            since: Revision(raw.since),
            revision: Revision(raw.revision),
            entries: raw.entries.into_iter().map(entry).collect::<Result<_>>()?,
            floor: raw.floor.map(Revision),
        })
    }
}

fn entry(raw: proto::Entry) -> Result<Entry> {
    bounded("entry.key", raw.key.len(), MAX_KEY)?;
    let value = raw.value.as_ref().map_or(0, Bytes::len);
    bounded("entry.value", value, MAX_VALUE)?;
    Ok(Entry {
        key: raw.key,
        revision: Revision(raw.revision),
        value: raw.value,
    })
}
