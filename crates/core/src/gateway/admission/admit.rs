//! Admission: the route, the key and the service of a request.

use std::sync::Arc;

use crate::{
    gateway::{
        Catalog, Gateway, Ticket,
        attempt::due,
        catalog::{
            Found,
            Workspace, //
        },
        incoming_request::IncomingRequest,
        refusal::{
            Cause,
            Refusal, //
        },
        route::Route,
        stop::Span,
    },
    units::Time, //
};

impl Gateway {
    /// Admits a request, or refuses it.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets immediately.
    pub fn admit(
        &mut self,
        now: Time,
        incoming_request: &IncomingRequest,
    ) -> Result<Ticket, Refusal> {
        let Some(catalog) = self.catalog.clone() else {
            return Err(Refusal::temporary(Cause::NotReady));
        };
        let (route, workspace) = self.find(now, &catalog, incoming_request)?;
        let (_, until) = due(now, route, incoming_request);
        if self.outlasts_stop(now, route, &Span::of(now, until, incoming_request)) {
            return Err(Refusal::temporary(Cause::Stopping));
        }
        let draw = self.draw();
        let Some(service) = route.service(draw) else {
            return Err(Refusal::temporary(Cause::NoEndpoint));
        };
        let window = self.bounds.retry.window;
        self.budget(&service).record_request(now, window);
        let version = catalog.version;
        let ticket = Ticket::new(now, version, route, service, workspace, incoming_request);
        Ok(Ticket {
            owner: self.prefill.next_owner(),
            ..ticket
        })
    }

    /// Gets the refusal of a request that no configuration in force allows, whatever its body is.
    pub fn refusal_of_head(
        &self,
        now: Time,
        incoming_request: &IncomingRequest,
    ) -> Option<Refusal> {
        let found = self.find(now, self.catalog.as_ref()?, incoming_request);
        found.err().filter(|refusal| !refusal.retryable)
    }

    /// Finds the route of a request, and the workspace that holds its key.
    fn find<'a>(
        &self,
        now: Time,
        catalog: &'a Catalog,
        incoming_request: &IncomingRequest,
    ) -> Result<(&'a Arc<Route>, Option<Arc<Workspace>>), Refusal> {
        if !self.proof.covers_routes(now, &self.bounds) {
            return Err(Refusal::temporary(Cause::Stale));
        }
        let unusable = || Refusal::temporary(Cause::UnusableConfiguration);
        let route = match catalog.find_route(&incoming_request.host, &incoming_request.path) {
            Found::Usable(route) => route,
            Found::Unusable => return Err(unusable()),
            Found::Nothing => return Err(Refusal::permanent(Cause::UnknownRoute)),
        };
        let key = incoming_request.key.as_ref();
        let workspace = match key.map_or(Found::Nothing, |key| catalog.find_holder(key)) {
            Found::Usable(workspace) => Some(Arc::clone(workspace)),
            _ if route.anonymous || !catalog.has_workspaces() => None,
            Found::Unusable => return Err(unusable()),
            Found::Nothing => return Err(Refusal::permanent(Cause::UnknownKey)),
        };
        Ok((route, workspace))
    }
}
