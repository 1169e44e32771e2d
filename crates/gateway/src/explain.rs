//! Answers where a request would go, for operators.

use bytes::Bytes;
use http::StatusCode;
use toucanturn_core::{
    gateway::{
        explain::{
            Query,
            Target, //
        },
        fingerprint::Fingerprint,
        incoming_request::{
            Part,
            Prompt, //
        },
    },
    units::Millis, //
};

use crate::{
    protocol::ProtocolAdapter,
    state::{
        Shared,
        now, //
    },
};

/// Path of the question.
pub(crate) const PATH: &str = "/explain";
/// Most bytes of a question; a longer one is refused. 64 parts of a prompt take some 3 KB.
const MAX_QUERY_BYTES: usize = 8192;
/// Most hashes of shared parts: prompts have 64 parts at most, and the last one is not shared.
const MAX_HASHES: usize = 63;

/// `Fields` is the parameters of a question as text.
#[derive(Debug, Default)]
struct Fields {
    route: Option<String>,
    host: Option<String>,
    path: Option<String>,
    service: Option<String>,
    workspace: Option<String>,
    parts: Option<String>,
    tokens: Option<String>,
    deadline: Option<String>,
    hashes: Option<String>,
    content: Option<String>,
}

/// Answers a question in JSON.
///
/// Nothing is logged: a parameter may hold by mistake what must not be written down.
pub(crate) fn answer(state: &Shared, query: &str) -> (StatusCode, String) {
    let parsed = parse(&state.protocol, query);
    let query = match parsed {
        Ok(query) => query,
        Err(why) => return (StatusCode::BAD_REQUEST, failure(why)),
    };
    match state.gateway.borrow().explain(now(), &query) {
        Ok(explanation) => match serde_json::to_string(&explanation) {
            Ok(text) => (StatusCode::OK, text),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, String::new()),
        },
        Err(error) => (StatusCode::NOT_FOUND, failure(&error.to_string())),
    }
}

fn failure(why: &str) -> String {
    serde_json::json!({ "error": why }).to_string()
}

fn parse(protocol: &ProtocolAdapter, query: &str) -> Result<Query, &'static str> {
    let fields = fields(query)?;
    let bytes = |text: Option<String>| text.map(Bytes::from);
    let target = match (fields.route, fields.host, fields.path) {
        (Some(name), None, None) => Target::Name(name.into()),
        (None, Some(host), Some(path)) => Target::Address {
            host: host.to_ascii_lowercase().into(),
            path: path.into(),
        },
        _ => return Err("expected either route, or host and path"),
    };
    Ok(Query {
        target,
        service: bytes(fields.service),
        workspace: bytes(fields.workspace),
        prompt: prompt(
            parts(protocol, fields.parts.as_deref(), fields.hashes.as_deref())?,
            fields.tokens.as_deref(),
        )?,
        deadline: fields
            .deadline
            .map(|text| number(&text).map(|ms| Millis(ms.into())))
            .transpose()
            .map_err(|()| "expected deadline to be milliseconds")?,
        content: match fields.content {
            Some(text) => {
                Some(fingerprint(&text).ok_or("expected content to be 24 hexadecimal digits")?)
            }
            None => None,
        },
    })
}

/// Gets the parts of a prompt, as a caller names them, or the shared ones by their hashes, as log lines do.
fn parts(
    protocol: &ProtocolAdapter,
    named: Option<&str>,
    hashes: Option<&str>,
) -> Result<Option<Vec<Part>>, &'static str> {
    match (named, hashes) {
        (Some(_), Some(_)) => Err("expected either parts or hashes"),
        (Some(list), None) => (protocol.parse_parts)(list).map(Some),
        (None, Some(list)) => {
            let malformed = "expected at most 63 hashes of 16 hexadecimal digits, with commas";
            let part = |id| Part { id, tokens: 0 };
            let hashes = list.split(',').map(|text| hexadecimal(text, 16).map(part));
            let mut parts: Vec<Part> = hashes.collect::<Option<_>>().ok_or(malformed)?;
            if parts.len() > MAX_HASHES {
                return Err(malformed);
            }
            // The last part is the request's own, which no log line names.
            parts.push(part(0));
            Ok(Some(parts))
        }
        (None, None) => Ok(None),
    }
}

/// Parses the fingerprint of a content as log lines write it.
fn fingerprint(text: &str) -> Option<Fingerprint> {
    let (workspace, content) = text.split_at_checked(8)?;
    Some(Fingerprint {
        workspace: u32::try_from(hexadecimal(workspace, 8)?).ok()?,
        content: hexadecimal(content, 16)?,
    })
}

/// Parses so many hexadecimal digits.
fn hexadecimal(text: &str, digits: usize) -> Option<u64> {
    let is_plain = text.len() == digits && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok();
    number.filter(|_| is_plain)
}

fn prompt(parts: Option<Vec<Part>>, tokens: Option<&str>) -> Result<Option<Prompt>, &'static str> {
    if parts.is_none() && tokens.is_none() {
        return Ok(None);
    }
    let parts = parts.unwrap_or_default();
    let sum = parts
        .iter()
        .fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
    let malformed = |()| "expected tokens to be a whole number, or two with a comma";
    let (input, output) = match tokens.map(|text| text.split_once(',').unwrap_or((text, "0"))) {
        Some((input, output)) => (
            number(input).map_err(malformed)?,
            number(output).map_err(malformed)?,
        ),
        None => (sum, 0),
    };
    Ok(Some(Prompt {
        model: Bytes::new(),
        parts: parts.into(),
        input,
        output,
    }))
}

/// Parses decimal digits alone, without a sign.
fn number(text: &str) -> Result<u32, ()> {
    let plain = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain).ok_or(())
}

fn fields(query: &str) -> Result<Fields, &'static str> {
    if query.len() > MAX_QUERY_BYTES {
        return Err("expected at most 8192 bytes of parameters");
    }
    let mut fields = Fields::default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or("expected NAME=VALUE")?;
        let field = match name {
            "route" => &mut fields.route,
            "host" => &mut fields.host,
            "path" => &mut fields.path,
            "service" => &mut fields.service,
            "workspace" => &mut fields.workspace,
            "parts" => &mut fields.parts,
            "tokens" => &mut fields.tokens,
            "deadline" => &mut fields.deadline,
            "hashes" => &mut fields.hashes,
            "content" => &mut fields.content,
            _ => return Err("a parameter is not one of those that explain takes"),
        };
        let value = decode(value).ok_or("a value is not percent-encoded UTF-8")?;
        if field.replace(value).is_some() {
            return Err("a parameter is given twice");
        }
    }
    Ok(fields)
}

/// Decodes the percent-encoding of a value (RFC 3986, section 2.1).
fn decode(value: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(value.len());
    let mut left = value.as_bytes();
    while let [first, rest @ ..] = left {
        left = rest;
        if *first != b'%' {
            decoded.push(*first);
            continue;
        }
        let (digits, rest) = left.split_at_checked(2)?;
        let digits = std::str::from_utf8(digits).ok()?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        decoded.push(u8::from_str_radix(digits, 16).ok()?);
        left = rest;
    }
    String::from_utf8(decoded).ok()
}
