//! Reads a request's body and finds out what it asks for.

use std::sync::Arc;

use bytes::Bytes;
use salvo::prelude::{
    Depot,
    FlowCtrl,
    Handler,
    Request,
    Response,
    async_trait, //
};
use toucanturn_core::{
    chat::Chat,
    config::{
        Config,
        Workspace, //
    },
    ids::Id,
    request::{
        Key,
        Work, //
    },
};

use super::{
    Denial,
    Draft,
    body,
    deny,
    json, //
};
use crate::{
    answers::{
        self,
        CHAT, //
    },
    driver::Driver,
    exchange::Shape,
    metrics::Name, //
};

const CHAT_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";

pub(super) struct Classify(pub(super) Arc<Driver>);

#[async_trait]
impl Handler for Classify {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let draft = depot.get_typed::<Draft>().ok().cloned().unwrap_or_default();
        let Some((_, workspace)) = &draft.workspace else {
            let denial = Denial::new(401, "unauthorized", "no workspace");
            return deny(&self.0, depot, res, ctrl, denial);
        };
        let config = self.0.config();
        if req.uri().path() == MODELS_PATH && req.method() == http::Method::GET {
            self.0.metrics.count(Name::Done, 1);
            answers::own(res, &draft.id, &models(&config, workspace));
            ctrl.skip_rest();
            return;
        }
        let part = Bytes::copy_from_slice(workspace.id.as_str().as_bytes());
        let held = self.0.bodies.reservation(&part);
        let result = match body::read(req, &self.0.settings.limits, draft.deadline, held).await {
            Ok(body) => self.work(&config, workspace, req, &body).map(|w| (body, w)),
            Err(denial) => Err(denial),
        };
        match (result, depot.get_typed_mut::<Draft>()) {
            (Ok((body, (work, shape))), Ok(draft)) => {
                draft.body = body;
                draft.work = Some(work);
                draft.shape = Some(shape);
            }
            (Err(denial), _) => deny(&self.0, depot, res, ctrl, denial),
            (Ok(_), Err(_)) => {}
        }
    }
}

impl Classify {
    fn work(
        &self,
        config: &Config,
        workspace: &Workspace,
        req: &Request,
        body: &Bytes,
    ) -> Result<(Work, Shape), Denial> {
        match req.uri().path() {
            CHAT_PATH if req.method() == http::Method::POST => {
                return self.chat(config, workspace, req, body);
            }
            CHAT_PATH => return Err(wrong_method(req, "POST")),
            MODELS_PATH => return Err(wrong_method(req, "GET")),
            _ => {}
        }
        call(config, workspace, req, body).map(|work| (work, Shape::Whole))
    }

    fn chat(
        &self,
        config: &Config,
        workspace: &Workspace,
        req: &Request,
        body: &Bytes,
    ) -> Result<(Work, Shape), Denial> {
        let chat: Chat<'_> =
            json::read(body).map_err(|e| Denial::new(400, "bad_request", format!("body: {e}")))?;
        let found = Id::try_from(chat.model.as_ref())
            .ok()
            .and_then(|id| config.models.key(&id));
        let Some(model) = found.filter(|m| workspace.models.contains(m)) else {
            let message = format!("model: {:?} is none of this workspace's", chat.model);
            return Err(Denial::new(404, "unknown_model", message));
        };
        let token = req.headers().get(CHAT);
        let token = token.and_then(|t| self.0.tokens.check(workspace.tag, t.as_bytes()));
        let prefix = token.map_or_else(|| chat.prefix(workspace.tag), |(prefix, _)| prefix);
        let shape = if chat.stream == Some(true) {
            Shape::Stream
        } else {
            Shape::Whole
        };
        Ok((
            Work::Chat {
                model,
                prefix,
                token: token.map(|(_, t)| t),
            },
            shape,
        ))
    }
}

fn call(
    config: &Config,
    workspace: &Workspace,
    req: &Request,
    body: &Bytes,
) -> Result<Work, Denial> {
    let path = req.uri().path().as_bytes();
    if !is_plain(req.uri().path()) {
        let message = "path: expected no '%', ';', '\\', '//', '/./' or '/../'";
        return Err(Denial::new(400, "bad_request", message));
    }
    let method = req.method();
    if method.as_str().contains(|c: char| c.is_ascii_lowercase()) {
        // Methods are case-sensitive (RFC 9110, section 9.1), but not every service knows: one that
        // takes `post` for `POST` would run again and again what the rules hold to once.
        let message = format!("method: found {method}, expected capital letters");
        return Err(Denial::new(400, "bad_request", message));
    }
    let found = config
        .service_at(path)
        .filter(|(key, _)| workspace.services.contains(key));
    let Some((key, service)) = found else {
        let message = "path: no service of this workspace is there";
        return Err(Denial::new(404, "not_found", message));
    };
    if !service.is_once(method.as_str().as_bytes(), path) {
        return Ok(Work::Plain {
            service: key,
            idempotent: method.is_idempotent(),
        });
    }
    let uuid = key_header(req)?;
    Ok(Work::Once {
        service: key,
        key: Key {
            workspace: workspace.tag,
            uuid: uuid.as_u128(),
        },
        content: content(req, body),
    })
}

/// Gets the idempotency key of a call that runs at most once.
fn key_header(req: &Request) -> Result<uuid::Uuid, Denial> {
    let mut values = req.headers().get_all("idempotency-key").iter();
    let Some(value) = values.next() else {
        let message = "idempotency-key: expected a UUIDv7, for this call runs at most once";
        return Err(Denial::new(400, "key_required", message));
    };
    if values.next().is_some() {
        // Of two keys, another part of the way could take the other one.
        let message = "idempotency-key: found several, expected one";
        return Err(Denial::new(400, "bad_key", message));
    }
    key(value).ok_or_else(|| {
        let message = "idempotency-key: expected a UUIDv7 (RFC 9562)";
        Denial::new(400, "bad_key", message)
    })
}

/// Reads an idempotency key; `None` when it is no UUIDv7 (RFC 9562).
pub(super) fn key(value: &http::HeaderValue) -> Option<uuid::Uuid> {
    let text = value.to_str().ok()?.trim_matches('"');
    let uuid = uuid::Uuid::try_parse(text).ok();
    uuid.filter(|u| u.get_version_num() == 7)
}

fn wrong_method(req: &Request, right: &'static str) -> Denial {
    let message = format!("method: found {}, expected {right}", req.method());
    let mut denial = Denial::new(405, "bad_request", message);
    denial.allow = Some(right);
    denial
}

/// Tells whether a path has one spelling only. The rules for calls that run at most once compare
/// bytes: a service that takes `/orders/./new` or `/%6Frders` for `/orders/new` would run, again
/// and again, what the rules were to hold to once.
fn is_plain(path: &str) -> bool {
    let odd = |part: &str| part.is_empty() || part == "." || part == "..";
    let inner = path.strip_prefix('/').unwrap_or(path);
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    !path.contains(['%', '\\', ';'])
        && !path.contains("//")
        && (inner.is_empty() || !inner.split('/').any(odd))
}

/// Hashes what makes two requests the same: method, path, query and body.
fn content(req: &Request, body: &Bytes) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let target = req.uri().path_and_query().map_or("", |p| p.as_str());
    for part in [req.method().as_str().as_bytes(), target.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

fn models(config: &Config, workspace: &Workspace) -> serde_json::Value {
    let model = |key: &_| {
        let found = config.models.get(*key)?;
        Some(serde_json::json!({ "id": found.id.as_str(), "object": "model" }))
    };
    let data: Vec<_> = workspace.models.iter().filter_map(model).collect();
    serde_json::json!({ "object": "list", "data": data })
}
