//! One edge node on real sockets: clients on one side, app servers on the other, and between them the
//! decisions of the library.

mod answer;
mod client;
mod clock;
mod configuration;
mod discovery;
mod dispatcher;
mod io;
mod signals;
mod telemetry;
mod upstream;

use client::request_head::RequestHeadParser;
use client::Frontend;
use clock::Clock;
use configuration::reload::{load_through_trouble, reload_on};
use configuration::Configuration;
use discovery::Discovery;
use dispatcher::Dispatcher;
use edge_gateway::{Gateway, Millis, PollBackoff, Settings};
use io::listener::listen;
use signals::SignalHandlers;
use std::process::ExitCode;
use telemetry::metrics::{Violation, METRICS};
use telemetry::{log, metrics};
use tokio::sync::watch;
use tokio::task::LocalSet;
use upstream::UpstreamPool;

/// Descriptors that neither side may use: listener, discovery, the runtime's own, standard streams and
/// sockets in the act of closing.
fn reserve(sockets: usize) -> usize {
    (sockets / 16).max(16)
}

/// Part of the descriptors that attempts may use, a fraction. Clients get the rest: many of theirs wait idle.
const UPSTREAM_PART: (usize, usize) = (2, 5);

/// Part of those that one rotation through the app servers may fill, a fraction: the rest is for attempts beside
/// it.
const KEPT_PART: (usize, usize) = (3, 4);

/// The wall clock may have stepped by an hour, either way, since a server told when it started. In milliseconds.
const CLOCK_ERROR: Millis = 3_700_000.0;

/// How many descriptors attempts may use.
fn upstream_sockets(sockets: usize) -> usize {
    (sockets - reserve(sockets)) * UPSTREAM_PART.0 / UPSTREAM_PART.1
}

fn main() -> ExitCode {
    log::init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::plain_line(format_args!("edge-gateway: {error}"));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let signals = SignalHandlers::install()?;
        let config = load_through_trouble()?;
        let gateway = gateway(&config)?;
        serve(config, gateway, signals).await
    })
}

fn gateway(config: &Configuration) -> Result<Gateway, String> {
    let kept = upstream_sockets(config.sockets) * KEPT_PART.0 / KEPT_PART.1;
    let settings = Settings {
        connection_quarantine: upstream::CONNECTION_QUARANTINE.as_secs_f64() * 1000.0,
        max_connections: u32::try_from(kept).ok(),
        max_clock_error: CLOCK_ERROR,
        ..config.settings.clone()
    };
    Gateway::new(settings, config.seed).map_err(|error| format!("settings: {error}"))
}

async fn serve(
    config: Configuration,
    gateway: Gateway,
    signals: SignalHandlers,
) -> Result<(), Box<dyn std::error::Error>> {
    let (mut ending, hangups) = signals.split();
    let upstreams = upstream_sockets(config.sockets);
    let clock = Clock::new();
    let reader = RequestHeadParser::new(&config.settings, config.bounds);
    let dispatcher =
        Dispatcher::new(gateway, clock, UpstreamPool::new(config.links, upstreams), config.settings.hedging);
    let rev = config.known.as_ref().map(|list| list.version);
    if let Some(known) = config.known {
        dispatcher.update_endpoints(known);
    }
    let listener = listen(config.listen)
        .await
        .map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    tracing::info!("listening on {}", listener.local_addr()?);
    tokio::task::spawn_local(dispatcher.clone().run_timers());
    let (agent, agents) = watch::channel(config.discovery);
    let backoff = PollBackoff::new(config.asking, config.seed);
    let discovery = Discovery::new(dispatcher.clone(), backoff, config.max_endpoints);
    tokio::task::spawn_local(discovery.follow(agents, rev));
    tokio::task::spawn_local(reload_on(hangups, agent));
    if let Some(address) = std::env::var("RELAY_METRICS").ok().and_then(|address| address.parse().ok()) {
        tokio::task::spawn_local(metrics::serve(address));
    }
    let server =
        Frontend::new(dispatcher.clone(), reader, config.sockets - reserve(config.sockets) - upstreams);
    let accepting = tokio::task::spawn_local(server.clone().accept(listener));
    ending.told().await;
    tracing::info!("told to end");
    server.shut_down(accepting).await;
    let unanswered_requests = dispatcher.unanswered_requests();
    if unanswered_requests > 0 {
        METRICS.violation(Violation::UnansweredAtEnd, &format!("{unanswered_requests} requests"));
    }
    tracing::info!("ends");
    Ok(())
}
