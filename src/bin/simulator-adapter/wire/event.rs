//! Messages to events of a gateway.

use super::message::{finite, FieldError, Message, MessageError};
use edge_gateway::{
    AttemptResult, EndpointListKind, EndpointStatus, EndpointUpdate, Event, IncomingRequest, LoadReport,
    Outcome,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The endpoint lists that were announced, by their numbers.
pub type Ledgers = BTreeMap<u64, Arc<[EndpointUpdate]>>;

/// The event that a message means for a gateway; `None` if it means nothing to it.
pub fn parse_event(message: &Message<'_>, ledgers: &Ledgers) -> Result<Option<Event>, MessageError> {
    let event = match message.name {
        "membership" => endpoint_list(message, ledgers)?,
        "inbound" => Event::RequestReceived(incoming_request(message)?),
        "done" => Event::AttemptFinished(attempt_result(message)?),
        "opened" => Event::StreamStarted {
            request: message.text("requestId")?.into(),
            attempt: message.small_integer("copy")?,
        },
        "client_gone" => Event::ClientDisconnected { request: message.text("requestId")?.into() },
        "timeout_fired" => Event::TimerFired { token: message.integer("ctx")? },
        // No endpoint is probed, so that the result of a health check is only validated.
        "checked" => {
            message.small_integer("server")?;
            outcome(message)?;
            load_report(message)?;
            return Ok(None);
        }
        // Neither the counter nor other gateways are asked for anything.
        "tallied" | "message" => return Ok(None),
        unknown => return Err(MessageError::UnknownMessage(unknown.to_owned())),
    };
    Ok(Some(event))
}

/// An item of a ledger: one entry of an endpoint list.
pub fn parse_endpoint_update(message: &Message<'_>) -> Result<EndpointUpdate, MessageError> {
    Ok(EndpointUpdate {
        endpoint: message.small_integer("server")?,
        zone: message.text("campus")?.into(),
        cell: message.small_integer_or("unitGroup", 0)?,
        status: match message.text("status")? {
            "Ready" => EndpointStatus::Ready,
            "Terminating" => EndpointStatus::Draining,
            "Gone" => EndpointStatus::Removed,
            unknown => return Err(unknown_value(message, "status", unknown)),
        },
        started_at: Some(message.number_or("lastStartMs", 0.0)?).filter(|at| *at != 0.0),
    })
}

fn endpoint_list(message: &Message<'_>, ledgers: &Ledgers) -> Result<Event, MessageError> {
    let kind = match message.text("scope")? {
        "all" | "remembered" => EndpointListKind::Snapshot,
        "changes" => EndpointListKind::Delta,
        "refused" => EndpointListKind::SubscriptionFailed,
        unknown => return Err(unknown_value(message, "scope", unknown)),
    };
    let endpoints = match kind {
        EndpointListKind::SubscriptionFailed => Arc::from([]),
        EndpointListKind::Snapshot | EndpointListKind::Delta => {
            let ledger = ledgers.get(&message.integer("buffer")?);
            ledger.ok_or_else(|| message.field_error("buffer", FieldError::UnknownLedger))?.clone()
        }
    };
    Ok(Event::EndpointList { kind, endpoints })
}

fn incoming_request(message: &Message<'_>) -> Result<IncomingRequest, MessageError> {
    Ok(IncomingRequest {
        id: message.text("requestId")?.into(),
        class: message.text("cls")?.into(),
        plan: message.text("gradeOfService")?.into(),
        customer: message.text("holder")?.into(),
        deadline: message.number("deadlineMs")?,
        units: message.number_or("priceUnits", 1.0)?,
        gateway_spread: message.small_integer_or("width", 1)?,
        is_retry: message.integer_or("retry", 0)? == 1,
    })
}

fn attempt_result(message: &Message<'_>) -> Result<AttemptResult, MessageError> {
    Ok(AttemptResult {
        request: message.text("requestId")?.into(),
        attempt: message.small_integer("copy")?,
        endpoint: message.small_integer("server")?,
        outcome: outcome(message)?,
        elapsed: message.number("elapsedMs")?,
        request_closed: message.integer_or("last", 0)? == 1,
        // The usage in percent, plus 1; 0 for none.
        usage_percent: Some(message.number_or("quotaUse", 0.0)?).filter(|u| *u > 0.0).map(|u| u - 1.0),
        has_usage_report: message.number_or("quotaUse", 0.0)? > 0.0,
        load: load_report(message)?,
    })
}

fn outcome(message: &Message<'_>) -> Result<Outcome, MessageError> {
    Ok(match message.integer("code")? {
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

/// A load report: pairs `name:value`, separated by commas. Unknown names are ignored.
fn load_report(message: &Message<'_>) -> Result<LoadReport, MessageError> {
    let mut report = LoadReport::default();
    for pair in message.find("load").unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
        let pair = pair.split_once(':');
        let (name, value) = pair.ok_or_else(|| message.field_error("load", FieldError::NotAPair))?;
        let field = match name {
            "inflight" => &mut report.in_flight,
            "queue" => &mut report.queued,
            "util" => &mut report.utilization,
            "latency_ms" => &mut report.service_time,
            _ => continue,
        };
        let not_a_number = || message.field_error("load", FieldError::NotANumber(name.to_owned()));
        *field = Some(finite(value).ok_or_else(not_a_number)?);
    }
    Ok(report)
}

fn unknown_value(message: &Message<'_>, field: &'static str, value: &str) -> MessageError {
    message.field_error(field, FieldError::UnknownValue(value.to_owned()))
}
