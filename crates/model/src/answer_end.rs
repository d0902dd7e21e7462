//! How the answer of a back end ended.

/// How the answer of a back end ended, as far as its framing, its content and the back end's
/// process tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerEnd {
    /// Complete by its framing, and by its content if that tells.
    Whole,
    /// Without framing of its own: its connection was closed in order, and nothing else says that
    /// it is incomplete.
    WholeByClose,
    /// The content ended inside an event.
    InsideEvent,
    /// Without framing of its own, and without any event.
    WithoutEvents,
    /// The connection failed, or was closed before the end that the framing tells.
    ConnectionLost,
    /// Without framing of its own: its connection was closed in order, but the back end's process
    /// is gone.
    BackendGone,
    /// The answer did not end by its deadline.
    Deadline,
}

impl AnswerEnd {
    /// Whether the answer is complete.
    pub fn is_whole(self) -> bool {
        matches!(self, AnswerEnd::Whole | AnswerEnd::WholeByClose)
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AnswerEnd::Whole => "whole",
            AnswerEnd::WholeByClose => "whole_by_close",
            AnswerEnd::InsideEvent => "inside_event",
            AnswerEnd::WithoutEvents => "without_events",
            AnswerEnd::ConnectionLost => "connection_lost",
            AnswerEnd::BackendGone => "backend_gone",
            AnswerEnd::Deadline => "deadline",
        }
    }
}
