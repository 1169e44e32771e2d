//! Moves a prefix's KV cache from one engine to another.
//!
//! An import is advice: where it fails or takes too long, the engine computes the prompt again.

use std::{
    sync::Arc,
    time::Duration, //
};

use toucanturn_core::{
    config::Endpoint,
    request::Prefix, //
};

use crate::{
    driver::Driver,
    events, //
};

/// Time that an import may take; a prompt is computed again in about that time.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Imports at once that no request waits for; more are dropped.
pub(crate) const BACKGROUND: usize = 32;

/// `Import` is one move of a prefix.
#[derive(Clone, Debug)]
pub(crate) struct Import {
    /// The prefix.
    pub(crate) prefix: Prefix,
    /// Engine that holds it.
    pub(crate) from: Arc<Endpoint>,
    /// Engine that is to hold it.
    pub(crate) to: Arc<Endpoint>,
}

/// Has the engine import the prefix and waits for it.
pub(crate) async fn run(driver: &Driver, import: &Import) {
    let url = format!("http://{}/v1/cache/import", import.to.address);
    let body = serde_json::json!({
        "prefix": format!("{:016x}", import.prefix.0),
        "from": import.from.address,
    });
    let request = driver.control.post(url).timeout(IMPORT_TIMEOUT).json(&body);
    let answer = request
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    if let Err(error) = answer {
        events::not_imported(&import.from.id, &import.to.id, &error);
    }
}

/// Starts an import that no request waits for.
pub(crate) fn start(driver: &Arc<Driver>, import: Import) {
    let Ok(permit) = Arc::clone(&driver.imports).try_acquire_owned() else {
        return;
    };
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        run(&driver, &import).await;
        drop(permit);
    });
}
