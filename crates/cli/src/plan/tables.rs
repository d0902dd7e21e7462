//! Tables of the capacity page.

use super::input::PlanInput;
use super::markdown::{heading, measure_rows, number, row};
use super::measures::{measures, Measure};

/// Ledger commits of a request with a key: begin, claim and finish.
const COMMITS_PER_KEYED_REQUEST: f64 = 3.0;
/// Voters of the control group.
const VOTERS: f64 = 5.0;
/// Request slots of an engine.
const ENGINE_SLOTS: f64 = 16.0;
/// Largest rate at which a node polls engines.
const POLLS_PER_SECOND: f64 = 20.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
const BYTES_PER_KB: f64 = 1_024.0;

/// Renders all tables as Markdown.
pub fn render(input: &PlanInput) -> String {
    let mut page = String::new();
    let measures = measures(input);
    control_table(&mut page, input, &measures);
    first_limits_table(&mut page, input, &measures);
    recovery_table(&mut page, input);
    propagation_table(&mut page, input);
    load_table(&mut page, input);
    ledger_table(&mut page, input);
    data_path_table(&mut page, input);
    day_table(&mut page, input);
    page
}

fn control_table(page: &mut String, input: &PlanInput, measures: &[Measure]) {
    let title = format!("Control at {} nodes", input.size.nodes);
    heading(
        page,
        &title,
        &[
            "role",
            "measure",
            "value",
            "limit",
            "kept",
            "basis",
            "mechanism",
        ],
    );
    for measure in measures {
        let value = measure.line.at(input.size.nodes);
        let kept = match measure.limit {
            Some(limit) if value <= limit => "yes",
            Some(_) => "**no**",
            None => "",
        };
        row(
            page,
            &[
                measure.role.into(),
                measure.name.into(),
                number(value),
                measure.limit.map(number).unwrap_or_default(),
                kept.into(),
                measure.line.basis(input.size.nodes),
                measure.mechanism.into(),
            ],
        );
    }
}

fn first_limits_table(page: &mut String, input: &PlanInput, measures: &[Measure]) {
    heading(
        page,
        "Which limit breaks first",
        &["role", "measure", "limit", "slope for a node", "breaks at"],
    );
    let mut limited: Vec<(f64, &Measure, f64)> = measures
        .iter()
        .filter_map(|measure| {
            let limit = measure.limit?;
            let at = match measure.line.at(input.size.nodes) > limit {
                true => measure.line.reaches(limit).unwrap_or(0.0).max(0.0),
                false => measure.line.reaches(limit).unwrap_or(f64::INFINITY),
            };
            Some((at, measure, limit))
        })
        .collect();
    limited.sort_by(|left, right| left.0.total_cmp(&right.0));
    for (at, measure, limit) in limited {
        let at = match at {
            at if at.is_infinite() => "never by this line".to_owned(),
            at if at < 1.0 => "any size".to_owned(),
            at => format!("{at:.0} nodes"),
        };
        row(
            page,
            &[
                measure.role.into(),
                measure.name.into(),
                number(limit),
                format!("{:.6}", measure.line.slope),
                at,
            ],
        );
    }
}

fn recovery_table(page: &mut String, input: &PlanInput) {
    heading(
        page,
        "Time until all nodes are in step, ms of virtual time (measured, hollow)",
        &[
            "nodes",
            "formation",
            "after a tenth cut off",
            "a zone",
            "a region",
            "revisions behind",
            "rolling restart",
            "full restart",
        ],
    );
    for point in &input.hollow {
        let values = [
            point.nodes,
            point.formed_ms,
            point.after_tenth_ms,
            point.after_zone_ms,
            point.after_region_ms,
            point.region_behind,
            point.after_rolling_ms,
            point.after_full_restart_ms,
        ];
        let cells: Vec<String> = values.iter().map(f64::to_string).collect();
        row(page, &cells);
    }
}

fn propagation_table(page: &mut String, input: &PlanInput) {
    let title = format!(
        "Time until a change is in force everywhere, limit {} ms",
        input.budget.in_force_ms
    );
    heading(page, &title, &["nodes", "median ms", "worst ms", "basis"]);
    let real = input.processes.iter().map(|point| {
        let times = [
            point.nodes,
            point.in_force_median_ms,
            point.in_force_worst_ms,
        ];
        (times, "measured, real processes")
    });
    let hollow = input.hollow.iter().map(|point| {
        let times = [
            point.nodes,
            point.in_force_median_ms,
            point.in_force_worst_ms,
        ];
        (times, "measured, hollow, virtual time without processing")
    });
    for (times, basis) in real.chain(hollow) {
        let mut cells: Vec<String> = times.iter().map(f64::to_string).collect();
        cells.push(basis.to_owned());
        row(page, &cells);
    }
}

fn load_table(page: &mut String, input: &PlanInput) {
    let size = &input.size;
    let home_engines = (size.engines * ENGINE_SLOTS / size.nodes).min(size.engines);
    let polls = home_engines.min(POLLS_PER_SECOND);
    let bytes = polls * input.assumed.poll_bytes;
    heading(
        page,
        "Engines' load reports",
        &["measure", "value", "basis"],
    );
    let rows = [
        (
            "engines with home slots on a node",
            number(home_engines),
            format!("{ENGINE_SLOTS} slots an engine"),
        ),
        (
            "polls a second of a node",
            number(polls),
            format!("mechanism: at most {POLLS_PER_SECOND}"),
        ),
        (
            "seconds between polls of one engine by a node",
            number(home_engines / polls),
            "from the lines above".into(),
        ),
        (
            "polls a second at an engine",
            number(polls * size.nodes / size.engines),
            "from the lines above".into(),
        ),
        (
            "bytes/s of a node",
            number(bytes),
            format!(
                "assumed {} bytes a poll; with the session's bytes below {}",
                input.assumed.poll_bytes, input.budget.node_bytes
            ),
        ),
    ];
    measure_rows(page, &rows);
}

fn ledger_table(page: &mut String, input: &PlanInput) {
    let assumed = &input.assumed;
    let keyed = input.size.requests * assumed.keyed_share;
    let commits = keyed * COMMITS_PER_KEYED_REQUEST;
    let groups = (commits / assumed.group_commits).ceil().max(1.0);
    let records = keyed * assumed.retention_seconds;
    let state_mb = records * assumed.record_bytes / BYTES_PER_MB;
    let machines = VOTERS + 3.0 * groups;
    heading(page, "Ledger at the peak", &["measure", "value", "basis"]);
    let rows = [
        (
            "requests with a key a second",
            number(keyed),
            format!("assumed share {}", assumed.keyed_share),
        ),
        (
            "commits a second",
            number(commits),
            "three for each: begin, claim, finish".into(),
        ),
        (
            "bytes/s written by the replicas of all groups",
            number(commits * input.data_path.ledger_commit_bytes),
            format!(
                "measured: {} bytes a commit",
                number(input.data_path.ledger_commit_bytes)
            ),
        ),
        (
            "groups needed",
            number(groups),
            format!("assumed {} commits/s a group", assumed.group_commits),
        ),
        (
            "records kept",
            number(records),
            format!("assumed {} s retention", assumed.retention_seconds),
        ),
        (
            "state of one replica, MB",
            number(state_mb / groups),
            format!("assumed {} bytes a record", assumed.record_bytes),
        ),
        (
            "machines for control and ledger",
            number(machines),
            format!(
                "5 voters, 3 a ledger group; limit {}",
                input.budget.machines
            ),
        ),
    ];
    measure_rows(page, &rows);
}

fn data_path_table(page: &mut String, input: &PlanInput) {
    let (size, path, assumed) = (&input.size, &input.data_path, &input.assumed);
    let ledger_us = path.keyed_stage_cpu_us - path.stage_cpu_us;
    let request_us = path.stage_cpu_us * size.stages + ledger_us.max(0.0) * assumed.keyed_share;
    let cores = (size.requests * request_us + size.tokens * path.token_cpu_us) / 1e6;
    let zone_left = (size.zones - 1.0) / size.zones;
    let nodes = cores / assumed.data_core_share / zone_left;
    let streams = size.requests * assumed.stream_seconds / (size.nodes * zone_left);
    heading(page, "Data path", &["measure", "value", "basis"]);
    let rows = [
        (
            "processor µs of a stage",
            number(path.stage_cpu_us),
            "measured, one process".to_owned(),
        ),
        (
            "processor µs of a key's ledger commits",
            number(ledger_us),
            "measured, one process that is its own quorum".into(),
        ),
        (
            "processor µs of a streamed token",
            number(path.token_cpu_us),
            "measured, one process".into(),
        ),
        (
            "requests a second for a core, without tokens",
            number(1e6 / request_us),
            format!("{} stages", size.stages),
        ),
        (
            "tokens a second for a core",
            number(1e6 / path.token_cpu_us),
            "from the line above".into(),
        ),
        (
            "cores at the peak",
            number(cores),
            "requests and tokens together".into(),
        ),
        (
            "nodes needed with a zone lost",
            number(nodes),
            format!("assumed {} of a core each", assumed.data_core_share),
        ),
        (
            "nodes there are with a zone lost",
            number(size.nodes * zone_left),
            "size".into(),
        ),
        (
            "memory of an open stream, kB",
            number(path.open_stream_kb),
            "measured, 300 streams".into(),
        ),
        (
            "memory of a node's streams with a zone lost, MB",
            number(streams * path.open_stream_kb / BYTES_PER_KB),
            format!("assumed {} s a stream", assumed.stream_seconds),
        ),
    ];
    measure_rows(page, &rows);
}

fn day_table(page: &mut String, input: &PlanInput) {
    let size = &input.size;
    let events = size.failures_a_day + size.restarts_a_day;
    let configuration = input
        .hollow
        .first()
        .map_or(0.0, |point| point.configuration_bytes);
    // Each event changes the membership when a node leaves, returns and becomes usable.
    let views = events * 3.0;
    heading(page, "A day", &["measure", "value", "basis"]);
    let rows = [
        (
            "membership changes an hour",
            number(views / 24.0),
            "three for each failure or restart".to_owned(),
        ),
        (
            "whole configuration, bytes",
            number(configuration),
            format!(
                "measured: {} tenants, {} engines",
                size.tenants, size.engines
            ),
        ),
        (
            "catch-up of configuration, bytes a second over all nodes",
            number(events * configuration / SECONDS_PER_DAY),
            "the whole configuration for each".into(),
        ),
        (
            "changes in an hour, which a region alone for an hour is behind",
            number(size.changes_a_day / 24.0),
            "size".into(),
        ),
    ];
    measure_rows(page, &rows);
}
