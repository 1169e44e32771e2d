//! The catalogues of log events and metrics hold what the code has, and the code what they have.

#[path = "catalogue/bench.rs"]
mod bench;
#[path = "catalogue/capture.rs"]
mod capture;
#[path = "catalogue/decisions.rs"]
mod decisions;
#[path = "catalogue/events.rs"]
mod events;
#[path = "catalogue/metrics.rs"]
mod metrics;
#[path = "catalogue/page.rs"]
mod page;
#[path = "catalogue/placement.rs"]
mod placement;
#[path = "catalogue/requests.rs"]
mod requests;
#[path = "catalogue/secrets.rs"]
mod secrets;
#[path = "catalogue/source.rs"]
mod source;
