//! The log lines of what the filters refuse.

use googletest::prelude::*;

use crate::{
    capture::{
        self,
        Line, //
    },
    rig::{
        MAIN,
        Rig,
        chat_body, //
    },
};

const TEXT: &str = "my vitamin box is late";
const WRONG: &str = "vb_live_wrong_key";

/// Gets the router's lines while `drive` runs. One thread, so that the capture sees every task.
fn lines(drive: impl Future<Output = ()>) -> Vec<Line> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let mut lines = capture::lines(|| runtime.block_on(drive));
    lines.retain(|l| l.target == toucanturn_router::events::TARGET);
    lines
}

/// Symptom: a caller says that it was refused, and no line of the log knows its request. Cause: a
/// filter that ends the chain before the decisions, which write the lines, hear of the request. A
/// line must not show the key that was wrong, nor the text.
#[gtest]
fn verify_a_refusal_by_a_filter_has_its_line() {
    let lines = lines(async {
        let rig = Rig::start().await;
        let body = serde_json::json!({"model": TEXT, "messages": [TEXT]});
        rig.chat(WRONG, &[("x-request-id", "wrong-key")], &body)
            .await;
        rig.chat(MAIN, &[("x-request-id", "no-model")], &body).await;
        let order = ("authorization", "Bearer key-of-main");
        let id = ("x-request-id", "no-key");
        let key = ("idempotency-key", WRONG);
        rig.call("POST", "/orders", &[order, id, key], TEXT).await;
    });
    let denied: Vec<_> = lines.iter().filter(|l| l.field("event") == "108").collect();
    let of = |l: &&Line| {
        let field = |name| l.field(name).to_owned();
        (field("request_id"), field("status"), field("code"))
    };
    let got: Vec<_> = denied.iter().map(of).collect();
    let line = |id: &str, status: &str, code: &str| (id.into(), status.into(), code.into());
    expect_that!(
        got,
        eq(&vec![
            line("wrong-key", "401", "unauthorized"),
            line("no-model", "404", "unknown_model"),
            line("no-key", "400", "bad_key"),
        ])
    );
    for line in &lines {
        for (field, value) in &line.fields {
            for secret in [TEXT, WRONG, MAIN] {
                let shown = value.contains(secret);
                expect_that!(shown, eq(false), "{secret:?} in {field} of {line:?}");
            }
        }
    }
}

/// Symptom: endpoints that leave get new work for long, and the log doesn't say why. Cause: the
/// list of VMs can't be read, without a word.
#[gtest]
fn verify_an_unread_vm_list_has_its_line() {
    let lines = lines(async {
        let rig = Rig::start().await;
        rig.platform_fault("rubbish").await;
        tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
        let chat = rig.chat(MAIN, &[], &chat_body("assistant")).await;
        expect_that!(chat.status, eq(200));
    });
    let unread: Vec<_> = lines.iter().filter(|l| l.field("event") == "304").collect();
    expect_that!(unread, not(is_empty()));
    for line in unread {
        expect_that!(line.level, eq(tracing::Level::WARN));
        expect_that!(line.field("label"), eq("vms_unread"));
        expect_that!(line.field("error"), not(eq("")));
    }
}
