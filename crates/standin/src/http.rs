//! Reading requests and writing answers, the same in every stand-in.

use futures_util::{
    StreamExt,
    stream, //
};
use salvo::{
    Request, Response,
    http::{
        HeaderValue,
        ResBody,
        StatusCode,
        header::CONTENT_TYPE, //
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use std::{
    io,
    str::FromStr, //
};

/// Largest request body that is read.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;

/// `Message` is the body of a plain error.
#[derive(Serialize)]
struct Message<'a> {
    error: &'a str,
}

/// Answers with `value` as JSON.
pub(crate) fn answer<T: Serialize>(res: &mut Response, status: StatusCode, value: &T) {
    match serde_json::to_vec(value) {
        Ok(body) => answer_bytes(res, status, body),
        Err(error) => {
            tracing::error!(%error, "an answer can't be written as JSON");
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

/// Answers with `body`, which the caller says is JSON.
pub(crate) fn answer_bytes(res: &mut Response, status: StatusCode, body: Vec<u8>) {
    res.status_code(status);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(body);
}

/// Answers that the request was wrong or can't be met.
pub(crate) fn fail(res: &mut Response, status: StatusCode, error: &str) {
    answer(res, status, &Message { error });
}

/// Sets a header, unless its value can't be one.
pub(crate) fn set_header(res: &mut Response, name: &'static str, value: impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        res.headers_mut().insert(name, value);
    }
}

/// Gets a header as text; one that isn't text counts as absent.
pub(crate) fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Gets a header as a checked type; one that doesn't parse counts as absent.
pub(crate) fn parsed_header<T: FromStr>(req: &Request, name: &str) -> Option<T> {
    header(req, name)?.parse().ok()
}

/// Gets a query parameter; absent or unreadable counts as the default.
pub(crate) fn query<T: FromStr + Default>(req: &Request, name: &str) -> T {
    let value = req.queries().get(name);
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Reads the JSON body, or answers 400.
pub(crate) async fn body<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let bytes = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(bytes) => bytes.clone(),
        Err(error) => {
            fail(res, StatusCode::BAD_REQUEST, &error.to_string());
            return None;
        }
    };
    serde_json::from_slice(&bytes)
        .inspect_err(|error| fail(res, StatusCode::BAD_REQUEST, &error.to_string()))
        .ok()
}

/// Cuts the answer in `res` to its first half, after which the connection breaks.
pub(crate) fn cut(res: &mut Response) {
    let ResBody::Once(mut body) = res.take_body() else {
        return;
    };
    body.truncate(body.len() / 2);
    // The break comes with the next poll, so that the half is sent before the connection closes.
    let pause = async {
        tokio::task::yield_now().await;
        Err(broken())
    };
    let half = stream::once(async { Ok(body) }).chain(stream::once(pause));
    res.body(ResBody::stream(half));
}

/// Gets the error with which a body stream breaks its connection.
pub(crate) fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "fault")
}
