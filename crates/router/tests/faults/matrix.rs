//! The table: every fault at every step, and what is expected of each cell.

use strum::{
    EnumIter,
    IntoStaticStr, //
};

/// `Fault` is a row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fault {
    EndpointKilled,
    HomeKilled,
    EntryKilled,
    EndpointFrozen,
    HomeFrozen,
    EntryFrozen,
    EndpointCutBothWays,
    PeerCutBothWays,
    EndpointRequestsLost,
    EndpointAnswersLost,
    PeerRequestsLost,
    PeerAnswersLost,
    EndpointSilent,
    PeerSilent,
    EndpointSlow,
    PeerSlow,
    AnswerLate,
    AnswerCrossed,
    AnswerTruncated,
    ResetAfterRequest,
    EndpointLeaves,
    EndpointFlaps,
    EndpointReplaced,
    RouterReplaced,
    ServiceDown,
    ServiceStale,
    ServiceOlder,
    ServiceRubbish,
    VmListsDiffer,
    TwoPublishes,
    InvalidPublish,
    WorkspaceRemoved,
    EndpointRemoved,
    HomeFrozenAndReset,
    PeerCutAndServiceStale,
    EndpointKilledAndHomeKilled,
}

/// `Step` is a column of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Step {
    Connecting,
    Authenticating,
    Admitting,
    AskingPeer,
    BeforeFirstByteOut,
    RequestPartlySent,
    RequestSent,
    FirstByte,
    MidStream,
    LastByte,
    AnswerToCaller,
    Draining,
    Applying,
    Starting,
}

/// `Cell` says what is expected of a fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cell {
    /// The promises hold: the test of the row shows it.
    Holds,
    /// Nothing to test.
    CannotOccur(&'static str),
}

/// Gets the name of a row or column.
pub(crate) fn name(of: impl Into<&'static str>) -> &'static str {
    of.into()
}

const ANSWER_PASSED: &str = "the endpoint's answer has passed whole";
const NO_ROUTER: &str = "the entry router is the one that starts, there is no process to fail";

/// Gets what is expected of a cell.
pub(crate) fn cell(fault: Fault, step: Step) -> Cell {
    let of_answer = matches!(
        fault,
        Fault::AnswerLate
            | Fault::AnswerCrossed
            | Fault::AnswerTruncated
            | Fault::ResetAfterRequest
    );
    let of_entry = matches!(fault, Fault::EntryKilled | Fault::EntryFrozen);
    match step {
        Step::AnswerToCaller if of_answer => Cell::CannotOccur(ANSWER_PASSED),
        Step::Starting if of_entry => Cell::CannotOccur(NO_ROUTER),
        _ => Cell::Holds,
    }
}
