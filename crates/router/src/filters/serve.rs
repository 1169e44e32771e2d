//! The end of the chain: hands the request to its task and writes the final answer.

use std::sync::Arc;

use salvo::prelude::{
    Depot,
    FlowCtrl,
    Handler,
    Request,
    Response,
    async_trait, //
};
use tokio_util::sync::CancellationToken;
use toucanturn_core::request::{
    self,
    Code,
    Origin,
    Refusal, //
};

use super::Draft;
use crate::{
    answers::{
        self,
        Meta,
        Reply, //
    },
    driver::Driver,
    exchange::{
        Exchange,
        Shape, //
    },
};

pub(super) struct Serve(pub(super) Arc<Driver>);

#[async_trait]
impl Handler for Serve {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Ok(draft) = depot.get_typed::<Draft>().cloned() else {
            return;
        };
        let id = draft.id.clone();
        let Some(exchange) = exchange(req, draft) else {
            return;
        };
        let gone = CancellationToken::new();
        let guard = gone.clone().drop_guard();
        let answer = self.0.start(exchange, gone).await;
        // A task that ended without a word is a fault of the program; the caller still gets an
        // answer, and one that promises nothing.
        let reply = answer.unwrap_or_else(|_| Reply::Refused {
            refusal: Refusal::unknown(Code::EndpointFailed, None),
            meta: Meta::default(),
        });
        answers::write(res, &id, reply, guard);
    }
}

fn exchange(req: &Request, draft: Draft) -> Option<Exchange> {
    let (key, workspace) = draft.workspace?;
    let target = req
        .uri()
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .to_owned();
    Some(Exchange {
        id: draft.id,
        method: req.method().clone(),
        path: target,
        content_type: req.headers().get(http::header::CONTENT_TYPE).cloned(),
        body: draft.body,
        shape: draft.shape.unwrap_or(Shape::Whole),
        workspace: workspace.tag,
        request: request::Request {
            origin: Origin::Caller,
            workspace: key,
            priority: draft.priority,
            work: draft.work?,
            deadline: draft.deadline,
        },
    })
}
