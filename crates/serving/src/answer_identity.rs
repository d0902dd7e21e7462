//! Whose answer an HTTP answer is: that to the request it was read for, or another.

/// Identifier that an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EchoedId {
    /// That of the request.
    Own,
    /// Another one.
    Other,
    /// None.
    Absent,
}

impl EchoedId {
    /// Compares the identifier that an answer names with that of the request.
    pub fn compare(echoed: Option<&str>, request: &str) -> Self {
        match echoed {
            None => EchoedId::Absent,
            Some(echoed) if echoed == request => EchoedId::Own,
            Some(_) => EchoedId::Other,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EchoedId::Own => "own",
            EchoedId::Other => "other",
            EchoedId::Absent => "none",
        }
    }
}
