//! First bytes of bodies whose heads mark no end.
//!
//! If the name of the length or of the transfer coding is lost, or the head ends early, what was to mark the end of the body
//! stands at its beginning: the first chunk, or the field itself.

/// Most bytes after which a beginning is decided.
const MAX_BYTES: usize = 64 << 10;
/// Most bytes of header fields that are searched.
const MAX_FIELD_BYTES: usize = 8 << 10;
/// Most digits of the size of a chunk.
const MAX_SIZE_DIGITS: usize = 16;
/// Header fields that mark the end of a body (RFC 9112, section 6).
const FRAMING_FIELDS: [&[u8]; 2] = [b"content-length", b"transfer-encoding"];

/// `Beginning` is what the first bytes of a body are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// More bytes decide.
    Undecided,
    /// What was to mark the end of the body: a chunk, or header fields.
    Framing,
    /// The body itself.
    Content,
}

impl Beginning {
    /// Judges the bytes that have been received; `ended` says whether they are all.
    ///
    /// A chunk that ends early counts as one. It is decided after 64 KiB at the latest.
    pub fn new(bytes: &[u8], ended: bool) -> Self {
        match split_line(bytes) {
            Some((line, rest)) => match parse_chunk_size(line) {
                Some(size) => Self::of_chunk(size, rest, ended),
                None => Self::of_fields(bytes, ended),
            },
            None => Self::of_line(bytes, ended),
        }
    }

    /// Judges what follows the size of a chunk (RFC 9112, section 7.1).
    fn of_chunk(size: usize, rest: &[u8], ended: bool) -> Self {
        match rest.get(size..).and_then(|end| end.get(..2)) {
            Some(b"\r\n") => Beginning::Framing,
            Some(_) => Beginning::Content,
            None if ended || size > MAX_BYTES => Beginning::Framing,
            None => Beginning::Undecided,
        }
    }

    /// Judges lines up to the first one that is no header field.
    fn of_fields(bytes: &[u8], ended: bool) -> Self {
        let mut rest = &bytes[..bytes.len().min(MAX_FIELD_BYTES)];
        while let Some((line, next)) = split_line(rest) {
            let Some(name) = field_name(line) else {
                return Beginning::Content;
            };
            if FRAMING_FIELDS.iter().any(|f| f.eq_ignore_ascii_case(name)) {
                return Beginning::Framing;
            }
            rest = next;
        }
        Self::of_line(rest, ended || bytes.len() >= MAX_FIELD_BYTES)
    }

    /// Judges a line whose end has not been received.
    fn of_line(line: &[u8], ended: bool) -> Self {
        let end = line.iter().position(|b| !is_token_byte(*b));
        // A colon ends the name of a field; a semicolon, a blank or the line's end may follow the size of a chunk.
        let may_go_on = end.is_none_or(|end| end > 0 && b":;\r \t".contains(&line[end]));
        match may_go_on && !ended && line.len() < MAX_FIELD_BYTES {
            true => Beginning::Undecided,
            false => Beginning::Content,
        }
    }
}

/// Splits off the first line, without its LF; `None` if it has none.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|b| *b == b'\n')?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// Gets the size of a chunk from its line without the LF; one that is too large for its type is the largest one.
fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    let line = line.strip_suffix(b"\r")?;
    let digits = line.split(|b| *b == b';').next()?.trim_ascii_end();
    let is_size = (1..=MAX_SIZE_DIGITS).contains(&digits.len());
    if !is_size || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let text = std::str::from_utf8(digits).ok()?;
    Some(usize::from_str_radix(text, 16).unwrap_or(usize::MAX))
}

/// Gets the name of a header field from its line (RFC 9112, section 5).
fn field_name(line: &[u8]) -> Option<&[u8]> {
    let end = line.iter().position(|b| *b == b':')?;
    let name = &line[..end];
    let is_token = !name.is_empty() && name.iter().copied().all(is_token_byte);
    is_token.then_some(name)
}

/// Tells whether a byte may stand in a token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
