//! Boundaries between the events of a `text/event-stream`, as the HTML standard parses them.

const BYTE_ORDER_MARK: [u8; 3] = [0xEF, 0xBB, 0xBF];
const LINE_FEED: u8 = b'\n';
const CARRIAGE_RETURN: u8 = b'\r';

/// Content of the current line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    Empty,
    /// Only spaces and tabs so far, which no parser takes for a field.
    Blank,
    Comment,
    Field,
}

/// Reads the bytes of an event stream and tells whether they end between two events. Its size is
/// constant.
#[derive(Clone, Debug)]
pub struct EventStreamScanner {
    line: Line,
    /// Whether the current event has a complete field.
    is_event_open: bool,
    /// Whether a blank line has ended an event.
    has_event: bool,
    /// Whether the last byte was a carriage return.
    after_carriage_return: bool,
    /// Whether a line has ended with a carriage return and a line feed.
    uses_two_byte_line_ends: bool,
    /// Number of bytes of the byte order mark that have been read; all of them once other bytes
    /// follow.
    mark_bytes: usize,
}

impl Default for EventStreamScanner {
    fn default() -> Self {
        Self {
            line: Line::Empty,
            is_event_open: false,
            has_event: false,
            after_carriage_return: false,
            uses_two_byte_line_ends: false,
            mark_bytes: 0,
        }
    }
}

impl EventStreamScanner {
    /// Reads the next bytes.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.read_byte(*byte);
        }
    }

    /// Whether the bytes so far end between two events, or inside a comment or blanks between
    /// them.
    pub fn is_between_events(&self) -> bool {
        let is_mark_partial = (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes);
        let lacks_line_feed = self.after_carriage_return && self.uses_two_byte_line_ends;
        !self.is_event_open && self.line != Line::Field && !is_mark_partial && !lacks_line_feed
    }

    /// Whether the bytes contain a complete event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    fn read_byte(&mut self, byte: u8) {
        if self.mark_bytes < BYTE_ORDER_MARK.len() {
            if byte == BYTE_ORDER_MARK[self.mark_bytes] {
                self.mark_bytes += 1;
                return;
            }
            if self.mark_bytes > 0 {
                self.line = Line::Field;
            }
            self.mark_bytes = BYTE_ORDER_MARK.len();
        }
        let is_second_of_line_end = self.after_carriage_return && byte == LINE_FEED;
        self.after_carriage_return = byte == CARRIAGE_RETURN;
        if is_second_of_line_end {
            self.uses_two_byte_line_ends = true;
            return;
        }
        match byte {
            LINE_FEED | CARRIAGE_RETURN => self.end_line(),
            _ => self.line = next_line_state(self.line, byte),
        }
    }

    fn end_line(&mut self) {
        match self.line {
            Line::Empty => {
                self.has_event |= self.is_event_open;
                self.is_event_open = false;
            }
            Line::Field => self.is_event_open = true,
            Line::Blank | Line::Comment => {}
        }
        self.line = Line::Empty;
    }
}

fn next_line_state(line: Line, byte: u8) -> Line {
    match (line, byte) {
        (Line::Empty, b':') => Line::Comment,
        (Line::Empty | Line::Blank, b' ' | b'\t') => Line::Blank,
        (Line::Comment, _) => Line::Comment,
        _ => Line::Field,
    }
}
