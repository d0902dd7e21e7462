//! The boundaries between events, against a parser that reads the whole stream.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_http::EventStreamScanner;

const SEEDS: u64 = 2_000;
/// Fields, comments and blanks of random streams.
const LINES: [&str; 8] = [
    "",
    "",
    "id: 7",
    "data: text",
    "weight-versions: 3",
    ": comment",
    "  ",
    "data",
];

/// Verdict of the scanner after bytes that are read in the given pieces.
fn scan<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (bool, bool) {
    let mut scanner = EventStreamScanner::default();
    for piece in pieces {
        scanner.read(piece);
    }
    (scanner.is_between_events(), scanner.has_event())
}

/// Parses lines as the standard says. Returns whether the stream ends between two events, and
/// whether it has one.
fn parse(text: &str) -> (bool, bool) {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let uses_two_byte_line_ends = text.contains("\r\n");
    let lacks_line_feed = uses_two_byte_line_ends && text.ends_with('\r');
    let normalized = text.replace("\r\n", "\n").replace('\r', "\n");
    let (mut is_open, mut has_event) = (false, false);
    let mut lines: Vec<&str> = normalized.split('\n').collect();
    let rest = lines.pop().unwrap_or_default();
    for line in lines {
        if line.is_empty() {
            has_event |= is_open;
            is_open = false;
        } else {
            is_open |= is_field(line);
        }
    }
    (!is_open && !is_field(rest) && !lacks_line_feed, has_event)
}

fn is_field(line: &str) -> bool {
    !line.starts_with(':') && !line.trim_matches([' ', '\t']).is_empty()
}

fn random_stream(random: &mut ChaCha8Rng) -> String {
    let mut text = String::new();
    if random.gen_bool(0.1) {
        text.push('\u{feff}');
    }
    for _ in 0..random.gen_range(0..14) {
        text.push_str(LINES.choose(random).expect("a line"));
        text.push_str(["\n", "\r", "\r\n"].choose(random).expect("a line end"));
    }
    if random.gen_bool(0.3) {
        text.push_str(LINES.choose(random).expect("a line"));
    }
    text
}

#[test]
fn any_split_of_a_stream_gives_the_verdict_of_a_parser_of_the_whole() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let text = random_stream(&mut random);
        let bytes = text.as_bytes();
        let expected = parse(&text);
        assert_eq!(scan([bytes]), expected, "seed {seed}: {text:?}");
        assert_eq!(scan(bytes.chunks(1)), expected, "seed {seed}: {text:?}");
        let split = random.gen_range(0..=bytes.len());
        let pieces = [&bytes[..split], &bytes[split..]];
        assert_eq!(scan(pieces), expected, "seed {seed}: {text:?} at {split}");
    }
}

#[test]
fn each_prefix_of_a_stream_gives_the_verdict_of_a_parser_of_the_prefix() {
    for seed in 0..SEEDS / 10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let text = random_stream(&mut random);
        let text = text.trim_start_matches('\u{feff}');
        for end in 0..=text.len() {
            let prefix = &text[..end];
            let verdict = scan([prefix.as_bytes()]);
            assert_eq!(verdict, parse(prefix), "seed {seed}: {prefix:?}");
        }
    }
}

#[rstest]
#[case::nothing(b"", true, false)]
#[case::an_event(b"data: a\n\n", true, true)]
#[case::a_field(b"id: 1", false, false)]
#[case::a_field_line(b"id: 1\n", false, false)]
#[case::without_its_blank_line(b"data: a\n\ndata: b\n", false, true)]
#[case::a_comment_after_an_event(b"data: a\n\n: com", true, true)]
#[case::blanks_after_an_event(b"data: a\n\n \t", true, true)]
#[case::between_the_bytes_of_a_line_end(b"data: a\r\n\r", false, true)]
#[case::lone_carriage_returns(b"data: a\r\r", true, true)]
#[case::half_a_byte_order_mark(b"\xEF\xBB", false, false)]
#[case::a_byte_order_mark(b"\xEF\xBB\xBF", true, false)]
#[case::a_comment_only(b": keep-alive\n\n", true, false)]
fn a_stream_is_whole_between_events_only(
    #[case] bytes: &[u8],
    #[case] is_between_events: bool,
    #[case] has_event: bool,
) {
    assert_eq!(scan([bytes]), (is_between_events, has_event));
}
