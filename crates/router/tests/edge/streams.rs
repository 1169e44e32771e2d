//! Streams that break off, and callers that ask for the rest.

use googletest::prelude::*;
use serde_json::json;

use crate::{
    answer::Answer,
    rig::{
        MAIN,
        Rig,
        chat_body, //
    },
};

/// Number of the chunk after which a caller asks for the rest.
const RESUME_FROM: &str = "2";
/// Streams that break off while another engine could take them.
const BROKEN: u32 = 5;
/// Limit of the streams until so many have.
const MAX_STREAMS: usize = 500;

async fn stream(rig: &Rig, id: &str, fields: &[(&str, &str)]) -> Answer {
    let mut body = chat_body("assistant");
    body["stream"] = json!(true);
    // Engines are chosen by the prompt.
    body["messages"][0]["content"] = json!(id);
    let fields = [&[("x-request-id", id)], fields].concat();
    rig.chat(MAIN, &fields, &body).await
}

/// Checks that an answer is of one run from its first chunk on. Returns whether it is complete.
fn expect_one_run(answer: &Answer) -> bool {
    let text = String::from_utf8_lossy(&answer.body);
    expect_that!(answer.status, eq(200), "{text}");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    let count = u64::try_from(ids.len()).unwrap_or_default();
    expect_that!(ids, not(is_empty()), "{text}");
    expect_that!(ids, eq(&(0..count).collect::<Vec<_>>()), "{text}");
    let is_complete = text.contains("data: [DONE]");
    expect_that!(text.contains("event: error"), eq(!is_complete), "{text}");
    is_complete
}

/// Guards against answers that two engines, or two versions of one, have written: an answer of which a chunk has been passed
/// on is neither continued nor sent again, and engines are not asked for the rest of one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_an_answer_is_of_one_run_though_streams_break_off() {
    let rig = Rig::start().await;
    let truncate = json!({"mode": "truncate", "count": 2 * MAX_STREAMS});
    rig.engine_fault(truncate).await;
    rig.add_engine().await;
    let (mut broken, mut complete) = (0, 0);
    for n in 0..MAX_STREAMS {
        let id = format!("r{n}");
        if expect_one_run(&stream(&rig, &id, &[]).await) {
            complete += 1;
        } else {
            // What breaks off can be sent again once the other engine is known.
            broken += u32::from(complete > 0);
            // The engine has kept the answer: a resumed one would begin at the chunk asked for.
            let fields = [("x-resume-from", RESUME_FROM)];
            expect_one_run(&stream(&rig, &id, &fields).await);
        }
        if broken == BROKEN {
            break;
        }
    }
    expect_that!(broken, eq(BROKEN));
    let resumed: u32 = rig.chats().await.iter().map(|r| r.resumes).sum();
    expect_that!(resumed, eq(0));
}
