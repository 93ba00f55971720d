//! The command `slope`: CPU time, memory and bytes of one gateway, with one size varied at a time.

mod harness;

use crate::deployment::{endpoint_list_json, settings, PLAN};
use crate::experiment::SlopeSizes;
use crate::fit::Point;
use crate::report::Report;
use crate::ALLOCATOR;
use edge_gateway::{EndpointListParser, Plan, Settings};
use harness::{mean_cpu_time_us, GatewayHarness, CHANGED_ENDPOINTS, ZONES};
use std::io;
use std::net::SocketAddr;

/// Sizes that are used while another one varies.
const BASELINE_ENDPOINTS: u32 = CHANGED_ENDPOINTS;
const BASELINE_CUSTOMERS: u32 = 1_000;
const BASELINE_GATEWAYS: u32 = 300;
/// Requests per second of one gateway while another size varies.
const BASELINE_RATE: f64 = 67.0;
/// Size of the pieces in which the endpoint list parser gets its input.
const PARSER_CHUNK_BYTES: usize = 64 << 10;

/// Measures with each size varied in turn, and adds a series for each measured value to the report.
pub fn run(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    measure_by_endpoints(sizes, seed, report)?;
    measure_by_customers(sizes, seed, report)?;
    measure_by_gateways(sizes, seed, report)?;
    measure_by_rate(sizes, seed, report)
}

/// Measurements by number of endpoints. CPU times are in microseconds.
#[derive(Default)]
struct EndpointSeries {
    request_cpu_time: Vec<Point>,
    delta_cpu_time: Vec<Point>,
    snapshot_cpu_time: Vec<Point>,
    idle_second_cpu_time: Vec<Point>,
    memory_bytes: Vec<Point>,
    list_bytes: Vec<Point>,
    parsing_cpu_time: Vec<Point>,
}

impl EndpointSeries {
    fn measure(&mut self, endpoints: u32, requests: u32, seed: u64) -> io::Result<()> {
        let point = |y: f64| Point { x: f64::from(endpoints), y };
        let (mut harness, memory) = with_allocated_bytes(|| {
            GatewayHarness::new(
                settings_without_quota(BASELINE_GATEWAYS),
                endpoints,
                BASELINE_CUSTOMERS,
                seed,
            )
        });
        self.memory_bytes.push(point(memory));
        self.request_cpu_time.push(point(harness.cpu_time_per_request(requests, BASELINE_RATE)?));
        self.idle_second_cpu_time.push(point(harness.cpu_time_per_idle_second()?));
        self.delta_cpu_time.push(point(harness.cpu_time_per_delta()?));
        self.snapshot_cpu_time.push(point(harness.cpu_time_per_snapshot(endpoints)?));
        let json = endpoint_list_json(1, endpoints, ZONES, &[SocketAddr::from(([127, 0, 0, 1], 9000))]);
        self.list_bytes.push(point(json.len() as f64));
        self.parsing_cpu_time.push(point(cpu_time_per_parsed_list(&json)?));
        Ok(())
    }

    fn report(self, report: &mut Report) {
        report.add_series("processor time of a request by servers", "us", "servers", self.request_cpu_time);
        report.add_series(
            "processor time of a change of one entry by servers",
            "us",
            "servers",
            self.delta_cpu_time,
        );
        report.add_series(
            "processor time of a whole list by servers",
            "us",
            "servers",
            self.snapshot_cpu_time,
        );
        report.add_series(
            "processor time of an idle second by servers",
            "us",
            "servers",
            self.idle_second_cpu_time,
        );
        report.add_series("memory of a gateway by servers", "bytes", "servers", self.memory_bytes);
        report.add_series("bytes of a whole list by servers", "bytes", "servers", self.list_bytes);
        report.add_series(
            "processor time to read a whole list by servers",
            "us",
            "servers",
            self.parsing_cpu_time,
        );
    }
}

fn measure_by_endpoints(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut series = EndpointSeries::default();
    for &count in &sizes.endpoints {
        tracing::info!("{count} endpoints");
        series.measure(count, sizes.requests, seed)?;
    }
    series.report(report);
    Ok(())
}

fn measure_by_customers(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let (mut request, mut memory) = (Vec::new(), Vec::new());
    for &count in &sizes.customers {
        tracing::info!("{count} customers");
        let x = f64::from(count);
        let mut harness =
            GatewayHarness::new(settings_with_ceiling(BASELINE_GATEWAYS), BASELINE_ENDPOINTS, count, seed);
        let ((), allocated) = with_allocated_bytes(|| harness.send_request_of_each_customer());
        memory.push(Point { x, y: allocated });
        request.push(Point { x, y: harness.cpu_time_per_request(sizes.requests, BASELINE_RATE)? });
    }
    report.add_series("processor time of a request by tenants", "us", "tenants", request);
    report.add_series("memory of exact records by tenants", "bytes", "tenants", memory);
    Ok(())
}

fn measure_by_gateways(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut request = Vec::new();
    for &count in &sizes.gateways {
        let mut harness =
            GatewayHarness::new(settings_with_ceiling(count), BASELINE_ENDPOINTS, BASELINE_CUSTOMERS, seed);
        request.push(Point {
            x: f64::from(count),
            y: harness.cpu_time_per_request(sizes.requests, BASELINE_RATE)?,
        });
    }
    report.add_series("processor time of a request by gateways", "us", "gateways", request);
    Ok(())
}

fn measure_by_rate(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut request = Vec::new();
    for &rate in &sizes.rates {
        let mut harness = GatewayHarness::new(
            settings_without_quota(BASELINE_GATEWAYS),
            BASELINE_ENDPOINTS,
            BASELINE_CUSTOMERS,
            seed,
        );
        request.push(Point { x: rate, y: harness.cpu_time_per_request(sizes.requests, rate)? });
    }
    report.add_series("processor time of a request by requests a second", "us", "requests a second", request);
    Ok(())
}

fn settings_without_quota(gateways: u32) -> Settings {
    settings(gateways, 0, "zone-0")
}

/// Settings by which every customer has a quota and a ceiling, and so an exact record of its usage.
fn settings_with_ceiling(gateways: u32) -> Settings {
    let plan = Plan {
        name: PLAN.into(),
        rate: 1e6,
        burst: 1e6,
        ceiling_rate: 1e6,
        ceiling_burst: 1e9,
        ..Plan::default()
    };
    Settings { plans: vec![plan], ..settings_without_quota(gateways) }
}

/// Runs a function, and returns its result and the number of bytes that are still allocated afterwards.
fn with_allocated_bytes<T>(function: impl FnOnce() -> T) -> (T, f64) {
    let before = ALLOCATOR.current_usage();
    let result = function();
    (result, ALLOCATOR.current_usage().saturating_sub(before) as f64)
}

/// Mean CPU time to parse an endpoint list, in microseconds.
fn cpu_time_per_parsed_list(json: &str) -> io::Result<f64> {
    mean_cpu_time_us(|| {
        let mut parser = EndpointListParser::new(usize::MAX);
        let mut entries = 0;
        for bytes in json.as_bytes().chunks(PARSER_CHUNK_BYTES) {
            let parsed = parser.push(bytes, |list| entries += list.endpoints.len());
            assert!(parsed.is_ok(), "the synthetic list is valid");
        }
        assert!(entries > 0, "the list has entries");
    })
}
