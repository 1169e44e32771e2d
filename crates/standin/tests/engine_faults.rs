//! Each fault of the engine stand-in goes wrong in just the way it says.

mod common;

use common::{
    Chat,
    SILENCE,
    client,
    fault,
    post,
    read_sse,
    states,
    url, //
};
use googletest::prelude::*;
use reqwest::{
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use toucanturn_standin::{
    engine::{
        self,
        Handle,
        Options, //
    },
    truth::State,
};

async fn start() -> Result<Handle> {
    Ok(engine::start(Options::default()).await?)
}

/// Sends a chat under a fault that concerns it alone.
async fn send(
    engine: &Handle,
    chat: &Chat,
    mode: &str,
    delay_ms: u64,
) -> Result<reqwest::Result<Response>> {
    fault(engine.control, mode, 1, delay_ms).await?;
    Ok(chat.request(engine.listen).timeout(SILENCE).send().await)
}

#[gtest]
#[tokio::test]
async fn verify_refuse_and_silent_before_never_run() -> Result<()> {
    let engine = start().await?;
    let refused = send(&engine, &Chat::whole("r1"), "refuse", 0).await?;
    verify_that!(refused.is_err_and(|error| !error.is_timeout()), eq(true))?;
    let silent = send(&engine, &Chat::whole("r2"), "silent_before", 0).await?;
    verify_that!(silent.is_err_and(|error| error.is_timeout()), eq(true))?;
    verify_that!(states(engine.control).await?, is_empty())
}

#[gtest]
#[tokio::test]
async fn verify_lost_answers_are_of_requests_that_ran() -> Result<()> {
    for (mode, times_out) in [
        ("silent_after", true),
        ("reset_after", false),
        ("late", true),
    ] {
        for chat in [Chat::whole("r1"), Chat::streamed("r1")] {
            let engine = start().await?;
            let lost = send(&engine, &chat, mode, 60_000).await?;
            verify_that!(
                lost.is_err_and(|error| error.is_timeout() == times_out),
                eq(true)
            )?;
            verify_that!(
                states(engine.control).await?,
                eq(&vec![("r1".into(), State::Done)])
            )?;
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn verify_late_answers_come_whole() -> Result<()> {
    let engine = start().await?;
    let chat = Chat::streamed("r1");
    let late = read_sse(send(&engine, &chat, "late", 20).await??).await?;
    verify_that!(late.tokens, eq(&chat.expected()))?;
    verify_that!(late.done, eq(true))
}

#[gtest]
#[tokio::test]
async fn verify_slow_delays_every_token() -> Result<()> {
    let engine = start().await?;
    let begun = std::time::Instant::now();
    let chat = Chat {
        tokens: 3,
        ..Chat::streamed("r1")
    };
    let slow = read_sse(send(&engine, &chat, "slow", 20).await??).await?;
    verify_that!(slow.tokens, eq(&chat.expected()))?;
    verify_that!(begun.elapsed().as_millis(), ge(60))
}

#[gtest]
#[tokio::test]
async fn verify_error_500_answers_after_the_run() -> Result<()> {
    let engine = start().await?;
    let failed = send(&engine, &Chat::streamed("r1"), "error_500", 0).await??;
    verify_that!(failed.status(), eq(StatusCode::INTERNAL_SERVER_ERROR))?;
    verify_that!(
        states(engine.control).await?,
        eq(&vec![("r1".into(), State::Done)])
    )
}

#[gtest]
#[tokio::test]
async fn verify_truncate_breaks_halfway_without_an_end_mark() -> Result<()> {
    let engine = start().await?;
    let chat = Chat::streamed("r1");
    let stream = read_sse(send(&engine, &chat, "truncate", 0).await??).await?;
    verify_that!((stream.broken, stream.done), eq((true, false)))?;
    verify_that!(stream.tokens, eq(&chat.expected()[..3]))?;
    let mut whole = send(&engine, &Chat::whole("r2"), "truncate", 0).await??;
    let half = whole.chunk().await?.or_fail()?;
    verify_that!(serde_json::from_slice::<Value>(&half), err(anything()))?;
    verify_that!(whole.chunk().await.is_err(), eq(true))
}

#[gtest]
#[tokio::test]
async fn verify_no_done_ends_in_good_order_without_the_mark() -> Result<()> {
    let engine = start().await?;
    let chat = Chat::streamed("r1");
    let stream = read_sse(send(&engine, &chat, "no_done", 0).await??).await?;
    verify_that!((stream.broken, stream.done), eq((false, false)))?;
    verify_that!(stream.tokens, eq(&chat.expected()))
}

#[gtest]
#[tokio::test]
async fn verify_crossed_answers_another_request() -> Result<()> {
    let engine = start().await?;
    let first = Chat {
        text: "when is my box due?",
        ..Chat::whole("r1")
    };
    first.request(engine.listen).send().await?;
    let crossed = send(&engine, &Chat::streamed("r2"), "crossed", 0).await??;
    verify_that!(crossed.headers()["x-request-id"].to_str()?, eq("r1"))?;
    let stream = read_sse(crossed).await?;
    verify_that!(stream.completion, eq("chatcmpl-r1"))?;
    verify_that!(stream.tokens, eq(&first.expected()))
}

#[gtest]
#[tokio::test]
async fn verify_a_fault_concerns_as_many_requests_as_it_says() -> Result<()> {
    let engine = start().await?;
    fault(engine.control, "error_500", 2, 0).await?;
    let mut statuses = Vec::new();
    for id in ["r1", "r2", "r3"] {
        statuses.push(
            Chat::whole(id)
                .request(engine.listen)
                .send()
                .await?
                .status()
                .as_u16(),
        );
    }
    verify_that!(statuses, eq(&vec![500, 500, 200]))
}

#[gtest]
#[tokio::test]
async fn verify_scope_all_silences_the_load_report_too() -> Result<()> {
    let engine = start().await?;
    let load = client().get(url(engine.listen, "v1/load")).timeout(SILENCE);
    fault(engine.control, "silent_before", 0, 0).await?;
    let again = load.try_clone().or_fail()?;
    verify_that!(load.send().await?.status(), eq(StatusCode::OK))?;
    post(
        engine.control,
        "fault",
        json!({"mode": "silent_before", "scope": "all"}),
    )
    .await?;
    verify_that!(
        again.send().await.is_err_and(|error| error.is_timeout()),
        eq(true)
    )
}
