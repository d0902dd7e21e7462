//! What it costs to look for a suspension of the machine, once a turn of a process's loop:
//! `cargo run --release -p silversail-daemon --example clock_cost`.

use silversail_daemon::clock::{now, SuspensionMonitor};
use std::hint::black_box;
use std::time::Instant;

const LOOKS: u32 = 2_000_000;
/// Turns a second of a busy node: an event each.
const TURNS_PER_SECOND: f64 = 2_000.0;

fn main() {
    let mut watch = SuspensionMonitor::start();
    let began = Instant::now();
    for _ in 0..LOOKS {
        black_box(watch.poll());
    }
    let look = began.elapsed() / LOOKS;
    let began = Instant::now();
    for _ in 0..LOOKS {
        black_box(now());
    }
    let read = began.elapsed() / LOOKS;
    let share = 2.0 * look.as_secs_f64() * TURNS_PER_SECOND * 100.0;
    println!("a look {look:?}, a read of the time {read:?}; {share:.4} % of a core at {TURNS_PER_SECOND} turns/s");
}
