//! Heads of answers: whether one can be the final answer to a request, and how the end of its body is marked.
//!
//! It does no I/O. An HTTP library parses the head and decodes the body; a head that contradicts itself still passes
//! that, and the library, this process and the caller's client may each take another part of what follows for the body.
//! Start with [`Framing`], which is made of a [`Head`].

#![forbid(unsafe_code)]

pub mod beginning;

use http::{
    HeaderMap,
    Method,
    StatusCode,
    Version,
    header,
    response::Parts, //
};
use snafu::{
    OptionExt as _,
    Snafu,
    ensure, //
};

/// Field that states for how long a connection stays open (RFC 2068, section 19.7.1.1).
const KEEP_ALIVE: &str = "keep-alive";
/// Least number over the classes of statuses (RFC 9110, section 15).
const STATUS_END: u16 = 600;

/// `Head` is what decides on an answer.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Status.
    pub status: StatusCode,
    /// Version of the protocol.
    pub version: Version,
    /// Header fields.
    pub headers: &'a HeaderMap,
}

impl<'a> Head<'a> {
    /// Gets the head of the answer to a request with this method.
    pub fn new(method: &'a Method, head: &'a Parts) -> Self {
        Self {
            method,
            status: head.status,
            version: head.version,
            headers: &head.headers,
        }
    }

    /// Tells whether a body can follow (RFC 9112, section 6.3, items 1 and 2).
    fn has_body(&self) -> bool {
        let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
        *self.method != Method::HEAD && !bodiless.contains(&self.status)
    }

    /// Gets the length that the head states; `None` if it states none. Equal ones are one (RFC 9110, section 8.6).
    fn stated_length(&self) -> Result<Option<u64>, Fault> {
        let mut stated = None;
        for line in self.headers.get_all(header::CONTENT_LENGTH) {
            for length in line.as_bytes().split(|b| *b == b',') {
                let length = parse_length(length.trim_ascii()).context(LengthSnafu)?;
                ensure!(stated.is_none_or(|s| s == length), LengthSnafu);
                stated = Some(length);
            }
        }
        Ok(stated)
    }

    /// Gets the length that the answer to a caller states without having the body; `None` where the body states it.
    pub fn length_without_body(&self) -> Option<u64> {
        let stated = self.stated_length().ok().flatten();
        let forbidden = self.status == StatusCode::NO_CONTENT;
        stated.filter(|_| !self.has_body() && !forbidden)
    }

    fn has_connection_option(&self, name: &str) -> bool {
        let lines = self.headers.get_all(header::CONNECTION).iter();
        let options = lines.flat_map(|v| v.as_bytes().split(|b| *b == b','));
        let mut options = options.map(<[u8]>::trim_ascii);
        options.any(|option| option.eq_ignore_ascii_case(name.as_bytes()))
    }

    /// Tells whether the connection stays open after the answer (RFC 9112, section 9.3).
    fn persists(&self) -> bool {
        let by_default = self.version >= Version::HTTP_11;
        !self.has_connection_option("close")
            && (by_default || self.has_connection_option("keep-alive"))
    }

    /// Tells whether the head says that the connection stays open, and not by the version of the protocol alone.
    fn states_persistence(&self) -> bool {
        self.has_connection_option("keep-alive") || self.headers.contains_key(KEEP_ALIVE)
    }

    /// Tells whether `chunked` is the only transfer coding. Requests ask for no other one, and a sender applies it once
    /// (RFC 9112, sections 6.1 and 7.4).
    fn is_chunked(&self) -> bool {
        let mut codings = self.headers.get_all(header::TRANSFER_ENCODING).iter();
        let first = codings.next().map(|v| v.as_bytes().trim_ascii());
        first.is_some_and(|c| c.eq_ignore_ascii_case(b"chunked")) && codings.next().is_none()
    }
}

/// Parses a length (RFC 9110, section 8.6).
fn parse_length(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_number)?;
    text.parse().ok()
}

/// `Framing` is how the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By the head: by a length, or as there is none.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, which a broken-off body has as well.
    Close,
    /// By the end of the connection, which the head does not announce. What was to mark the end may be lost as well, so the
    /// body and its end have to show that it is not.
    Unannounced,
}

impl Framing {
    /// Gets the framing of the body of a final answer, where servers need not announce the end of the connection.
    ///
    /// That is only asked of them (RFC 9112, section 9.6): without a length and a transfer coding, the body ends with the
    /// connection (section 6.3, item 8).
    ///
    /// # Errors
    ///
    /// As [`Framing::try_from`]; [`Fault::Unframed`] where the head says that the connection stays open.
    pub fn with_unannounced_end(head: Head<'_>) -> Result<Self, Fault> {
        match Self::try_from(head) {
            Err(Fault::Unframed) if !head.states_persistence() => Ok(Framing::Unannounced),
            judged => judged,
        }
    }

    /// Tells whether the body ends with its connection.
    pub fn ends_connection(self) -> bool {
        matches!(self, Framing::Close | Framing::Unannounced)
    }
}

/// `Fault` is why a head is not that of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// It has both a length and a transfer coding, which no sender may send (RFC 9112, section 6.1).
    #[snafu(display("expected a length or a transfer coding, found both"))]
    TwoFramings,
    /// Its transfer coding is not `chunked` alone, so its body would stay encoded.
    #[snafu(display("expected the transfer coding chunked, once"))]
    TransferCoding,
    /// Its length is no number, or several that differ (RFC 9112, section 6.3, item 5).
    #[snafu(display("expected one length"))]
    Length,
    /// It announces a body, which an answer with its status never has (RFC 9110, section 8.6; RFC 9112, section 6.1).
    #[snafu(display("expected no body"))]
    NoContent,
    /// Its body would end with the connection, which it says stays open (RFC 9112, section 9.3). What was to mark the end
    /// may be lost, with a part of the body.
    #[snafu(display("expected a length, chunks or the end of the connection"))]
    Unframed,
    /// It is not final. A 101 switches to another protocol, which no request asks for (RFC 9110, section 15.2).
    #[snafu(display("expected a final status, found {status}"))]
    Interim {
        /// Its status.
        status: StatusCode,
    },
    /// Its status is of no class, so nobody knows what it says (RFC 9110, section 15).
    #[snafu(display("expected a status under 600, found {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
}

impl TryFrom<Head<'_>> for Framing {
    type Error = Fault;

    /// Gets the framing of the body of a final answer (RFC 9112, section 6.3).
    fn try_from(head: Head<'_>) -> Result<Self, Fault> {
        // The library passes over other interim answers.
        let status = head.status;
        ensure!(!status.is_informational(), InterimSnafu { status });
        ensure!(status.as_u16() < STATUS_END, StatusSnafu { status });
        let length = head.stated_length()?;
        let has_length = length.is_some();
        let has_coding = head.headers.contains_key(header::TRANSFER_ENCODING);
        ensure!(!(has_length && has_coding), TwoFramingsSnafu);
        ensure!(!has_coding || head.is_chunked(), TransferCodingSnafu);
        let announces = has_coding || length.is_some_and(|l| l > 0);
        ensure!(
            !(status == StatusCode::NO_CONTENT && announces),
            NoContentSnafu
        );
        let framed = has_length || has_coding || !head.has_body();
        ensure!(framed || !head.persists(), UnframedSnafu);
        Ok(match (head.has_body(), has_coding, has_length) {
            (false, ..) | (_, _, true) => Framing::Length,
            (_, true, _) => Framing::Chunked,
            _ => Framing::Close,
        })
    }
}
