//! The phases of one request: which of them can start, and which results they hold.

use crate::Millis;
use silversail_model::traffic::PhaseSpec;
use silversail_peer::{PieceSource, ResultHandle, WorkId};

#[derive(Clone, Debug, PartialEq, Eq)]
enum PhaseState {
    /// The request has no pieces for it.
    Skipped,
    /// Not submitted yet.
    Waiting,
    /// Submitted as an order.
    Submitted(WorkId),
    /// Done; the results are kept until they are freed.
    Completed(Vec<ResultHandle>),
}

struct Phase {
    after: Vec<usize>,
    pieces: u32,
    state: PhaseState,
    submitted_at: Millis,
    /// Expected duration in milliseconds when the request was admitted.
    forecast_ms: Option<u64>,
    /// Number of its order, if it was announced.
    announced: Option<WorkId>,
}

/// The phases of one request.
pub(super) struct PhaseSet {
    phases: Vec<Phase>,
    late_start: bool,
}

impl PhaseSet {
    /// Creates the phases of a route with the request's numbers of pieces. With `late_start`,
    /// phases off the critical path start later.
    pub(super) fn new(specs: &[PhaseSpec], pieces: &[u32], late_start: bool) -> Self {
        let phases = specs
            .iter()
            .enumerate()
            .map(|(number, spec)| {
                let pieces = pieces.get(number).copied().unwrap_or_default();
                let state = match pieces {
                    0 => PhaseState::Skipped,
                    _ => PhaseState::Waiting,
                };
                Phase {
                    after: spec.after.clone(),
                    pieces,
                    state,
                    submitted_at: 0,
                    forecast_ms: None,
                    announced: None,
                }
            })
            .collect();
        Self { phases, late_start }
    }

    pub(super) fn pieces(&self, phase: usize) -> u32 {
        self.phases[phase].pieces
    }

    fn is_over(&self, phase: usize) -> bool {
        let state = &self.phases[phase].state;
        matches!(state, PhaseState::Skipped | PhaseState::Completed(_))
    }

    pub(super) fn all_done(&self) -> bool {
        (0..self.phases.len()).all(|phase| self.is_over(phase))
    }

    /// Phases that can start now. A result uses memory until it is consumed, so a phase off the
    /// critical path starts only when the remainder of that path is no longer than its own.
    pub(super) fn startable(&self) -> Vec<usize> {
        let unfinished = (0..self.phases.len()).filter(|phase| !self.is_over(*phase));
        let longest = unfinished
            .clone()
            .map(|phase| self.phases_after(phase))
            .max()
            .unwrap_or_default();
        unfinished
            .filter(|phase| self.phases[*phase].state == PhaseState::Waiting)
            .filter(|phase| !self.late_start || self.phases_after(*phase) >= longest)
            .filter(|phase| {
                let mut before = self.phases[*phase].after.iter();
                before.all(|before| self.is_over(*before))
            })
            .collect()
    }

    /// Start and end of each phase if none has started yet, in milliseconds from now. `end_of`
    /// returns the end of a phase that starts at a given time.
    fn expected_times(&self, end_of: impl Fn(usize, u64) -> u64) -> Vec<(u64, u64)> {
        let mut times: Vec<(u64, u64)> = Vec::with_capacity(self.phases.len());
        for (number, phase) in self.phases.iter().enumerate() {
            let before = phase.after.iter().filter_map(|before| times.get(*before));
            let begin = before.map(|(_, end)| *end).max().unwrap_or_default();
            let end = match phase.state {
                PhaseState::Skipped => begin,
                _ => end_of(number, begin),
            };
            times.push((begin, end));
        }
        times
    }

    /// End of the last phase by [`PhaseSet::expected_times`]; none without phases.
    pub(super) fn expected_end(&self, end_of: impl Fn(usize, u64) -> u64) -> Option<u64> {
        let is_present = |phase: &Phase| phase.state != PhaseState::Skipped;
        let has_phases = self.phases.iter().any(is_present);
        let ends = self.expected_times(end_of).into_iter().map(|(_, end)| end);
        ends.max().filter(|_| has_phases)
    }

    /// Stores the expected duration of each phase by [`PhaseSet::expected_times`].
    pub(super) fn set_forecasts(&mut self, end_of: impl Fn(usize, u64) -> u64) {
        let times = self.expected_times(end_of);
        for (phase, (begin, end)) in self.phases.iter_mut().zip(times) {
            phase.forecast_ms = Some(end - begin).filter(|forecast| *forecast > 0);
        }
    }

    /// Expected duration of a phase in milliseconds; none if unknown.
    pub(super) fn forecast_ms(&self, phase: usize) -> Option<u64> {
        self.phases[phase].forecast_ms
    }

    /// Phases that have neither started nor been announced.
    pub(super) fn to_announce(&self) -> Vec<usize> {
        let phases = self.phases.iter().enumerate();
        phases
            .filter(|(_, phase)| phase.state == PhaseState::Waiting && phase.announced.is_none())
            .map(|(number, _)| number)
            .collect()
    }

    pub(super) fn announced(&mut self, phase: usize, work: WorkId) {
        self.phases[phase].announced = Some(work);
    }

    /// Takes the order number of an announced phase.
    pub(super) fn take_announced(&mut self, phase: usize) -> Option<WorkId> {
        self.phases[phase].announced.take()
    }

    pub(super) fn submitted(&mut self, phase: usize, work: WorkId, now: Millis) {
        self.phases[phase].state = PhaseState::Submitted(work);
        self.phases[phase].submitted_at = now;
    }

    pub(super) fn took_ms(&self, phase: usize, now: Millis) -> u64 {
        now.saturating_sub(self.phases[phase].submitted_at)
    }

    pub(super) fn complete(&mut self, phase: usize, handles: Vec<ResultHandle>) {
        self.phases[phase].state = PhaseState::Completed(handles);
    }

    /// Source of the pieces of a phase.
    pub(super) fn source(&self, phase: usize, key: &str) -> PieceSource {
        let results = self.results_of(self.phases[phase].after.iter().copied());
        if results.is_empty() {
            PieceSource::Key(key.to_owned())
        } else {
            PieceSource::Results(results)
        }
    }

    fn results_of(&self, phases: impl Iterator<Item = usize>) -> Vec<ResultHandle> {
        let states = phases.map(|phase| &self.phases[phase].state);
        states
            .filter_map(|state| match state {
                PhaseState::Completed(handles) => Some(handles.clone()),
                _ => None,
            })
            .flatten()
            .collect()
    }

    /// Phases of this request that use the results of `phase`.
    fn followers(&self, phase: usize) -> impl Iterator<Item = &Phase> {
        let phases = self.phases.iter();
        phases.filter(move |follower| {
            follower.after.contains(&phase) && follower.state != PhaseState::Skipped
        })
    }

    /// Length of the longest chain of phases after `phase`.
    pub(super) fn phases_after(&self, phase: usize) -> usize {
        (phase + 1..self.phases.len())
            .filter(|later| self.phases[*later].after.contains(&phase))
            .filter(|later| self.phases[*later].state != PhaseState::Skipped)
            .map(|later| 1 + self.phases_after(later))
            .max()
            .unwrap_or_default()
    }

    /// Results that the engine needs: those of phases without followers.
    pub(super) fn last_results(&self) -> Vec<ResultHandle> {
        let last = (0..self.phases.len()).filter(|phase| self.followers(*phase).count() == 0);
        self.results_of(last)
    }

    /// The same, with the phase of each.
    pub(super) fn last_results_by_phase(&self) -> Vec<(usize, &Vec<ResultHandle>)> {
        let last = (0..self.phases.len()).filter(|phase| self.followers(*phase).count() == 0);
        last.filter_map(|phase| match &self.phases[phase].state {
            PhaseState::Completed(handles) => Some((phase, handles)),
            _ => None,
        })
        .collect()
    }

    /// Inputs of a phase, with the phase of each.
    pub(super) fn inputs(&self, phase: usize) -> Vec<(usize, &Vec<ResultHandle>)> {
        let before = self.phases[phase].after.iter();
        before
            .filter_map(|before| match &self.phases[*before].state {
                PhaseState::Completed(handles) => Some((*before, handles)),
                _ => None,
            })
            .collect()
    }

    /// Takes the results that all following phases have used.
    pub(super) fn take_consumed(&mut self) -> Vec<(usize, Vec<ResultHandle>)> {
        let is_completed = |phase: &Phase| matches!(phase.state, PhaseState::Completed(_));
        let consumed: Vec<usize> = (0..self.phases.len())
            .filter(|phase| self.followers(*phase).count() > 0)
            .filter(|phase| self.followers(*phase).all(is_completed))
            .collect();
        self.take(consumed)
    }

    /// Takes the results that no phase but `phase` still needs.
    pub(super) fn take_inputs(&mut self, phase: usize) -> Vec<(usize, Vec<ResultHandle>)> {
        let is_over = |phase: &Phase| matches!(phase.state, PhaseState::Completed(_));
        let inputs: Vec<usize> = self.phases[phase]
            .after
            .iter()
            .copied()
            .filter(|before| {
                let mut others = self.phases.iter().enumerate().filter(|(number, follower)| {
                    *number != phase
                        && follower.after.contains(before)
                        && follower.state != PhaseState::Skipped
                });
                others.all(|(_, follower)| is_over(follower))
            })
            .collect();
        self.take(inputs)
    }

    /// Takes all remaining results.
    pub(super) fn take_results(&mut self) -> Vec<(usize, Vec<ResultHandle>)> {
        self.take((0..self.phases.len()).collect())
    }

    fn take(&mut self, phases: Vec<usize>) -> Vec<(usize, Vec<ResultHandle>)> {
        phases
            .into_iter()
            .filter_map(|phase| match &mut self.phases[phase].state {
                PhaseState::Completed(handles) => Some((phase, std::mem::take(handles))),
                _ => None,
            })
            .collect()
    }

    /// Takes the numbers of submitted and announced orders.
    pub(super) fn take_orders(&mut self) -> Vec<WorkId> {
        let mut orders = Vec::new();
        for phase in &mut self.phases {
            if let PhaseState::Submitted(work) = phase.state {
                orders.push(work);
                phase.state = PhaseState::Waiting;
            }
            orders.extend(phase.announced.take());
        }
        orders
    }
}
