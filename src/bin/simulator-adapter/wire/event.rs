//! Converts messages of the simulator to events of a gateway.

use super::message::{excerpt, parse_finite, FieldError, Message, MessageError};
use edge_gateway::{
    AttemptResult, EndpointListKind, EndpointStatus, EndpointUpdate, Event, IncomingRequest, LoadReport,
    Outcome,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The endpoint lists that `ledger` messages announced, by ledger number.
pub type EndpointLists = BTreeMap<u64, Arc<[EndpointUpdate]>>;

/// Converts a message to an event; `None` if the gateway ignores such messages.
pub fn parse_event(
    message: &Message<'_>,
    endpoint_lists: &EndpointLists,
) -> Result<Option<Event>, MessageError> {
    let event = match message.name {
        "membership" => parse_endpoint_list(message, endpoint_lists)?,
        "inbound" => Event::RequestReceived(parse_incoming_request(message)?),
        "done" => Event::AttemptFinished(parse_attempt_result(message)?),
        "opened" => Event::StreamStarted {
            request: message.text("requestId")?.into(),
            attempt: message.parse_u32("copy")?,
        },
        "client_gone" => Event::ClientDisconnected { request: message.text("requestId")?.into() },
        "timeout_fired" => Event::TimerFired { token: message.parse_u64("ctx")? },
        // The gateway sends no health checks, so their results are validated and then ignored.
        "checked" => {
            message.parse_u32("server")?;
            parse_outcome(message)?;
            parse_load_report(message)?;
            return Ok(None);
        }
        // Replies of the simulator's counter, and messages of other gateways: the gateway queries neither.
        "tallied" | "message" => return Ok(None),
        unknown => return Err(MessageError::UnknownMessage(excerpt(unknown))),
    };
    Ok(Some(event))
}

/// Converts an `item` message to an entry of an endpoint list.
pub fn parse_endpoint_update(message: &Message<'_>) -> Result<EndpointUpdate, MessageError> {
    Ok(EndpointUpdate {
        endpoint: message.parse_u32("server")?,
        zone: message.text("campus")?.into(),
        cell: message.parse_u32_or("unitGroup", 0)?,
        status: match message.text("status")? {
            "Ready" => EndpointStatus::Ready,
            "Terminating" => EndpointStatus::Draining,
            "Gone" => EndpointStatus::Removed,
            unknown => return Err(unknown_value(message, "status", unknown)),
        },
        started_at: Some(message.parse_f64_or("lastStartMs", 0.0)?).filter(|at| *at != 0.0),
    })
}

fn parse_endpoint_list(message: &Message<'_>, endpoint_lists: &EndpointLists) -> Result<Event, MessageError> {
    let kind = match message.text("scope")? {
        "all" | "remembered" => EndpointListKind::Snapshot,
        "changes" => EndpointListKind::Delta,
        "refused" => EndpointListKind::SubscriptionFailed,
        unknown => return Err(unknown_value(message, "scope", unknown)),
    };
    let endpoints = match kind {
        EndpointListKind::SubscriptionFailed => Arc::from([]),
        EndpointListKind::Snapshot | EndpointListKind::Delta => {
            let number = message.parse_u64("buffer")?;
            let unknown = || message.field_error("buffer", FieldError::UnknownEndpointList(number));
            endpoint_lists.get(&number).ok_or_else(unknown)?.clone()
        }
    };
    Ok(Event::EndpointList { kind, endpoints })
}

fn parse_incoming_request(message: &Message<'_>) -> Result<IncomingRequest, MessageError> {
    Ok(IncomingRequest {
        id: message.text("requestId")?.into(),
        class: message.text("cls")?.into(),
        plan: message.text("gradeOfService")?.into(),
        customer: message.text("holder")?.into(),
        deadline: message.parse_f64("deadlineMs")?,
        units: message.parse_f64_or("priceUnits", 1.0)?,
        gateway_spread: message.parse_u32_or("width", 1)?,
        is_retry: message.parse_u64_or("retry", 0)? == 1,
    })
}

fn parse_attempt_result(message: &Message<'_>) -> Result<AttemptResult, MessageError> {
    Ok(AttemptResult {
        request: message.text("requestId")?.into(),
        attempt: message.parse_u32("copy")?,
        endpoint: message.parse_u32("server")?,
        outcome: parse_outcome(message)?,
        elapsed: message.parse_f64("elapsedMs")?,
        request_closed: message.parse_u64_or("last", 0)? == 1,
        // `quotaUse` is the usage in percent plus 1, or 0 without a usage report.
        usage_percent: Some(message.parse_f64_or("quotaUse", 0.0)?).filter(|u| *u > 0.0).map(|u| u - 1.0),
        has_usage_report: message.parse_f64_or("quotaUse", 0.0)? > 0.0,
        load: parse_load_report(message)?,
    })
}

fn parse_outcome(message: &Message<'_>) -> Result<Outcome, MessageError> {
    Ok(match message.parse_u64("code")? {
        100 => Outcome::Success,
        301 => Outcome::Error,
        302 => Outcome::Overloaded,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        unknown => return Err(message.field_error("code", FieldError::UnknownCode(unknown))),
    })
}

/// Parses a load report: `name:value` pairs separated by commas. Unknown names are ignored.
fn parse_load_report(message: &Message<'_>) -> Result<LoadReport, MessageError> {
    let mut report = LoadReport::default();
    for pair in message.get("load").unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
        let not_a_pair = || message.field_error("load", FieldError::NotAPair(excerpt(pair)));
        let (name, value) = pair.split_once(':').ok_or_else(not_a_pair)?;
        let field = match name {
            "inflight" => &mut report.in_flight,
            "queue" => &mut report.queued,
            "util" => &mut report.utilization,
            "latency_ms" => &mut report.service_time,
            _ => continue,
        };
        let invalid_load = || FieldError::InvalidLoad { name: name.to_owned(), value: excerpt(value) };
        let value = parse_finite(value).ok_or_else(|| message.field_error("load", invalid_load()))?;
        *field = Some(value);
    }
    Ok(report)
}

fn unknown_value(message: &Message<'_>, field: &'static str, value: &str) -> MessageError {
    message.field_error(field, FieldError::UnknownValue(excerpt(value)))
}
