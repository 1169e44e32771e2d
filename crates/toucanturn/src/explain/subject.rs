//! What is explained: the request that the command line names, in the core's types.

use std::sync::Arc;

use toucanturn_core::{
    arena::ModelKey,
    config::{
        Config,
        Workspace, //
    },
    ids::{
        Id,
        Tag, //
    },
    request::{
        Key,
        Prefix,
        Token,
        Work, //
    },
    units::Incarnation, //
};

use super::chat;
use crate::{
    args::Explain,
    errors::{
        Error,
        Result,
        UnknownSnafu,
        ValueSnafu, //
    },
};

/// Methods that may be sent again after bytes have left (RFC 9110, section 9.2.2).
const IDEMPOTENT: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/// `Subject` is the request to explain.
#[derive(Debug)]
pub(super) struct Subject {
    /// The workspace that it is charged to.
    pub(super) workspace: Arc<Workspace>,
    /// What it asks for.
    pub(super) work: Work,
}

impl Subject {
    /// Reads the request from the command line.
    pub(super) fn new(config: &Config, args: &Explain) -> Result<Self> {
        let name = args.workspace.as_deref();
        let name = name.ok_or_else(|| Error::usage("explain: expected --workspace NAME"))?;
        let key = find("workspace", name, config.workspaces.names())?;
        let found = config.workspaces.get(key);
        let workspace = Arc::clone(found.ok_or_else(|| unknown("workspace", name, ""))?);
        let work = match (&args.model, &args.service_path) {
            (Some(model), None) => chat(config, &workspace, args, model)?,
            (None, Some(path)) => call(config, &workspace, args, path)?,
            _ => {
                let message = "explain: expected either --model NAME or --service-path PATH";
                return Err(Error::usage(message));
            }
        };
        Ok(Self { workspace, work })
    }
}

fn chat(config: &Config, workspace: &Workspace, args: &Explain, model: &str) -> Result<Work> {
    if args.key.is_some() {
        return Err(Error::usage("explain: --key goes with --service-path"));
    }
    let allowed = |(_, key): &(&Id, ModelKey)| workspace.models.contains(key);
    let key = find(
        "model of the workspace",
        model,
        config.models.names().filter(allowed),
    )?;
    let prefix = match (&args.prefix, &args.chat) {
        (Some(hex), None) => hexadecimal(hex)?,
        (None, Some(text)) => chat::prefix(workspace.tag, model, text),
        _ => {
            return Err(Error::usage(
                "explain: expected either --prefix HEX or --chat TEXT",
            ));
        }
    };
    let engine = |name: &String| -> Result<Tag> {
        let key = find("endpoint", name, config.endpoints.names())?;
        Ok(config
            .endpoints
            .get(key)
            .map_or_else(|| Tag::of(name.as_bytes()), |e| e.tag))
    };
    let before = args.token_before.as_ref().map(engine).transpose()?;
    let token = match args.token_last.as_ref().map(engine).transpose()? {
        Some(last) => Some(Token {
            last,
            incarnation: Incarnation::default(),
            before,
        }),
        None if before.is_some() => {
            return Err(Error::usage(
                "explain: --token-before goes with --token-last",
            ));
        }
        None => None,
    };
    Ok(Work::Chat {
        model: key,
        prefix,
        token,
    })
}

fn call(config: &Config, workspace: &Workspace, args: &Explain, path: &str) -> Result<Work> {
    let chat = [
        &args.prefix,
        &args.chat,
        &args.token_last,
        &args.token_before,
    ];
    if chat.iter().any(|option| option.is_some()) {
        let message = "explain: --prefix, --chat and the token options go with --model";
        return Err(Error::usage(message));
    }
    let allowed = |key| workspace.services.contains(&key);
    let found = config
        .service_at(path.as_bytes())
        .filter(|(key, _)| allowed(*key));
    let Some((service, about)) = found else {
        let services = config.services.iter().filter(|(key, _)| allowed(*key));
        let paths = services.map(|(_, s)| String::from_utf8_lossy(&s.path).into_owned());
        let known = paths.collect::<Vec<_>>().join(", ");
        return Err(unknown("path of the workspace's services", path, &known));
    };
    let method = args.method.to_ascii_uppercase();
    if !about.is_once(method.as_bytes(), path.as_bytes()) {
        let idempotent = IDEMPOTENT.contains(&method.as_str());
        return Ok(Work::Plain {
            service,
            idempotent,
        });
    }
    let Some(text) = &args.key else {
        let message = format!("explain: {method} {path} runs at most once, expected --key UUID");
        return Err(Error::usage(message));
    };
    let key = Key {
        workspace: workspace.tag,
        uuid: uuid(text)?,
    };
    // The content decides whether a repeat is one; it has no part in where the first one goes.
    let content = 0;
    Ok(Work::Once {
        service,
        key,
        content,
    })
}

/// Gets what has a name, or says which names there are.
pub(super) fn find<'a, K>(
    what: &'static str,
    name: &str,
    names: impl Iterator<Item = (&'a Id, K)>,
) -> Result<K> {
    let mut known = Vec::new();
    for (id, key) in names {
        if id.as_str() == name {
            return Ok(key);
        }
        known.push(id.as_str());
    }
    Err(unknown(what, name, &known.join(", ")))
}

fn unknown(what: &'static str, name: &str, known: &str) -> Error {
    let known = if known.is_empty() { "none" } else { known };
    UnknownSnafu { what, name, known }.build()
}

fn hexadecimal(text: &str) -> Result<Prefix> {
    let plain = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let value = u64::from_str_radix(text, 16).ok().filter(|_| plain);
    let context = ValueSnafu {
        what: "--prefix",
        expected: "1 to 16 hexadecimal digits",
        found: text,
    };
    value.map(Prefix).ok_or_else(|| context.build())
}

fn uuid(text: &str) -> Result<u128> {
    let parsed = uuid::Uuid::try_parse(text).ok();
    let context = ValueSnafu {
        what: "--key",
        expected: "a UUIDv7 (RFC 9562)",
        found: text,
    };
    let seventh = parsed.filter(|u| u.get_version_num() == 7);
    seventh.map(|u| u.as_u128()).ok_or_else(|| context.build())
}
