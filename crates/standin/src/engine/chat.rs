//! The chat call, from the first look at its headers to the last byte of its answer.

use crate::{
    endpoint,
    engine::{
        Engine,
        answer::Answer,
        generation::{
            Generation,
            Step, //
        },
        messages::{
            Chunk,
            Completion,
            Request as Body, //
        },
    },
    fault::{
        Fault,
        Mode, //
    },
    http,
    sync::lock,
    truth::Run,
};
use bytes::Bytes;
use futures_util::{
    Stream,
    stream, //
};
use salvo::{
    Request, Response,
    conn::ConnCtrl,
    handler,
    http::{
        HeaderValue,
        ResBody,
        StatusCode,
        header::CONTENT_TYPE, //
    },
};
use std::{
    io,
    sync::Arc, //
};

/// `Chat` is the chat-completions call.
pub(super) struct Chat(pub(super) Arc<Engine>);

/// `Ask` is a request that has been read and is going to run.
struct Ask {
    answer: Arc<Answer>,
    run: Run,
    prefix: Option<String>,
    priority: u8,
    /// The first chunk to send.
    from: usize,
}

/// `Shape` is how the answer is to be sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Shape {
    Whole,
    Streamed,
}

#[handler]
impl Chat {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let endpoint = &self.0.endpoint;
        let resumes = req.headers().contains_key("x-resume-from");
        if endpoint.is_leaving() && !resumes {
            endpoint.turn_away(req, res);
            return;
        }
        let fault = endpoint.faults.take();
        if fault.mode == Mode::Refuse {
            conn.abort();
            return;
        }
        let Some(body) = http::body::<Body>(req, res).await else {
            return;
        };
        if !endpoint::before_work(fault, conn).await {
            return;
        }
        let shape = if body.stream {
            Shape::Streamed
        } else {
            Shape::Whole
        };
        let Some(ask) = self.ask(req, res, &body) else {
            return;
        };
        let Some(generation) = self.admit(ask, res, fault).await else {
            return;
        };
        self.send(generation, shape, res, conn, fault).await;
    }
}

impl Chat {
    /// Takes the request up, new or resumed, or answers why not.
    fn ask(&self, req: &Request, res: &mut Response, body: &Body) -> Option<Ask> {
        let endpoint = &self.0.endpoint;
        let record = endpoint.record(req);
        let (prefix, priority) = (record.prefix.clone(), record.priority);
        endpoint.set_headers(res, &record.id);
        if let Some(from) = http::parsed_header::<usize>(req, "x-resume-from") {
            let resumed = self.resume(&record.id);
            let Some((answer, run)) = resumed else {
                http::fail(res, StatusCode::GONE, "the answer isn't kept");
                return None;
            };
            return Some(Ask {
                answer,
                run,
                prefix,
                priority,
                from,
            });
        }
        if !lock(&self.0.deployment).has_model(&body.model) {
            http::fail(res, StatusCode::NOT_FOUND, "no such model here");
            return None;
        }
        let answer = self.0.keep(Answer::new(&record.id, body));
        let run = endpoint.log.start(record);
        Some(Ask {
            answer,
            run,
            prefix,
            priority,
            from: 0,
        })
    }

    fn resume(&self, id: &str) -> Option<(Arc<Answer>, Run)> {
        let answer = self.0.kept(id)?;
        Some((answer, self.0.endpoint.log.resume(id)?))
    }

    /// Waits for a place in the batch, or answers why there's none.
    async fn admit(&self, ask: Ask, res: &mut Response, fault: Fault) -> Option<Generation> {
        let in_flight = self.0.endpoint.enter();
        let permit = tokio::select! {
            () = ask.run.cancel.cancelled() => {
                cancelled(res);
                return None;
            }
            permit = self.0.slots.acquire(ask.priority) => permit,
        };
        let Some(permit) = permit else {
            ask.run.turn_away();
            http::fail(res, StatusCode::SERVICE_UNAVAILABLE, "the queue is full");
            return None;
        };
        self.0.endpoint.set_headers(res, &ask.answer.id);
        let prefix = ask.prefix.as_deref();
        let mut generation =
            Generation::new(&self.0, ask.answer, prefix, ask.run, permit, in_flight);
        generation.next = ask.from;
        generation.slow_down(fault.delay_of(Mode::Slow));
        http::set_header(res, "x-cached-tokens", generation.cached_tokens);
        Some(generation)
    }

    async fn send(
        &self,
        mut generation: Generation,
        shape: Shape,
        res: &mut Response,
        conn: &ConnCtrl,
        fault: Fault,
    ) {
        let runs_first = matches!(
            fault.mode,
            Mode::SilentAfter | Mode::ResetAfter | Mode::Late | Mode::Error500
        );
        if shape == Shape::Whole || runs_first {
            let first = generation.next;
            if generation.finish().await == Step::Cancelled {
                cancelled(res);
                return;
            }
            generation.next = first;
        }
        if !endpoint::after_work(fault, conn, res).await {
            return;
        }
        if fault.mode == Mode::Crossed {
            generation.answer = self.other(&generation.answer);
            http::set_header(res, "x-request-id", &generation.answer.id);
        }
        match shape {
            Shape::Whole => whole(&generation.answer, res, fault),
            Shape::Streamed => streamed(generation, res, fault),
        }
    }

    /// Gets the answer to another request, made up when there was none.
    fn other(&self, answer: &Answer) -> Arc<Answer> {
        let other = self.0.endpoint.log.other_than(&answer.id);
        let kept = other.and_then(|other| self.0.kept(&other.id));
        kept.unwrap_or_else(|| Arc::new(answer.another()))
    }
}

fn cancelled(res: &mut Response) {
    http::fail(res, StatusCode::CONFLICT, "cancelled");
}

fn whole(answer: &Answer, res: &mut Response, fault: Fault) {
    http::answer(res, StatusCode::OK, &Completion::from(answer));
    if fault.mode == Mode::Truncate {
        http::cut(res);
    }
}

fn streamed(generation: Generation, res: &mut Response, fault: Fault) {
    res.status_code(StatusCode::OK);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    res.body(ResBody::stream(events(generation, fault.mode)));
}

/// `Sending` is how far a stream has got.
enum Sending {
    Chunks(Generation),
    Over,
}

/// Gets the server-sent events of an answer, broken or unended as the fault says.
fn events(generation: Generation, mode: Mode) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Sending::Chunks(generation), move |sending| async move {
        let Sending::Chunks(mut generation) = sending else {
            return None;
        };
        if mode == Mode::Truncate && generation.next >= generation.answer.tokens.len() / 2 {
            // The pause lets what was sent so far leave before the connection closes.
            tokio::task::yield_now().await;
            return Some((Err(http::broken()), Sending::Over));
        }
        match generation.step().await {
            Step::Token(number) => {
                let event = chunk_event(&generation.answer, number);
                Some((event, Sending::Chunks(generation)))
            }
            Step::End if mode == Mode::NoDone => None,
            Step::End => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), Sending::Over)),
            Step::Cancelled => None,
        }
    })
}

fn chunk_event(answer: &Answer, number: usize) -> io::Result<Bytes> {
    let chunk = Chunk::new(answer, number).ok_or_else(http::broken)?;
    let json = serde_json::to_string(&chunk)?;
    Ok(format!("id: {number}\ndata: {json}\n\n").into())
}
