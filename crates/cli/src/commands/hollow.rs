//! Subcommand `hollow`.

use crate::errors::CliError;
use crate::output::{print, OutputFormat, Table};
use argh::FromArgs;
use silversail_simulation::hollow::ConfigurationSize;
use silversail_simulation::{run_hollow, HollowReport};

/// Measures the cost of control in large clusters with hollow nodes under virtual
/// time.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "hollow",
    example = "{command_name} --nodes 40,80,160,320 --output yaml"
)]
pub struct Hollow {
    /// numbers of nodes, comma-separated
    #[argh(option, default = "String::from(\"40,80\")")]
    nodes: String,
    /// tenants in the configuration
    #[argh(option, default = "2_000")]
    tenants: usize,
    /// engines in the configuration
    #[argh(option, default = "1_500")]
    engines: usize,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

impl Hollow {
    /// Measures each cluster size and prints the results.
    pub fn run(self) -> Result<(), CliError> {
        let size = ConfigurationSize {
            tenants: self.tenants,
            engines: self.engines,
            pipelines: 30,
            models: 30,
        };
        let mut reports = Vec::new();
        for text in self.nodes.split(',') {
            let nodes: usize = text
                .trim()
                .parse()
                .map_err(|_| CliError::Invalid(format!("'{text}' is not a number of nodes")))?;
            reports.push(run_hollow(nodes.max(6), size));
        }
        print(self.output, &reports, || report_table(&reports))
    }
}

fn report_table(reports: &[HollowReport]) -> Table {
    let mut table = Table::new(&[
        "nodes",
        "leader B/s",
        "voter B/s",
        "node B/s",
        "busiest B/s",
        "node msg/s",
        "in force ms",
        "worst ms",
        "formed",
        "tenth",
        "zone",
        "region",
        "rolling",
        "full",
        "cpu us/s",
    ]);
    for report in reports {
        table.row(vec![
            report.nodes.to_string(),
            format!("{:.0}", report.leader.bytes),
            format!("{:.0}", report.voter.bytes),
            format!("{:.0}", report.node.bytes),
            format!("{:.0}", report.busiest_node.bytes),
            format!("{:.1}", report.node.messages),
            report.in_force_median_ms.to_string(),
            report.in_force_worst_ms.to_string(),
            report.formed_ms.to_string(),
            report.after_tenth_ms.to_string(),
            report.after_zone_ms.to_string(),
            report.after_region_ms.to_string(),
            report.after_rolling_ms.to_string(),
            report.after_full_restart_ms.to_string(),
            format!("{:.0}", report.node_cpu_us_per_s),
        ]);
    }
    table
}
