//! The command `slope`: processor time, memory and bytes of one gateway, along one size at a time.

mod harness;

use crate::deployment::{endpoint_list_json, settings, PLAN};
use crate::experiment::SlopeSizes;
use crate::fit::Point;
use crate::report::Report;
use crate::ALLOCATOR;
use edge_gateway::{EndpointListParser, Plan, Settings};
use harness::{mean_cpu_time, GatewayHarness, CHANGED_ENDPOINTS, ZONES};
use std::io;
use std::net::SocketAddr;

/// Sizes that stay fixed while another one grows.
const ENDPOINTS: u32 = CHANGED_ENDPOINTS;
const TENANTS: u32 = 1_000;
const GATEWAYS: u32 = 300;
const RATE: f64 = 67.0;
/// Bytes in which an endpoint list is given to the parser.
const READ_BYTES: usize = 64 << 10;

/// Measures along each size.
pub fn run(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    by_endpoints(sizes, seed, report)?;
    by_tenants(sizes, seed, report)?;
    by_gateways(sizes, seed, report)?;
    by_rate(sizes, seed, report)
}

/// Points of all measurements by number of endpoints.
#[derive(Default)]
struct EndpointSeries {
    request: Vec<Point>,
    delta: Vec<Point>,
    snapshot: Vec<Point>,
    idle_second: Vec<Point>,
    memory: Vec<Point>,
    list_bytes: Vec<Point>,
    parsing: Vec<Point>,
}

impl EndpointSeries {
    fn measure(&mut self, endpoints: u32, requests: u32, seed: u64) -> io::Result<()> {
        let point = |y: f64| Point { x: f64::from(endpoints), y };
        let (mut harness, memory) =
            allocated_by(|| GatewayHarness::new(settings_without_quota(GATEWAYS), endpoints, TENANTS, seed));
        self.memory.push(point(memory));
        self.request.push(point(harness.request_time(requests, RATE)?));
        self.idle_second.push(point(harness.idle_second_time()?));
        self.delta.push(point(harness.delta_time()?));
        self.snapshot.push(point(harness.snapshot_time(endpoints)?));
        let json = endpoint_list_json(1, endpoints, ZONES, &[SocketAddr::from(([127, 0, 0, 1], 9000))]);
        self.list_bytes.push(point(json.len() as f64));
        self.parsing.push(point(parsing_time(&json)?));
        Ok(())
    }

    fn report(self, report: &mut Report) {
        report.series("processor time of a request by servers", "us", "servers", self.request);
        report.series("processor time of a change of one entry by servers", "us", "servers", self.delta);
        report.series("processor time of a whole list by servers", "us", "servers", self.snapshot);
        report.series("processor time of an idle second by servers", "us", "servers", self.idle_second);
        report.series("memory of a gateway by servers", "bytes", "servers", self.memory);
        report.series("bytes of a whole list by servers", "bytes", "servers", self.list_bytes);
        report.series("processor time to read a whole list by servers", "us", "servers", self.parsing);
    }
}

fn by_endpoints(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut series = EndpointSeries::default();
    for &count in &sizes.endpoints {
        tracing::info!("{count} endpoints");
        series.measure(count, sizes.requests, seed)?;
    }
    series.report(report);
    Ok(())
}

fn by_tenants(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let (mut request, mut memory) = (Vec::new(), Vec::new());
    for &count in &sizes.tenants {
        tracing::info!("{count} tenants");
        let x = f64::from(count);
        let mut harness = GatewayHarness::new(settings_with_ceiling(GATEWAYS), ENDPOINTS, count, seed);
        let ((), allocated) = allocated_by(|| harness.request_of_each_tenant());
        memory.push(Point { x, y: allocated });
        request.push(Point { x, y: harness.request_time(sizes.requests, RATE)? });
    }
    report.series("processor time of a request by tenants", "us", "tenants", request);
    report.series("memory of exact records by tenants", "bytes", "tenants", memory);
    Ok(())
}

fn by_gateways(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut request = Vec::new();
    for &count in &sizes.gateways {
        let mut harness = GatewayHarness::new(settings_with_ceiling(count), ENDPOINTS, TENANTS, seed);
        request.push(Point { x: f64::from(count), y: harness.request_time(sizes.requests, RATE)? });
    }
    report.series("processor time of a request by gateways", "us", "gateways", request);
    Ok(())
}

fn by_rate(sizes: &SlopeSizes, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut request = Vec::new();
    for &rate in &sizes.rates {
        let mut harness = GatewayHarness::new(settings_without_quota(GATEWAYS), ENDPOINTS, TENANTS, seed);
        request.push(Point { x: rate, y: harness.request_time(sizes.requests, rate)? });
    }
    report.series("processor time of a request by requests a second", "us", "requests a second", request);
    Ok(())
}

fn settings_without_quota(gateways: u32) -> Settings {
    settings(gateways, 0, "zone-0")
}

/// Every customer has a quota and a ceiling, and so an exact record.
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

/// Runs a function; returns its result and the bytes that it has left allocated.
fn allocated_by<T>(function: impl FnOnce() -> T) -> (T, f64) {
    let before = ALLOCATOR.current_usage();
    let result = function();
    (result, ALLOCATOR.current_usage().saturating_sub(before) as f64)
}

/// Processor time of parsing an endpoint list, in microseconds.
fn parsing_time(json: &str) -> io::Result<f64> {
    mean_cpu_time(|| {
        let mut parser = EndpointListParser::new(usize::MAX);
        let mut entries = 0;
        for bytes in json.as_bytes().chunks(READ_BYTES) {
            let parsed = parser.push(bytes, |list| entries += list.endpoints.len());
            assert!(parsed.is_ok(), "the synthetic list is valid");
        }
        assert!(entries > 0, "the list has entries");
    })
}
