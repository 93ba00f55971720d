//! A node: receives requests from clients and forwards them to endpoints, as the library [`edge_gateway`]
//! decides.
//!
//! This file starts the parts and shuts them down. [`client`] serves the clients, [`upstream`] connects to
//! the endpoints, [`discovery`] supplies the endpoint list, and the [`dispatcher`] owns the gateway.

mod answer;
mod client;
mod clock;
mod configuration;
mod descriptor_budget;
mod discovery;
mod dispatcher;
mod io;
mod memory_budget;
mod signals;
mod startup_error;
mod telemetry;
mod upstream;

use client::request_head::RequestHeadParser;
use client::Frontend;
use clock::Clock;
use configuration::reload::{load_with_retry, reload_on_hangup};
use configuration::Configuration;
use descriptor_budget::DescriptorBudget;
use discovery::Discovery;
use dispatcher::{Dispatcher, DispatcherLimits};
use edge_gateway::{Gateway, Millis, PollBackoff, Settings, SettingsError};
use io::listener::listen;
use memory_budget::{MemoryBudget, MessageMemory};
use signals::SignalHandlers;
use startup_error::StartupError;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use telemetry::metrics::{Violation, METRICS};
use telemetry::slow_polls::{time_polls, TaskKind};
use telemetry::{log, metrics_server};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use upstream::{UpstreamPool, CONNECTION_QUARANTINE};

/// Largest error of the start times of endpoints, in milliseconds: the wall clock may have stepped by an hour
/// in either direction since an endpoint reported its start.
const MAX_CLOCK_ERROR: Millis = 3_700_000.0;

fn main() -> ExitCode {
    log::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::write_plain_line(format_args!("edge-gateway: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Runs the node on this thread until it has shut down.
fn run() -> Result<(), StartupError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        // First, since without the handlers each of the signals kills the process.
        let signals = SignalHandlers::install().map_err(StartupError::SignalHandlers)?;
        let configuration = load_with_retry()?;
        let descriptors = DescriptorBudget::new(configuration.max_descriptors);
        let budget = MemoryBudget::new(configuration.max_memory, descriptors);
        let gateway = new_gateway(&configuration, budget)?;
        serve(configuration, budget, gateway, signals).await
    })
}

fn new_gateway(configuration: &Configuration, budget: MemoryBudget) -> Result<Gateway, SettingsError> {
    let settings = Settings {
        connection_quarantine: CONNECTION_QUARANTINE.as_secs_f64() * 1000.0,
        max_connections: u32::try_from(budget.descriptors().pooled).ok(),
        max_tracked_customers: Some(budget.tracked_customers()),
        max_clock_error: MAX_CLOCK_ERROR,
        ..configuration.settings.clone()
    };
    Gateway::new(settings, configuration.seed)
}

/// Starts all parts of the node, and shuts it down when SIGTERM or SIGINT is received.
async fn serve(
    mut configuration: Configuration,
    budget: MemoryBudget,
    gateway: Gateway,
    signals: SignalHandlers,
) -> Result<(), StartupError> {
    let (mut termination, hangups) = signals.split();
    let memory = MessageMemory::new(budget);
    let dispatcher = new_dispatcher(&configuration, budget.descriptors(), &memory, gateway);
    let cached_version = configuration.cached_endpoints.as_ref().map(|list| list.version);
    if let Some(endpoints) = configuration.cached_endpoints.take() {
        dispatcher.update_endpoints(endpoints);
    }
    let listener = listen_for_clients(configuration.listen).await?;
    spawn_local(time_polls(TaskKind::Timers, dispatcher.clone().run_timers()));
    spawn_discovery(&dispatcher, &configuration, cached_version, hangups);
    if let Some(address) = metrics_server::address() {
        spawn_local(time_polls(TaskKind::Metrics, metrics_server::serve(address)));
    }
    let head_parser = RequestHeadParser::new(&configuration.settings, configuration.request_limits);
    let frontend =
        Frontend::new(dispatcher.clone(), head_parser, memory.requests, budget.descriptors().client);
    let accept_task = spawn_local(time_polls(TaskKind::Accept, frontend.clone().accept(listener)));
    termination.recv().await;
    tracing::info!("shutting down");
    frontend.shut_down(accept_task).await;
    report_unanswered_requests(&dispatcher);
    tracing::info!("shutdown complete");
    Ok(())
}

fn new_dispatcher(
    configuration: &Configuration,
    budget: DescriptorBudget,
    memory: &MessageMemory,
    gateway: Gateway,
) -> Rc<Dispatcher> {
    let connection_settings = configuration.connection_settings;
    let pool = UpstreamPool::new(connection_settings, budget.upstream, memory.responses.clone());
    let limits = DispatcherLimits {
        hedging: configuration.settings.hedging,
        max_endpoints: configuration.max_endpoints,
    };
    Dispatcher::new(gateway, Clock::new(), pool, memory.clone(), limits)
}

async fn listen_for_clients(address: SocketAddr) -> Result<TcpListener, StartupError> {
    let failed = |source| StartupError::Listen { address, source };
    let listener = listen(address).await.map_err(failed)?;
    tracing::info!("listening on {}", listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Starts to follow the endpoint list, from the version of the cached list on if there is one, and to reload
/// the address of the discovery agent at SIGHUP.
fn spawn_discovery(
    dispatcher: &Rc<Dispatcher>,
    configuration: &Configuration,
    cached_version: Option<u64>,
    hangups: Signal,
) {
    let (address_sender, address_receiver) = watch::channel(configuration.discovery);
    let backoff = PollBackoff::new(configuration.poll_settings, configuration.seed);
    let discovery = Discovery::new(dispatcher.clone(), backoff, configuration.max_endpoints);
    spawn_local(time_polls(TaskKind::Discovery, discovery.follow(address_receiver, cached_version)));
    spawn_local(reload_on_hangup(hangups, address_sender));
}

fn report_unanswered_requests(dispatcher: &Dispatcher) {
    let unanswered_requests = dispatcher.unanswered_requests();
    if unanswered_requests > 0 {
        METRICS.record_violation(Violation::UnansweredAtEnd, &format!("{unanswered_requests} requests"));
    }
}
